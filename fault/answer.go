package fault

import (
	"net/http"
	"time"
)

// Outcome is whether an upstream may have executed any part of a request.
type Outcome string

// The outcomes of a request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)

// Answer is the wire representation of a kind of fault.
type Answer struct {
	Name    string
	Status  int
	Outcome Outcome
	Retry   time.Duration // default Retry-After; zero means that a retry won't help
}

// Default Retry-After values.
const (
	retryDefault   = 1 * time.Second
	retryStoreDown = 5 * time.Second
)

// answers is the table of answers by kind.
var answers = [kindCount]Answer{
	Internal:          {"internal", http.StatusInternalServerError, Unknown, 0},
	Invalid:           {"invalid", http.StatusBadRequest, NotRun, 0},
	Missing:           {"missing", http.StatusNotFound, NotRun, 0},
	Conflict:          {"conflict", http.StatusConflict, NotRun, 0},
	Overload:          {"overload", http.StatusServiceUnavailable, NotRun, retryDefault},
	NoUpstream:        {"noupstream", http.StatusServiceUnavailable, NotRun, retryDefault},
	Unavailable:       {"storedown", http.StatusServiceUnavailable, NotRun, retryStoreDown},
	Interrupted:       {"broken", http.StatusBadGateway, Unknown, 0},
	Fenced:            {"fenced", http.StatusConflict, Unknown, 0},
	InvariantViolated: {"breach", http.StatusInternalServerError, Unknown, 0},
}

// AnswerTo returns the answer for a kind; a value outside the list is treated as Internal.
func AnswerTo(k Kind) Answer {
	if k >= kindCount {
		k = Internal
	}
	return answers[k]
}
