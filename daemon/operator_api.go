package daemon

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/work"
)

// operators answers the operators' read-only interface.
type operators struct{ d *Daemon }

// GetStatus returns what this daemon is and has in force.
func (o operators) GetStatus(context.Context) (*oas.Status, error) {
	d := o.d
	s := &oas.Status{Instance: d.set.Instance, Boot: d.boot, Centre: d.set.Centre, Ready: d.isReady(), Daemons: []string{}, Holds: d.heldNames()}
	if c := d.operator.Config(); c != nil {
		s.Config = c.Version
	}
	for _, n := range d.members.Live() {
		s.Daemons = append(s.Daemons, n.Name)
	}
	d.mu.Lock()
	s.Leaving = d.leaving
	d.mu.Unlock()
	return s, nil
}

// ListServices returns the configured services.
func (o operators) ListServices(context.Context) ([]oas.Service, error) {
	list := []oas.Service{}
	for _, name := range o.d.services() {
		s := oas.Service{Name: name}
		if n, ok := o.d.members.Leader(name); ok {
			s.Holder = n.Name
		}
		if h := o.d.holderOf(name); h != nil {
			s.Holder = o.d.set.Instance
			s.Progress = oas.NewOptProgress(progressOf(h))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b oas.Service) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

func progressOf(h *leader.Leader) oas.Progress {
	s := h.Stats()
	return oas.Progress{
		Waiting: int64(s.Waiting), Running: int64(s.Running), Oldest: s.Oldest.Seconds(), Out: int64(s.Out), Silent: int64(s.Silent),
	}
}

// GetJob returns where a job stands.
func (o operators) GetJob(ctx context.Context, p oas.GetJobParams) (*oas.Job, error) {
	var last error
	for _, name := range o.d.services() {
		a := o.d.State(ctx, work.ID(p.ID), work.Queue{Service: name})
		switch a.Verdict {
		case leader.Accepted:
			return &oas.Job{ID: p.ID, Service: name, State: string(a.State)}, nil
		case leader.Absent:
		default:
			last = fault.New(fault.Unavailable, "%s: %s", name, a.Why)
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, fault.New(fault.Missing, "there is no job %q", p.ID)
}

// GetTrail returns the newest lines of this daemon about a name.
func (o operators) GetTrail(_ context.Context, p oas.GetTrailParams) ([]string, error) {
	return append([]string{}, o.d.trail(p.ID)...), nil
}

// NewError puts an error into the form of the answer.
func (operators) NewError(_ context.Context, err error) *oas.FaultStatusCode {
	kind := fault.KindOf(err)
	return &oas.FaultStatusCode{
		StatusCode: fault.AnswerTo(kind).Status,
		Response:   oas.Fault{Kind: kind.String(), Text: err.Error()},
	}
}

// makeOperators makes the operators' interface.
func (d *Daemon) makeOperators() (http.Handler, error) {
	s, err := oas.NewServer(operators{d})
	return s, fault.Wrap(fault.Internal, err, "make the operators' interface")
}
