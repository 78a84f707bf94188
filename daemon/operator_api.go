package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// operatorAPI implements the operators' read-only API.
type operatorAPI struct{ d *Daemon }

// GetStatus returns the identity, readiness and configuration version of this daemon, the live daemons, and the
// services led here.
func (o operatorAPI) GetStatus(context.Context) (*oas.Status, error) {
	d := o.d
	status := &oas.Status{Instance: d.settings.Instance, Boot: d.boot, Centre: d.settings.Centre, Ready: d.notReadyReason() == "", Daemons: []string{}, Holds: d.ledServices()}
	if c := d.operatorState.Config(); c != nil {
		status.Config, status.Workspaces = c.Version, oas.NewOptInt(len(c.Workspaces))
		status.Age = oas.NewOptFloat64(d.operatorState.Age().Seconds())
	}
	for _, n := range d.members.Live() {
		status.Daemons = append(status.Daemons, n.Name)
	}
	d.mu.Lock()
	status.Leaving = d.leaving
	d.mu.Unlock()
	return status, nil
}

// ListServices returns the configured services with their leaders, and the progress of those led here.
func (o operatorAPI) ListServices(context.Context) ([]oas.Service, error) {
	list := []oas.Service{}
	for _, name := range o.d.services() {
		service := oas.Service{Name: name}
		if n, ok := o.d.members.Leader(name); ok {
			service.Holder = n.Name
		}
		if l := o.d.leaderOf(name); l != nil {
			service.Holder = o.d.settings.Instance
			service.Progress = oas.NewOptProgress(progressOf(l))
		}
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b oas.Service) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// progressOf returns a leader's counts of jobs and runners.
func progressOf(l *leader.Leader) oas.Progress {
	stats := l.Stats()
	return oas.Progress{
		Waiting: int64(stats.Waiting), Running: int64(stats.Running), Oldest: stats.Oldest.Seconds(), Out: int64(stats.Out), Silent: int64(stats.Silent),
	}
}

// servicesOfJobs returns the services that may have jobs: the configured ones, and those that have jobs in the store. After an error
// the latter are missing.
func (d *Daemon) servicesOfJobs(ctx context.Context) ([]string, error) {
	services := d.services()
	withJobs, err := leader.ServicesWithJobs(ctx, d.store)
	for _, service := range withJobs {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services, err
}

// GetJob returns the state of a job; it asks all services for it.
func (o operatorAPI) GetJob(ctx context.Context, p oas.GetJobParams) (*oas.Job, error) {
	if o.d.operatorState.Config() == nil {
		return nil, fault.New(fault.Unavailable, "no configuration yet, so the services are unknown: ask another daemon")
	}
	services, last := o.d.servicesOfJobs(ctx)
	for _, name := range services {
		result := o.d.stateAt(ctx, work.ID(p.ID), name, workspace.Anyone())
		switch result.Verdict {
		case leader.Accepted:
			return &oas.Job{ID: p.ID, Service: name, State: string(result.State), Waits: o.d.rackWaits(name, work.ID(p.ID))}, nil
		case leader.Absent:
		default:
			last = fault.New(fault.Unavailable, "%s: %s", name, result.Why)
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, fault.New(fault.Missing, "there is no job %q", p.ID)
}

// GetTrail returns the newest log lines of this daemon about a name, and lines in the same form about the tasks of the job
// of this name that wait for their rack.
func (o operatorAPI) GetTrail(_ context.Context, p oas.GetTrailParams) ([]string, error) {
	for _, l := range o.d.localLeaders() {
		l.ExplainJob(work.ID(p.ID))
	}
	lines := append([]string{}, o.d.trail(p.ID)...)
	for _, service := range o.d.ledServices() {
		for _, w := range o.d.rackWaits(service, work.ID(p.ID)) {
			lines = append(lines, o.d.waitLine(w))
		}
	}
	return lines, nil
}

// rackWaits returns the tasks of a job that wait for their rack, if its service is led here.
func (d *Daemon) rackWaits(service string, id work.ID) []oas.Wait {
	l := d.leaderOf(service)
	if l == nil {
		return nil
	}
	var list []oas.Wait
	for _, w := range l.RackWaits(id) {
		list = append(list, oas.Wait{Task: w.Task.String(), Rack: w.Rack, Until: w.Until, Latest: w.Latest})
	}
	return list
}

// waitLine returns a wait in the form of a log line.
func (d *Daemon) waitLine(w oas.Wait) string {
	line, _ := json.Marshal(map[string]any{ // strings, numbers and times are always encoded
		"ts": float64(d.now().UnixMicro()) / 1e6, "instance": d.settings.Instance, "msg": "waits for its rack now",
		"task": w.Task, "rack": w.Rack, "until": w.Until, "latest": w.Latest,
	})
	return string(line)
}

// NewError converts an error to an error response.
func (operatorAPI) NewError(_ context.Context, err error) *oas.FaultStatusCode {
	kind := fault.KindOf(err)
	return &oas.FaultStatusCode{
		StatusCode: fault.AnswerTo(kind).Status,
		Response:   oas.Fault{Kind: kind.String(), Text: err.Error()},
	}
}

// newOperatorHandler returns the handler of the operators' API.
func (d *Daemon) newOperatorHandler() (http.Handler, error) {
	s, err := oas.NewServer(operatorAPI{d})
	return s, fault.Wrap(fault.Internal, err, "create the operators' API")
}
