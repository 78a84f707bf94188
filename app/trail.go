package app

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/platform"
)

const trailPage = 200 // entries read at once

// trail reads and writes the audit trail in the table.
type trail struct {
	table platform.Table
}

// Entries returns every decision on s, oldest first.
func (t *trail) Entries(ctx context.Context, s audit.Subject) ([]audit.Entry, error) {
	prefix := audit.SubjectPrefix(s)
	var out []audit.Entry
	after := ""
	for {
		rows, err := t.table.Scan(ctx, prefix, after, trailPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var e audit.Entry
			if err := json.Unmarshal(row.Value, &e); err != nil {
				return nil, fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
			}
			out = append(out, e)
			after = row.Key
		}
		if len(rows) < trailPage {
			return out, nil
		}
	}
}

// Refuse notes a decision not to do something.
func (t *trail) Refuse(ctx context.Context, e audit.Entry) error {
	e.At = time.Now()
	ops, err := audit.Ops(e)
	if err != nil {
		return err
	}
	return t.table.Commit(ctx, platform.Tx{Ops: ops})
}
