package admission

import (
	"net/http"
	"time"
)

// timedWriter limits the time that the client takes for a response.
type timedWriter struct {
	http.ResponseWriter
	conn   *http.ResponseController
	within time.Duration
	begun  bool
}

// begin starts the time with the first part of the response.
func (w *timedWriter) begin() {
	if !w.begun {
		w.begun = true
		_ = w.conn.SetWriteDeadline(time.Now().Add(w.within)) // only fails for writers without a connection
	}
}

// WriteHeader sends the response's header.
func (w *timedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response's body.
func (w *timedWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
