package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/jx"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/record"
)

const (
	forceLimit = 4 * time.Second // the target for a change to be in force everywhere
	forceStep  = 5 * time.Millisecond
	waveName   = "kernel-1"
	waveStep   = 50 * time.Millisecond
	waveLimit  = 2 * time.Minute
)

// operator makes records through the operators' interface.
type operator struct {
	site   *site
	client *oas.Client
	n      int
}

// secret is the operator's token.
type secret struct{}

// Token returns the demo's token.
func (secret) Token(context.Context, oas.OperationName) (oas.Token, error) {
	return oas.Token{Token: token}, nil
}

func newOperator(s *site) (*operator, error) {
	// The last daemon is the one that no step restarts.
	at := s.entries[len(s.entries)-1].app.Addrs().Operators
	c, err := oas.NewClient("http://"+at.String(), secret{})
	return &operator{site: s, client: c}, fault.Wrap(fault.Internal, err, "make the operator's client")
}

// pools are the demo's pools with the budget of each.
var pools = [...]struct {
	name   string
	budget record.Budget
}{
	{"texts", record.Budget{Out: 2, Rack: 1}},
	{"orders", record.Budget{Out: 1}},
}

// setUp makes two pools with a service each and shares the runners out.
func (o *operator) setUp(ctx context.Context) error {
	for _, p := range pools {
		if _, err := o.put(ctx, p.name, &record.Pool{Budget: p.budget}, 0); err != nil {
			return err
		}
	}
	for _, svc := range services() {
		if _, err := o.put(ctx, svc.name, &svc.record, 0); err != nil {
			return err
		}
	}
	if err := o.awaitListed(ctx); err != nil {
		return err
	}
	for i, r := range o.site.runners {
		req := &oas.MoveInstanceReq{Pool: pools[i%len(pools)].name}
		if _, err := o.client.MoveInstance(ctx, req, oas.MoveInstanceParams{Name: r.Instance().ID, ChangeID: o.id()}); err != nil {
			return err
		}
	}
	return o.awaitReady()
}

// awaitListed waits until the platform's lagging list has every runner.
func (o *operator) awaitListed(ctx context.Context) error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(readyStep) {
		res, err := o.client.ListInstances(ctx)
		if err != nil {
			return err
		}
		if len(res.Instances) >= len(o.site.runners) {
			return nil
		}
	}
	return fault.New(fault.Timeout, "the platform doesn't list every runner after %v", readyLimit)
}

func (o *operator) awaitReady() error {
	for _, d := range o.site.daemons() {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// service is one of the demo's services.
type service struct {
	name   string
	record record.Service
}

func services() []service {
	return []service{
		{"notices", record.Service{Pool: "texts", Works: []record.Work{
			{Name: "closure", Urgency: 9, Mean: 60},
			{Name: "lookup", Urgency: 1, Mean: 60, Idempotent: true},
		}}},
		{"reorders", record.Service{Pool: "orders", Works: []record.Work{
			{Name: "reorder", Urgency: 5, Mean: 60},
			{Name: "summary", Urgency: 1, Mean: 60, Idempotent: true},
		}}},
	}
}

// put writes a record and returns the version that was accepted.
func (o *operator) put(ctx context.Context, name string, r record.Record, version int64) (int64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode %s", name)
	}
	draft := &oas.Draft{Schema: r.Schema(), Body: oas.Body(jx.Raw(body))}
	rec, err := o.client.PutRecord(ctx, draft, oas.PutRecordParams{
		Kind:     oas.Kind(r.Kind()),
		Name:     name,
		ChangeID: o.id(),
		Version:  version,
	})
	if err != nil {
		return 0, err
	}
	return rec.Version, nil
}

func (o *operator) id() string {
	o.n++
	return fmt.Sprintf("demo-change-%d", o.n)
}

// changeConfiguration changes a service and waits until the change is in force on every daemon.
func (o *operator) changeConfiguration(ctx context.Context) (string, error) {
	svc := services()[0]
	old, err := o.client.GetRecord(ctx, oas.GetRecordParams{Kind: oas.Kind(record.KindService), Name: svc.name})
	if err != nil {
		return "", err
	}
	svc.record.Timeout = record.Millis(5000)
	start := time.Now()
	version, err := o.put(ctx, svc.name, &svc.record, old.Version)
	if err != nil {
		return "", err
	}
	for !o.inForce(version) {
		if time.Since(start) > forceLimit {
			return "", fault.New(fault.Breach, "change %d isn't in force everywhere after %v", version, forceLimit)
		}
		time.Sleep(forceStep)
	}
	return fmt.Sprintf("change %d was in force on all %d entries %v after it was asked for",
		version, len(o.site.daemons()), time.Since(start).Round(time.Millisecond)), nil
}

// inForce tells whether every daemon has a change in force.
func (o *operator) inForce(seq int64) bool {
	for _, d := range o.site.daemons() {
		if d.app.Seq() < seq {
			return false
		}
	}
	return true
}

// runWave takes every runner of both pools through a reboot, while callers ask.
func (o *operator) runWave(ctx context.Context) (string, error) {
	start := time.Now()
	w := &record.Wave{}
	for _, p := range pools {
		w.Pools = append(w.Pools, p.name)
	}
	if _, err := o.put(ctx, waveName, w, 0); err != nil {
		return "", err
	}
	for time.Since(start) < waveLimit {
		p, err := o.client.GetWaveProgress(ctx, oas.GetWaveProgressParams{Name: waveName})
		if err != nil {
			return "", err
		}
		if stop, ok := p.Stop.Get(); ok {
			return "", fault.New(fault.Breach, "the wave stopped itself: %s", stop)
		}
		if p.Done && len(p.Parts) == len(pools) {
			return fmt.Sprintf("maintenance wave over %d runners done in %v", len(o.site.runners), time.Since(start).Round(time.Millisecond)), nil
		}
		time.Sleep(waveStep)
	}
	return "", fault.New(fault.Timeout, "the wave isn't done after %v", waveLimit)
}
