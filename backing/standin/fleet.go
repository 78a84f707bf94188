package standin

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// fleet is all instances with what runs on them. One lock guards it: acts on instances are
// rare, and a worker's tasks are looked at a worker at a time.
type fleet struct {
	now      func() time.Time
	onReboot func(backing.Instance)
	bootTime time.Duration
	saveTime time.Duration

	mu        sync.Mutex
	lag       time.Duration
	reportLag time.Duration
	cut       time.Time // the list shows the instances as of then; never goes back
	nodes     map[string]*node
	tasks     map[string]*task
	profiles  map[string]Profile
}

func newFleet(c config) *fleet {
	return &fleet{
		now:       c.now,
		onReboot:  c.onReboot,
		bootTime:  c.bootTime,
		saveTime:  c.saveTime,
		lag:       c.lag,
		reportLag: c.reportLag,
		nodes:     map[string]*node{},
		tasks:     map[string]*task{},
		profiles:  map[string]Profile{},
	}
}

func (f *fleet) put(w backing.Worker, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Boot == "" {
		w.Boot = w.ID + "-1"
	}
	if w.State == "" {
		w.State = backing.StateLive
	}
	now := f.now()
	if w.Seen.IsZero() {
		w.Seen = now
	}
	n := f.nodes[w.ID]
	if n == nil {
		n = &node{epoch: map[string]int64{}, boots: 1}
		f.nodes[w.ID] = n
	}
	n.Worker = w
	n.self = self
	n.note(now)
}

func (f *fleet) beat(i backing.Instance) backing.Instance {
	f.mu.Lock()
	n := f.nodes[i.ID]
	if n == nil {
		f.mu.Unlock()
		f.put(backing.Worker{Instance: i}, false)
		f.mu.Lock()
		n = f.nodes[i.ID]
	}
	defer f.mu.Unlock()
	if i.Boot != n.Boot || n.State == backing.StateGone {
		return n.Instance
	}
	now := f.now()
	n.Seen = now
	n.Addr = i.Addr
	n.dead = false
	n.self = false
	if !n.upAt.IsZero() {
		n.upAt = time.Time{}
		n.State = backing.StateLive
	}
	n.note(now)
	f.advance()
	n.at(f.cut)
	return n.Instance
}

// advance moves the instant that the list shows.
func (f *fleet) advance() {
	if cut := f.now().Add(-f.lag); cut.After(f.cut) {
		f.cut = cut
	}
}

func (f *fleet) drain(id, boot string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.find(id, boot)
	if err != nil {
		return err
	}
	if n.State == backing.StateLive {
		n.State = backing.StateLeaving
		n.note(f.now())
	}
	return nil
}

func (f *fleet) reboot(r backing.Reboot) error {
	f.mu.Lock()
	n, err := f.find(r.Instance, r.Boot)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.restart(n)
	i := n.Instance
	f.mu.Unlock()
	if f.onReboot != nil {
		f.onReboot(i)
	}
	return nil
}

// find returns the instance while boot is its boot.
func (f *fleet) find(id, boot string) (*node, error) {
	n := f.nodes[id]
	if n == nil || n.State == backing.StateGone {
		return nil, errNoInstance(id)
	}
	f.settle(n)
	if n.Boot != boot {
		return nil, fault.New(fault.Fenced, "instance %s has boot %s, not %s", id, n.Boot, boot)
	}
	return n, nil
}

// restart puts a new boot in force; until the instance beats under it the list goes on to show
// the prior boot as leaving, for nothing has been heard of the new one.
func (f *fleet) restart(n *node) {
	now := f.now()
	n.endTasks(now)
	n.boots++
	n.prior = n.Boot
	n.Boot = fmt.Sprintf("%s-%d", n.ID, n.boots)
	n.State = backing.StateLeaving
	n.upAt = now.Add(f.bootTime)
	n.note(now)
	f.settle(n)
}

// settle brings an instance that beats by itself up when its reboot is over.
func (f *fleet) settle(n *node) {
	if !n.self || n.dead || n.upAt.IsZero() || f.now().Before(n.upAt) {
		return
	}
	n.State = backing.StateLive
	n.Seen = n.upAt
	n.upAt = time.Time{}
	n.note(n.Seen)
}

func (f *fleet) kill(id string) error {
	return f.change(id, func(n *node) {
		n.dead = true
		n.Seen = f.now()
		n.endTasks(f.now())
	})
}

func (f *fleet) revive(id string) (backing.Instance, error) {
	err := f.change(id, func(n *node) {
		n.dead = false
		f.restart(n)
	})
	if err != nil {
		return backing.Instance{}, err
	}
	return f.instance(id)
}

// change alters an instance and notes the state for the list.
func (f *fleet) change(id string, do func(n *node)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n == nil {
		return errNoInstance(id)
	}
	f.settle(n)
	do(n)
	n.note(f.now())
	return nil
}

func (f *fleet) instance(id string) (backing.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n == nil {
		return backing.Instance{}, errNoInstance(id)
	}
	f.settle(n)
	return n.Instance, nil
}

func (f *fleet) list() []backing.Instance {
	ws := f.workers(func(*node) bool { return true })
	list := make([]backing.Instance, 0, len(ws))
	for _, w := range ws {
		list = append(list, w.Instance)
	}
	return list
}

// workers returns the instances that pick selects as of the list's cut, sorted by ID.
func (f *fleet) workers(pick func(*node) bool) []backing.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	list := make([]backing.Worker, 0, len(f.nodes))
	for _, n := range f.nodes {
		if !pick(n) {
			continue
		}
		f.settle(n)
		if w, ok := n.at(f.cut); ok {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b backing.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
