package main

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

const beatEvery = 1 * time.Second

// serveRunner runs a stand-in upstream until ctx ends.
func serveRunner(ctx context.Context, log *zap.Logger, args []string) error {
	fs := flag.NewFlagSet("standin runner", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen at")
	plat := fs.String("platform", "", "address of the stand-in of the platform; empty: tell nobody")
	runTime := fs.Duration("run", 10*time.Millisecond, "how long a request runs")
	slots := fs.Int("slots", 8, "requests that run at once")
	conns := fs.Int("conns", 64, "connections that may be open")
	seed := fs.Uint64("seed", 1, "seed of random mishaps")
	var i backing.Instance
	fs.StringVar(&i.ID, "id", "", "instance ID")
	fs.StringVar(&i.Boot, "boot", "", "boot ID; empty: made from the instance ID")
	fs.StringVar(&i.Region, "region", "", "region")
	fs.StringVar(&i.Centre, "centre", "", "data centre")
	fs.StringVar(&i.Rack, "rack", "", "rack")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "read the flags")
	}
	if i.ID == "" {
		return fault.New(fault.Invalid, "a runner needs an -id")
	}
	opts := []standin.RunnerOption{
		standin.WithInstance(i),
		standin.WithRun(*runTime),
		standin.WithSlots(*slots),
		standin.WithConns(*conns),
		standin.WithRunnerSeed(*seed),
	}
	if *plat != "" {
		addr, err := netip.ParseAddrPort(*plat)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "read -platform")
		}
		opts = append(opts, standin.WithBeat(standin.BeatOver(addr), beatEvery))
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "listen at %s", *listen)
	}
	r := standin.NewRunner(l, opts...)
	log.Info("runner listens", zap.String("instance", i.ID), zap.Stringer("addr", l.Addr()))
	<-ctx.Done()
	r.Close()
	t := r.Account().Total()
	log.Info("runner stopped", zap.Int("started", t.Started), zap.Int("finished", t.Finished), zap.Int("cut", t.Cut))
	return nil
}
