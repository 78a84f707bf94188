package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gypsumlead/admission"
	"gypsumlead/settings"
	"gypsumlead/sleep"
)

// callerServer serves callers' requests. When it shuts down, every request that it has read gets an answer.
type callerServer struct {
	server      *http.Server
	listener    net.Listener
	log         *zap.Logger
	endRequests context.CancelFunc
	conns       *admission.Connections
}

// shutdownTimes are the times, counted from the signal to shut down, of the steps of a callerServer's shutdown.
type shutdownTimes struct {
	drained time.Duration // the load balancer no longer chooses the daemon
	ended   time.Duration // requests in progress are ended, and answered with what is known of them
	closed  time.Duration // the connections that are left are closed
}

// shutdownTimesOf returns the times by which requests are answered within the time for shutting down.
func shutdownTimesOf(conf settings.Settings) shutdownTimes {
	closed := max(drainDelay+answerTime, conf.Bounds.ShutdownTime-exitTime)
	return shutdownTimes{drained: drainDelay, ended: closed - answerTime, closed: closed}
}

// newCallerServer returns a server of the connections of a listener, as far as conns admits them. The context of each request ends with
// the time for requests.
func newCallerServer(handler http.Handler, listener net.Listener, conns *admission.Connections, log *zap.Logger) *callerServer {
	requests, end := context.WithCancel(context.Background())
	s := &callerServer{listener: conns.Listen(listener), log: log, endRequests: end, conns: conns}
	s.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: guardTimes().Answer, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log), BaseContext: func(net.Listener) context.Context { return requests }, ConnState: conns.Track,
	}
	return s
}

// serve serves until the server is shut down.
func (s *callerServer) serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// shutDown goes on serving until the load balancer has noticed that the daemon is not ready, then waits for the requests in
// progress. Those that can't be served in time end early enough to be answered. It doesn't use http.Server.Shutdown, which
// closes a connection without an answer if it reads a request from it after that.
func (s *callerServer) shutDown(begun time.Time, times shutdownTimes) {
	time.Sleep(time.Until(begun.Add(times.drained)))
	s.server.SetKeepAlivesEnabled(false)
	_ = s.listener.Close() // an error would mean that it is closed
	ender := time.AfterFunc(time.Until(begun.Add(times.ended)), s.endRequests)
	defer ender.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(times.closed))
	defer cancel()
	for s.conns.Len() > 0 && ctx.Err() == nil {
		sleep.ForOrWake(ctx, time.Second, s.conns.Changed())
	}
	if n := s.conns.Len(); n > 0 {
		s.log.Warn("aborting requests in progress", zap.Int("connections", n))
	}
	_ = s.server.Close() // the platform kills the process next
}
