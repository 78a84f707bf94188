package backing

import (
	"context"
)

// Stamp names one state of the list of instances without their signs of life.
type Stamp struct {
	Epoch   string `json:"epoch"`   // another one means that numbers can't be compared
	Version int64  `json:"version"` // raised by every change
}

// Roster is the platform's list of instances for those who ask often: asked with the stamp of
// the list held, it sends only what has changed since.
type Roster interface {
	// Roster returns the instances with Seen left out, and the list's stamp; while the stamp is
	// known the list is the one returned with it.
	Roster(ctx context.Context, known Stamp) ([]Instance, Stamp, error)
	// Look returns the newest signs of life of the named instances that exist.
	Look(ctx context.Context, ids ...string) ([]Instance, error)
	// LookWorkers returns the named workers that exist, as the platform last heard of them.
	LookWorkers(ctx context.Context, ids ...string) ([]Worker, error)
}
