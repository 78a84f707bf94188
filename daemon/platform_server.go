package daemon

import (
	"errors"
	"net"
	"net/http"
	"strings"

	"gypsumlead/admission"
	"gypsumlead/platform"
)

// platformServer serves the readiness check, the metrics and the operators' API.
type platformServer struct {
	server   *http.Server
	listener net.Listener
}

// newPlatformServer returns the server of the readiness port. Its handlers read no bodies, so these need no budget.
func (d *Daemon) newPlatformServer() *platformServer {
	bodies := admission.NewBudget(0)
	conns := admission.NewConnections(limitsOf(d.settings).ready, bodies)
	return &platformServer{
		server: &http.Server{
			Handler: bodies.Guard(d.platformHandler(), guardTimes()), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			WriteTimeout: guardTimes().Answer, MaxHeaderBytes: maxHeaderBytes, ConnState: conns.Track,
		},
		listener: conns.Listen(d.readyListener),
	}
}

// serve serves until the server is closed.
func (s *platformServer) serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Paths served in addition to the readiness check.
const (
	pathMetrics     = "/metrics"
	pathOperatorAPI = "/v1/"
)

// platformHandler serves the readiness check, the metrics and the operators' API.
func (d *Daemon) platformHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathMetrics {
			d.metricsHandler.ServeHTTP(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, pathOperatorAPI) {
			d.operatorHandler.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
