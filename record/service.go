package record

import (
	"time"

	"gypsumlead/fault"
)

// KindService is the kind of Service records.
const KindService Kind = "service"

// Service is what callers ask for: requests to /NAME/... go to the runners of its pool.
type Service struct {
	Pool    string `json:"pool"`
	Works   []Work `json:"works"`             // its kinds of work; a request names one by header, else the first is meant
	Timeout Millis `json:"timeout,omitempty"` // longest that a request may take in all; zero means the default
}

// Work is one kind of work of a service.
type Work struct {
	Name       string  `json:"name"`
	Urgency    int     `json:"urgency"`              // higher goes first above the floors
	Mean       float64 `json:"mean"`                 // requests a second in ordinary times
	Idempotent bool    `json:"idempotent,omitempty"` // may be sent again without a key
}

// Millis is a duration in whole milliseconds in JSON.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Kind returns KindService.
func (*Service) Kind() Kind { return KindService }

// Schema returns 1.
func (*Service) Schema() int { return 1 }

// Check finds services that no request could reach.
func (s *Service) Check() error {
	if s.Pool == "" {
		return fault.New(fault.Invalid, "service: pool is missing")
	}
	if len(s.Works) == 0 {
		return fault.New(fault.Invalid, "service: works must name one kind of work at least")
	}
	if s.Timeout < 0 {
		return fault.New(fault.Invalid, "service: timeout can't be negative")
	}
	seen := map[string]bool{}
	for _, w := range s.Works {
		if w.Name == "" || seen[w.Name] {
			return fault.New(fault.Invalid, "service: works: name %q is empty or stands twice", w.Name)
		}
		if w.Mean < 0 {
			return fault.New(fault.Invalid, "service: works: mean of %q can't be negative", w.Name)
		}
		seen[w.Name] = true
	}
	return nil
}
