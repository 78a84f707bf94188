package sched

import (
	"time"

	"gypsumlead/work"
)

// Admit tells why a job should not be accepted and when its caller may come back; an empty reason means that it is welcome.
func (p *Pool) Admit(_ time.Time, _ work.Queue, _ work.Job) (time.Duration, string) {
	return 0, ""
}
