package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers that every answer made by the daemon itself carries.
const (
	HeaderOutcome = "Gypsumlead-Outcome" // ran, notrun or unknown
	HeaderKind    = "Gypsumlead-Fault"   // the kind's name
)

// Body is the JSON body of an answer made by the daemon itself.
type Body struct {
	Kind    string  `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Text    string  `json:"text"`
	Retry   int64   `json:"retry,omitempty"` // whole seconds
}

// BodyOf returns the wire form of err.
func BodyOf(err error) Body {
	k := KindOf(err)
	return Body{
		Kind:    k.String(),
		Outcome: AnswerTo(k).Outcome,
		Text:    err.Error(),
		Retry:   wholeSeconds(RetryAfter(err)),
	}
}

// Write answers an HTTP request with err by the table.
func Write(w http.ResponseWriter, err error) {
	b := BodyOf(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderKind, b.Kind)
	h.Set(HeaderOutcome, string(b.Outcome))
	if b.Retry > 0 {
		h.Set("Retry-After", strconv.FormatInt(b.Retry, 10))
	}
	w.WriteHeader(AnswerTo(KindOf(err)).Status)
	// The caller may have left; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(b)
}

// wholeSeconds rounds up, so that a caller never comes back too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
