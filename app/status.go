package app

import (
	"gypsumlead/api/oas"
	"gypsumlead/journal"
)

// status tells what the daemon is and has in force.
func (a *App) status() oas.Status {
	s := oas.Status{
		Instance: a.set.Instance,
		Boot:     a.boot,
		Centre:   a.set.Centre,
		Region:   a.set.Region,
		Seq:      a.state.Seq(),
		Ready:    a.Ready(),
		Leaving:  a.entry.Leaving(),
		Progress: int(a.entry.Stats().Active),
		Duties:   a.duties.held(),
	}
	if err := a.spread.Store(); err != nil {
		s.Store = oas.NewOptString(err.Error())
	}
	for _, p := range a.mesh.Peers() {
		s.Peers = append(s.Peers, oas.StatusPeersItem{Instance: p.Instance, Centre: p.Centre})
	}
	return s
}

// State returns the configuration in force.
func (a *App) State() *journal.State {
	return a.state
}

// Seq returns the number of the newest change that the caller path follows.
func (a *App) Seq() int64 {
	return a.router.seq.Load()
}

// Ready tells whether the daemon has something to serve by and isn't leaving.
func (a *App) Ready() bool {
	return a.router.seq.Load() > 0 && !a.entry.Leaving()
}

// Peers returns how many daemons have an open session with this one.
func (a *App) Peers() int {
	return len(a.mesh.Peers())
}
