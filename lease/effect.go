package lease

import (
	"time"

	"gypsumlead/backing"
)

// Effect is what a Holder wants done next: Wait, Look or Write.
type Effect interface{ effect() }

// Wait wants nothing before Until.
type Wait struct{ Until time.Time }

// Look wants the duty's beat row read and given to Looked.
type Look struct{ Key string }

// Write wants the steps committed and the outcome given to Wrote.
type Write struct {
	Do  Do
	Ops []backing.Op
}

// Do says what a Write is for.
type Do string

// The writes of a lease.
const (
	DoAcquire Do = "acquire"
	DoRenew   Do = "renew"
	DoRelease Do = "release"
)

func (Wait) effect()  {}
func (Look) effect()  {}
func (Write) effect() {}
