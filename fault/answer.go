package fault

import (
	"net/http"
	"time"
)

// Outcome says whether any part of the request can have been executed by an upstream.
type Outcome string

// The three outcomes a caller can be told.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)

// Answer is what a kind of fault turns into on the wire.
type Answer struct {
	Name    string
	Status  int
	Outcome Outcome
	Retry   time.Duration // default Retry-After; zero means that asking again won't help
}

const (
	retrySoon  = 1 * time.Second
	retryStore = 5 * time.Second
)

var answers = [kindCount]Answer{
	Internal:          {"internal", http.StatusInternalServerError, Unknown, 0},
	Invalid:           {"invalid", http.StatusBadRequest, NotRun, 0},
	Missing:           {"missing", http.StatusNotFound, NotRun, 0},
	Conflict:          {"conflict", http.StatusConflict, NotRun, 0},
	Overload:          {"overload", http.StatusServiceUnavailable, NotRun, retrySoon},
	NoUpstream:        {"noupstream", http.StatusServiceUnavailable, NotRun, retrySoon},
	Unavailable:       {"storedown", http.StatusServiceUnavailable, NotRun, retryStore},
	Interrupted:       {"broken", http.StatusBadGateway, Unknown, 0},
	Fenced:            {"fenced", http.StatusConflict, Unknown, 0},
	InvariantViolated: {"breach", http.StatusInternalServerError, Unknown, 0},
}

// AnswerTo returns the table's row for a kind; a value outside the list reads as Internal.
func AnswerTo(k Kind) Answer {
	if k >= kindCount {
		k = Internal
	}
	return answers[k]
}
