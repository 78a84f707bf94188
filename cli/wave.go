package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/jx"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/record"
)

func runWave(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	c := addChange(fs)
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	act, name := rest[0], rest[1]
	if act == "status" {
		return showWave(ctx, e, c.remote, name)
	}
	old, err := getRecord(ctx, c.remote, string(record.KindWave), name)
	if err != nil {
		return err
	}
	draft, err := editWave(old, act)
	if err != nil {
		return err
	}
	rec, err := putRecord(ctx, c, string(record.KindWave), name, old.Version, draft)
	if err != nil {
		return err
	}
	return printRecord(e.out, rec, *c.json)
}

// editWave changes the wave's record: what a wave does next is read from it at each step.
func editWave(old *oas.Record, act string) (*oas.Draft, error) {
	var w record.Wave
	if err := json.Unmarshal(old.Body, &w); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "read wave %s", old.Name)
	}
	switch act {
	case "pause":
		w.Paused = true
	case "resume":
		w.Paused = false
		w.Resumed++ // also goes on where the wave had stopped itself
	case "cancel":
		w.Cancelled = true
	default:
		return nil, usageError{fmt.Sprintf("a wave can be asked for status, pause, resume and cancel, not %q", act)}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "write wave %s", old.Name)
	}
	return &oas.Draft{Schema: w.Schema(), Body: oas.Body(jx.Raw(data))}, nil
}

func showWave(ctx context.Context, e *env, r remote, name string) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	p, err := c.GetWaveProgress(ctx, oas.GetWaveProgressParams{Name: name})
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, p)
	}
	fmt.Fprintf(e.out, "wave %s: %s\n", p.Name, waveState(p))
	t := newTable(e.out, "POOL", "INSTANCE", "STATE", "SINCE", "WHY")
	for _, part := range p.Parts {
		if part.Why != "" {
			t.row(part.Pool, "", "", "", part.Why)
		}
		for _, it := range part.Items {
			t.row(part.Pool, it.Instance, it.State, it.Since.UTC().Format("15:04:05"), it.Why)
		}
	}
	return t.flush()
}

func waveState(p *oas.WaveProgress) string {
	switch stop, stopped := p.Stop.Get(); {
	case p.Done:
		return "done"
	case stopped:
		return "stopped itself: " + stop
	}
	return fmt.Sprintf("%d instances left", p.Left)
}

func runJob(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	r := addRemote(fs)
	rest, err := parse(fs, args, 1, 1)
	if err != nil {
		return err
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	p, err := c.GetJobProgress(ctx, oas.GetJobProgressParams{Name: rest[0]})
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, p)
	}
	t := newTable(e.out, "JOB", "POOL", "PHASE", "TASKS", "DONE", "ENDED", "WHY")
	t.row(p.Name, p.Pool, p.Phase, p.Count, p.Done, p.Ended, p.Why)
	return t.flush()
}
