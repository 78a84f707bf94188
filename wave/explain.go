package wave

import (
	"fmt"

	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// entriesOf returns the audit entries of a step: one for each kind of decision, with all instances it is about.
func (d *Driver) entriesOf(s snapshot, n outcome) []audit.Entry {
	b := &trail{driver: d, snapshot: s, next: n, at: map[string]int{}}
	for _, e := range n.events {
		b.add(e)
	}
	if n.stop.Why != s.stop.Why || !n.stop.At.Equal(s.stop.At) {
		b.put("stop", n.stop.Why, "", "")
	}
	if n.part.Why != "" && n.part.Why != s.part.Why {
		b.put("wait", n.part.Why, "", fault.KindOf(n.wait).String())
	}
	if !n.part.Ended.IsZero() {
		b.put("end", "every instance is returned or dropped", "", "")
	}
	return b.entries
}

// trail collects the entries of a step.
type trail struct {
	driver   *Driver
	snapshot snapshot
	next     outcome
	entries  []audit.Entry
	at       map[string]int // act and reason to place in entries
}

func (t *trail) add(e Event) {
	switch e := e.(type) {
	case Quieted:
		t.put("quiet", "every entry has the drain in force and nothing in progress", e.Instance, "")
	case Rebooted:
		t.put("reboot", "quiet", e.Instance, "")
	case Overran:
		t.put("late", "not back within "+t.driver.limits.Patience.String(), e.Instance, "")
	case Came:
		t.put("return", "seen well under a new boot", e.Instance, "")
	case Left:
		t.put("drop", e.Why, e.Instance, "")
	case Waited:
		t.put("wait", e.Why, e.Instance, "")
	case Joined, Took, Told:
	}
}

// put adds an instance to the entry of an act and reason.
func (t *trail) put(act, why, instance, refused string) {
	part := t.snapshot.part
	i, ok := t.at[act+why]
	if !ok {
		i = len(t.entries)
		t.at[act+why] = i
		t.entries = append(t.entries, audit.Entry{
			ID:       fmt.Sprintf("wave-%s-%s-%d-%d", part.Wave, part.Pool, t.snapshot.rows.Row(Key(part.Wave, part.Pool)).Version, i),
			At:       t.snapshot.rows.Now,
			Actor:    t.driver.actor,
			Act:      act,
			Why:      why,
			Refused:  refused,
			Subjects: []audit.Subject{{Kind: string(record.KindWave), Name: part.Wave}, {Kind: string(record.KindPool), Name: part.Pool}},
			Inputs:   t.snapshot.pool.Facts(t.next.state.Count(pool.Losses(t.next.state, t.next.view, t.snapshot.rows.Now))),
		})
	}
	if instance != "" {
		t.entries[i].Subjects = append(t.entries[i].Subjects, audit.Subject{Kind: "instance", Name: instance})
	}
}
