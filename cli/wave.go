package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/jx"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/record"
)

func runWave(ctx context.Context, e *env, args []string) error {
	if len(args) > 0 && args[0] == "status" {
		return showWave(ctx, e, args)
	}
	fs := e.flags()
	c := addChange(fs)
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	act, name := rest[0], rest[1]
	cl, err := c.client()
	if err != nil {
		return err
	}
	old, err := cl.GetRecord(ctx, oas.GetRecordParams{Kind: oas.Kind(record.KindWave), Name: name})
	if err != nil {
		return c.remote.answered(err)
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

func showWave(ctx context.Context, e *env, args []string) error {
	return e.read(args, 2, 2, func(c *oas.Client, rest []string) (answer, error) {
		p, err := c.GetWaveProgress(ctx, oas.GetWaveProgressParams{Name: rest[1]})
		return answer{p, func(out io.Writer) error { return printWave(out, p) }}, err
	})
}

func printWave(out io.Writer, p *oas.WaveProgress) error {
	fmt.Fprintf(out, "wave %s: %s\n", p.Name, waveState(p))
	t := newTable(out, "POOL", "INSTANCE", "STATE", "SINCE", "WHY")
	for _, part := range p.Parts {
		if part.Why != "" {
			t.row(part.Pool, "", "", "", part.Why)
		}
		for _, it := range part.Items {
			t.row(part.Pool, it.Instance, it.State, it.Since.UTC().Format(time.TimeOnly), it.Why)
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
