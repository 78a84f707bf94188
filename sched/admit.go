package sched

import (
	"time"

	"gypsumlead/work"
)

// Admit returns why a job should not be accepted and after what time its caller may retry. An empty reason admits it.
// All jobs are admitted at present.
func (p *Pool) Admit(_ time.Time, _ work.Queue, _ work.Job) (time.Duration, string) {
	return 0, ""
}
