package cli

import (
	"context"
	"encoding/json"

	"github.com/go-faster/jx"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
)

// runWave edits the wave's record: what a wave does next is read from it at each step.
func runWave(ctx context.Context, e *env, args []string) error {
	fs := e.flags()
	c := addChange(fs)
	rest, err := parse(fs, args, 2, 2)
	if err != nil {
		return err
	}
	paused, cancelled := false, false
	switch rest[0] {
	case "pause":
		paused = true
	case "resume":
	case "cancel":
		cancelled = true
	default:
		return usageError{"pause, resume or cancel is wanted"}
	}
	old, err := getRecord(ctx, c.remote, "wave", rest[1])
	if err != nil {
		return err
	}
	body := map[string]json.RawMessage{}
	if err := json.Unmarshal(old.Body, &body); err != nil {
		return fault.Wrap(fault.Invalid, err, "read wave %s", rest[1])
	}
	body["paused"] = boolJSON(paused)
	if cancelled {
		body["cancelled"] = boolJSON(true)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "write wave %s", rest[1])
	}
	rec, err := putRecord(ctx, c, "wave", rest[1], old.Version, &oas.Draft{Schema: old.Schema, Body: oas.Body(jx.Raw(data))})
	if err != nil {
		return err
	}
	return printRecord(e.out, rec, *c.json)
}

func boolJSON(b bool) json.RawMessage {
	if b {
		return json.RawMessage("true")
	}
	return json.RawMessage("false")
}
