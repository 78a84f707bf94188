package wave

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/pool"
)

// Part is a wave's progress in one pool; an instance stands in it once, and is out exactly while
// the pool's row holds the wave's take of it.
type Part struct {
	Wave  string    `json:"wave"`
	Pool  string    `json:"pool"`
	Began time.Time `json:"began"`
	Ended time.Time `json:"ended,omitzero"`
	Why   string    `json:"why,omitempty"`   // what keeps the part from taking its next instance
	Items []Item    `json:"items,omitempty"` // sorted by instance
}

// Item is one instance of the part.
type Item struct {
	Instance string    `json:"instance"`
	State    State     `json:"state"`
	Since    time.Time `json:"since"`          // when it came into the state
	Boot     string    `json:"boot,omitempty"` // boot that was taken
	Seq      int64     `json:"seq,omitempty"`  // change that drains the boot
	Why      string    `json:"why,omitempty"`  // what it waits for, or why it was dropped
}

// Key is the table key of a wave's progress in a pool.
func Key(wave, pool string) string {
	return Prefix(wave) + "part/" + pool
}

// Prefix is the start of the table keys of all rows of a wave.
func Prefix(wave string) string {
	return "wave/" + wave + "/"
}

// Item returns the item of an instance.
func (p Part) Item(id string) (Item, bool) {
	i, ok := p.find(id)
	if !ok {
		return Item{}, false
	}
	return p.Items[i], true
}

// Out returns how many instances the part has out.
func (p Part) Out() int {
	n := 0
	for _, it := range p.Items {
		if it.State.IsOut() {
			n++
		}
	}
	return n
}

// Left returns how many instances the part isn't through with.
func (p Part) Left() int {
	n := 0
	for _, it := range p.Items {
		if !it.State.IsFinal() {
			n++
		}
	}
	return n
}

// Check is the aggregate's invariant against the pool's row; an error of kind fault.Breach means
// a defect of the program.
func (p Part) Check(s pool.State) error {
	for i, it := range p.Items {
		if i > 0 && p.Items[i-1].Instance >= it.Instance {
			return fault.New(fault.Breach, "wave %s: instances %s and %s are out of order or the same", p.Wave, p.Items[i-1].Instance, it.Instance)
		}
		t, mine := p.takeOf(s, it.Instance)
		if mine != it.State.IsOut() {
			return fault.New(fault.Breach, "wave %s: instance %s is %s, but its take in pool %s says otherwise", p.Wave, it.Instance, it.State, p.Pool)
		}
		if mine && t.Boot != it.Boot {
			return fault.New(fault.Breach, "wave %s: instance %s was taken under boot %s, not %s", p.Wave, it.Instance, t.Boot, it.Boot)
		}
	}
	for _, t := range s.Takes {
		if _, ok := p.find(t.Instance); !ok && t.Cause == pool.CauseWave && t.By == p.Wave {
			return fault.New(fault.Breach, "wave %s took instance %s of pool %s and doesn't know of it", p.Wave, t.Instance, p.Pool)
		}
	}
	if !p.Ended.IsZero() && p.Left() > 0 {
		return fault.New(fault.Breach, "wave %s ended in pool %s with %d instances left", p.Wave, p.Pool, p.Left())
	}
	return nil
}

// takeOf returns the wave's own take of an instance.
func (p Part) takeOf(s pool.State, id string) (pool.Take, bool) {
	t, taken := s.Taken(id)
	return t, taken && t.Cause == pool.CauseWave && t.By == p.Wave
}

func (p Part) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.Items, id, func(it Item, id string) int { return cmp.Compare(it.Instance, id) })
}
