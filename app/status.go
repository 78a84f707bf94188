package app

import (
	"gypsumlead/api/oas"
)

// status tells what the daemon is and has in force.
func (a *App) status() oas.Status {
	s := oas.Status{
		Instance: a.set.Instance,
		Boot:     a.boot,
		Centre:   a.set.Centre,
		Region:   a.set.Region,
		Seq:      a.state.Seq(),
		Ready:    a.ready(),
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

// ready tells whether the daemon has something to serve by.
func (a *App) ready() bool {
	return a.router.seq.Load() > 0 && !a.entry.Leaving()
}
