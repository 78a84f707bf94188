package standin

import (
	"context"
	"net/http"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
)

// Paths of the control of the stand-in, which no real platform has.
const (
	PathHeartbeat = "/control/heartbeat" // backing.Instance, answered by the platform's row of it
	PathInstance  = "/control/instance"  // backing.Instance
	PathWorker    = "/control/worker"    // backing.Worker
	PathFaults    = "/control/faults"    // SetFaults
	PathLag       = "/control/lag"       // SetLag
	PathKill      = "/control/kill"      // Named
	PathRevive    = "/control/revive"    // Named, answered by the instance
	PathRemove    = "/control/remove"    // Named
	PathProfile   = "/control/profile"   // SetProfile
	PathBad       = "/control/bad"       // SetBad
	PathCounts    = "/control/counts"    // answered by Counted
)

// SetFaults asks for the faults of services to be replaced; no service means all.
type SetFaults struct {
	Services []Service `json:"services,omitempty"`
	Faults   Faults    `json:"faults"`
}

// SetLag asks for other lags of the list and of the reports.
type SetLag struct {
	List    time.Duration `json:"list"`
	Reports time.Duration `json:"reports"`
}

// Named asks for something to be done to an instance.
type Named struct {
	Instance string `json:"instance"`
}

// SetProfile asks for a job's tasks to take other resources.
type SetProfile struct {
	Job     string  `json:"job"`
	Profile Profile `json:"profile"`
}

// SetBad asks for a worker to fail everything after a time.
type SetBad struct {
	Worker string        `json:"worker"`
	After  time.Duration `json:"after"`
}

// Counted is how much each service was used.
type Counted struct {
	Table     Counts `json:"table"`
	Objects   Counts `json:"objects"`
	Instances Counts `json:"instances"`
	Workers   Counts `json:"workers"`
}

func (p *Platform) handleControl(m *http.ServeMux) {
	handle(m, PathHeartbeat, func(_ context.Context, q backing.Instance) (backing.Instance, error) {
		return p.Heartbeat(q), nil
	})
	handle(m, PathInstance, func(_ context.Context, q backing.Instance) (wire.None, error) {
		p.PutInstance(q)
		return wire.None{}, nil
	})
	handle(m, PathWorker, func(_ context.Context, q backing.Worker) (wire.None, error) {
		p.PutWorker(q)
		return wire.None{}, nil
	})
	handle(m, PathKill, func(_ context.Context, q Named) (wire.None, error) {
		return wire.None{}, p.Kill(q.Instance)
	})
	handle(m, PathRevive, func(_ context.Context, q Named) (backing.Instance, error) {
		return p.Revive(q.Instance)
	})
	handle(m, PathRemove, func(_ context.Context, q Named) (wire.None, error) {
		return wire.None{}, p.Remove(q.Instance)
	})
	p.handleFaults(m)
}

func (p *Platform) handleFaults(m *http.ServeMux) {
	handle(m, PathFaults, func(_ context.Context, q SetFaults) (wire.None, error) {
		p.SetFaults(q.Faults, q.Services...)
		return wire.None{}, nil
	})
	handle(m, PathLag, func(_ context.Context, q SetLag) (wire.None, error) {
		p.SetLag(q.List)
		p.SetReportLag(q.Reports)
		return wire.None{}, nil
	})
	handle(m, PathProfile, func(_ context.Context, q SetProfile) (wire.None, error) {
		p.SetProfile(q.Job, q.Profile)
		return wire.None{}, nil
	})
	handle(m, PathBad, func(_ context.Context, q SetBad) (wire.None, error) {
		return wire.None{}, p.SetBad(q.Worker, q.After)
	})
	handle(m, PathCounts, func(context.Context, wire.None) (Counted, error) {
		return Counted{
			Table:     p.Counts(ServiceTable),
			Objects:   p.Counts(ServiceObjects),
			Instances: p.Counts(ServiceInstances),
			Workers:   p.Counts(ServiceWorkers),
		}, nil
	})
}
