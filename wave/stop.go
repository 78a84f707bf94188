package wave

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gypsumlead/pool"
	"gypsumlead/record"
)

// Stop is the row by which a part of a wave stops all of its parts.
type Stop struct {
	At      time.Time `json:"at"`
	Pool    string    `json:"pool"`
	Why     string    `json:"why"`
	Resumed int       `json:"resumed"` // the record's count when it stopped; the operator goes on by a higher one
	Known   []string  `json:"known"`   // instances that stopped the wave and won't stop it again
}

// StopKey is the table key of the wave's Stop.
func StopKey(wave string) string {
	return Prefix(wave) + "stop"
}

// Holds tells whether the stop is in force for a wave with that record.
func (s Stop) Holds(rec record.Wave) bool {
	return s.Why != "" && rec.Resumed <= s.Resumed
}

// correlated looks for failures that one cause may explain; an empty text means that there are none.
func (p Part) correlated(s pool.State, b record.Budget, losses []pool.Loss, known []string, l Limits) (why string, names []string) {
	var late []string
	for _, it := range p.Items {
		if it.State == Late && !slices.Contains(known, it.Instance) {
			late = append(late, it.Instance)
		}
	}
	if len(late) >= l.Late {
		return fmt.Sprintf("not back within %s of their reboot: %s", l.Patience, strings.Join(late, ", ")), late
	}
	lost, racks := fresh(s, losses, known)
	for _, rack := range racks.order {
		if ids := racks.ids[rack]; len(ids) >= l.Rack {
			return fmt.Sprintf("rack %s lost %s", rack, strings.Join(ids, ", ")), ids
		}
	}
	if len(lost) >= l.Over && len(s.Takes)+len(lost) > b.Out {
		return fmt.Sprintf("%d planned takes and the losses of %s are over budget.out %d", len(s.Takes), strings.Join(lost, ", "), b.Out), lost
	}
	return "", nil
}

// byRack groups instances by rack and keeps the order in which the racks came.
type byRack struct {
	ids   map[string][]string
	order []string
}

// fresh returns the sure losses that aren't known yet.
func fresh(s pool.State, losses []pool.Loss, known []string) ([]string, byRack) {
	r := byRack{ids: map[string][]string{}}
	var lost []string
	for _, l := range losses {
		if !l.Sure || slices.Contains(known, l.Instance) {
			continue
		}
		m, _ := s.Member(l.Instance)
		if len(r.ids[m.Rack]) == 0 {
			r.order = append(r.order, m.Rack)
		}
		lost = append(lost, l.Instance)
		r.ids[m.Rack] = append(r.ids[m.Rack], l.Instance)
	}
	return lost, r
}
