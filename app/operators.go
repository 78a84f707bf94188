package app

import (
	"net/http"
	"time"

	"gypsumlead/api"
	"gypsumlead/entry"
)

const (
	operatorHeaders = 5 * time.Second
	operatorRead    = 10 * time.Second
	operatorWrite   = 30 * time.Second
	operatorIdle    = time.Minute
	operatorHead    = 16 << 10 // bytes
)

// newOperators returns the server of the operators' interface, the metrics and the readiness.
func newOperators(h *api.Handler, g *api.Guard, m *metrics, e *entry.Entry) (*http.Server, error) {
	v1, err := api.NewServer(h, g)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", v1)
	mux.Handle("/metrics", m.handler)
	mux.Handle(entry.ReadyPath, e)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: operatorHeaders,
		ReadTimeout:       operatorRead,
		WriteTimeout:      operatorWrite,
		IdleTimeout:       operatorIdle,
		MaxHeaderBytes:    operatorHead,
	}, nil
}
