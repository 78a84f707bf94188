package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"gypsumlead/api/oas"
)

const bodyLimit = 1 << 20 // bytes of an operator's request

// NewServer returns the HTTP handler of the operators' interface.
func NewServer(h *Handler, g *Guard) (http.Handler, error) {
	server, err := oas.NewServer(h, g, oas.WithErrorHandler(writeError))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(server, bodyLimit), nil
}

// writeError answers errors that arise before a handler is reached.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	a := answerOf(err)
	w.Header().Set("Content-Type", "application/json")
	if retry, ok := a.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(retry))
	}
	w.WriteHeader(a.StatusCode)
	// The operator may have left; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(&a.Response)
}
