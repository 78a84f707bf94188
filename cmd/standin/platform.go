package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

const headTimeout = 10 * time.Second

// servePlatform runs a stand-in of the platform until ctx ends.
func servePlatform(ctx context.Context, log *zap.Logger, args []string) error {
	fs := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7070", "address to listen at")
	lag := fs.Duration("lag", 0, "by how much the list of instances lags")
	reportLag := fs.Duration("reportlag", 0, "by how much the workers' reports lag")
	bootTime := fs.Duration("boottime", 0, "how long an instance without a process of its own takes to reboot")
	seed := fs.Uint64("seed", 1, "seed of random faults")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "read the flags")
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "listen at %s", *listen)
	}
	p := standin.New(
		standin.WithLag(*lag),
		standin.WithReportLag(*reportLag),
		standin.WithBootTime(*bootTime),
		standin.WithSeed(*seed),
	)
	log.Info("platform listens", zap.Stringer("addr", l.Addr()))
	return serveHTTP(ctx, l, p.Handler())
}

// serveHTTP serves h on l until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	var g run.Group
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	done, stop := context.WithCancel(ctx)
	g.Add(func() error { return srv.Serve(l) }, func(error) { _ = srv.Close() })
	g.Add(func() error { <-done.Done(); return nil }, func(error) { stop() })
	err := g.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(fault.Internal, err, "serve at %s", l.Addr())
}
