package share

import (
	"time"
)

// Usage is what one kind of work has had of its pool, for metrics and operators.
type Usage struct {
	Service string
	Work    string
	Floor   float64 // slots
	Running int
	Waiting int
	Mean    float64 // requests a second, as the record says, scaled to this entry
	Guarded float64 // requests a second that the floor is for: the mean, or more where more was learned
	Asked   float64 // requests a second, measured
	Run     time.Duration
	Started uint64 // since the kind was configured
	Refused uint64 // since the kind was configured
}

// Usage returns the usage of each kind of work, in the order of configuration.
func (p *Pool) Usage() []Usage {
	us := make([]Usage, 0, len(p.kinds))
	for _, k := range p.kinds {
		us = append(us, Usage{
			Service: k.group.name,
			Work:    k.work.Name,
			Floor:   k.floor,
			Running: k.running,
			Waiting: len(k.queue),
			Mean:    k.work.Mean * p.part(),
			Guarded: k.mean,
			Asked:   k.asked,
			Run:     seconds(k.run),
			Started: k.starts,
			Refused: k.refused,
		})
	}
	return us
}

// Running returns the number of started requests.
func (p *Pool) Running() int { return p.running }

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return p.waiting }

// Slots returns the slots that may be used.
func (p *Pool) Slots() int { return p.slots }
