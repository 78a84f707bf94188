package wave

import (
	"encoding/json"
	"slices"
	"strings"

	"gypsumlead/backing"
	"gypsumlead/pool"
)

// own hides the takes of others from a wave that counts takes on its own account.
func (g *gate) own(rows []backing.Row) {
	wave := ""
	for _, r := range rows {
		if name, _, ok := strings.Cut(strings.TrimPrefix(r.Key, "wave/"), "/part/"); ok {
			wave = name
		}
	}
	for i, r := range rows {
		if wave == "" || !strings.HasPrefix(r.Key, "pool/") {
			continue
		}
		var s pool.State
		_ = json.Unmarshal(r.Value, &s)
		s.Takes = slices.DeleteFunc(s.Takes, func(t pool.Take) bool { return t.By != wave })
		rows[i].Value, _ = json.Marshal(s)
		g.hidden = wave
	}
}

// joined adds the takes that own hid to the row that the wave writes.
func (g *gate) joined(tx backing.Tx) backing.Tx {
	for i, op := range tx.Ops {
		p, ok := op.(backing.Put)
		if !ok || !strings.HasPrefix(p.Key, "pool/") || g.d == nil {
			continue
		}
		var have, next pool.State
		g.w.load(p.Key, &have)
		_ = json.Unmarshal(p.Value, &next)
		for _, t := range have.Takes {
			if _, taken := next.Taken(t.Instance); !taken && t.By != g.hidden {
				next.Takes = append(next.Takes, t)
			}
		}
		slices.SortFunc(next.Takes, func(a, b pool.Take) int { return strings.Compare(a.Instance, b.Instance) })
		p.Value, _ = json.Marshal(next)
		tx.Ops[i] = p
	}
	return tx
}
