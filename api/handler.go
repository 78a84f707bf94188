package api

import (
	"context"
	"time"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// Configuration is what the handlers need of the daemon's configuration.
type Configuration interface {
	// CatchUp brings the newest accepted change into force here before it returns.
	CatchUp(ctx context.Context) error
	// Accepted brings a change that was just accepted into force here.
	Accepted(c journal.Change)
}

// Trail reads the audit trail.
type Trail interface {
	// Read returns every decision on s between two instants, oldest first; a zero instant is an open end.
	Read(ctx context.Context, s audit.Subject, from, to time.Time) ([]audit.Entry, error)
	// Refuse notes a decision not to do something.
	Refuse(ctx context.Context, e audit.Entry) error
}

// Fleet lists the platform's instances as this daemon last saw them.
type Fleet interface {
	// Instances returns the newest list.
	Instances() []backing.Instance
}

// Workers returns the workers of a pool as the platform last heard of them.
type Workers func(ctx context.Context, pool string) ([]backing.Worker, error)

// Mover proposes to put an instance into a pool.
type Mover func(id, actor, why, instance, from, to string) journal.Proposal

// Handler serves the operators' interface; it implements the generated oas.Handler.
type Handler struct {
	state  *journal.State
	writer *journal.Writer
	table  backing.Table
	config Configuration
	trail  Trail
	fleet  Fleet
	move   Mover
	work   Workers
	status func() oas.Status
}

var _ oas.Handler = (*Handler)(nil)

// Parts are what a Handler is made from.
type Parts struct {
	State  *journal.State
	Writer *journal.Writer
	Table  backing.Table
	Config Configuration
	Trail  Trail
	Fleet  Fleet
	Move   Mover
	Work   Workers
	Status func() oas.Status
}

// NewHandler returns the handlers of the operators' interface.
func NewHandler(p Parts) *Handler {
	return &Handler{
		state:  p.State,
		writer: p.Writer,
		table:  p.Table,
		config: p.Config,
		trail:  p.Trail,
		fleet:  p.Fleet,
		move:   p.Move,
		work:   p.Work,
		status: p.Status,
	}
}

// GetStatus tells what the daemon is and has in force.
func (h *Handler) GetStatus(context.Context) (*oas.Status, error) {
	s := h.status()
	return &s, nil
}

// ListRecords returns the records of a kind in force.
func (h *Handler) ListRecords(_ context.Context, p oas.ListRecordsParams) (*oas.ListRecordsOK, error) {
	seq := h.state.Seq()
	list := h.state.List(record.Kind(p.Kind))
	out := &oas.ListRecordsOK{Seq: seq, Records: make([]oas.Record, len(list))}
	for i, e := range list {
		out.Records[i] = recordOf(e)
	}
	return out, nil
}

// GetRecord returns one record in force.
func (h *Handler) GetRecord(_ context.Context, p oas.GetRecordParams) (*oas.Record, error) {
	k := record.Key{Kind: record.Kind(p.Kind), Name: p.Name}
	e, ok := h.state.Get(k)
	if !ok {
		return nil, fault.New(fault.Missing, "there is no %s", k)
	}
	r := recordOf(e)
	return &r, nil
}

// ListInstances returns the platform's instances with their pools.
func (h *Handler) ListInstances(context.Context) (*oas.ListInstancesOK, error) {
	out := &oas.ListInstancesOK{Instances: []oas.Instance{}}
	for _, in := range h.fleet.Instances() {
		pool, err := h.poolOf(in.ID)
		if err != nil {
			return nil, err
		}
		out.Instances = append(out.Instances, oas.Instance{
			ID:      in.ID,
			Boot:    in.Boot,
			Role:    string(in.Role),
			State:   string(in.State),
			Region:  oas.NewOptString(in.Region),
			Centre:  in.Centre,
			Rack:    in.Rack,
			Addr:    in.Addr.String(),
			Pool:    pool,
			Drained: oas.NewOptBool(h.drained(in)),
		})
	}
	return out, nil
}

func (h *Handler) poolOf(instance string) (string, error) {
	e, ok := h.state.Get(record.Key{Kind: record.KindMember, Name: instance})
	if !ok {
		return "", nil
	}
	var m record.Member
	err := record.Decode(e, &m)
	return m.Pool, err
}

func (h *Handler) drained(in backing.Instance) bool {
	d, ok := journal.Find[record.Drain](h.state, in.ID)
	return ok && d.Boot == in.Boot
}

// NewError turns a fault into its answer by the one table.
func (h *Handler) NewError(_ context.Context, err error) *oas.FaultStatusCodeWithHeaders {
	return answerOf(err)
}
