package journal

import (
	"sort"
	"sync"
	"sync/atomic"

	"gypsumlead/fault"
	"gypsumlead/record"
)

const (
	recordShards = 16
	logKept      = 2000 // changes held for peers that ask for them; older ones are sent as a snapshot
)

// State is the configuration in force in one daemon. It only moves forward: a change is
// applied when all before it have been, and never a second time.
type State struct {
	mu     sync.Mutex // orders the appliers
	seq    atomic.Int64
	recent []Change // newest logKept changes, in order
	shards [recordShards]shard
	hooks  []func(Change)
}

// shard holds some of the records under its own lock.
type shard struct {
	mu   sync.RWMutex
	recs map[record.Key]record.Envelope
}

// Snapshot is the whole configuration after change Seq; records that are gone are left out.
type Snapshot struct {
	Seq     int64             `json:"seq"`
	Records []record.Envelope `json:"records"`
}

// NewState returns an empty configuration; each hook is called after each change or, with an
// empty change of the snapshot's number, after each snapshot, in order.
func NewState(hooks ...func(Change)) *State {
	s := &State{hooks: hooks}
	for i := range s.shards {
		s.shards[i].recs = map[record.Key]record.Envelope{}
	}
	return s
}

// Apply puts the changes in force that follow on what is there, in order, and returns how many
// it took. A gap is an error of kind fault.Missing: pull what is between first.
func (s *State) Apply(changes ...Change) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range changes {
		if c.Seq <= s.seq.Load() {
			continue
		}
		if c.Seq != s.seq.Load()+1 {
			return n, fault.New(fault.Missing, "change %d came while %d is in force", c.Seq, s.seq.Load())
		}
		if err := s.apply(c); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// apply checks the whole change before it touches a record.
func (s *State) apply(c Change) error {
	for _, e := range c.Records {
		if old, ok := s.envelope(e.Key()); ok && old.Version >= c.Seq {
			return fault.New(fault.Breach, "change %d would put %s back from version %d", c.Seq, e.Key(), old.Version)
		}
	}
	for _, e := range c.Records {
		e.Version = c.Seq
		s.put(e)
	}
	s.recent = append(s.recent, c)
	if len(s.recent) > 2*logKept {
		s.recent = append([]Change(nil), s.recent[len(s.recent)-logKept:]...)
	}
	s.seq.Store(c.Seq)
	s.tell(c)
	return nil
}

// Restore puts a snapshot in force if it is newer than what is there.
func (s *State) Restore(snap Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Seq <= s.seq.Load() {
		return false
	}
	fresh := make(map[record.Key]bool, len(snap.Records))
	for _, e := range snap.Records {
		fresh[e.Key()] = true
		s.put(e)
	}
	for _, e := range s.List("") {
		if !fresh[e.Key()] {
			s.drop(e.Key())
		}
	}
	s.recent = nil
	s.seq.Store(snap.Seq)
	s.tell(Change{Seq: snap.Seq})
	return true
}

// Seq returns the number of the newest change in force.
func (s *State) Seq() int64 {
	return s.seq.Load()
}

// Since returns at most limit changes after a number, and false where they are no longer held.
func (s *State) Since(after int64, limit int) ([]Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.seq.Load() {
		return nil, true
	}
	i := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].Seq > after })
	if i == len(s.recent) || s.recent[i].Seq != after+1 {
		return nil, false
	}
	end := min(i+limit, len(s.recent))
	return append([]Change(nil), s.recent[i:end]...), true
}

// Snapshot returns the whole configuration in force.
func (s *State) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{Seq: s.seq.Load(), Records: s.List("")}
}

// Get returns a record in force.
func (s *State) Get(k record.Key) (record.Envelope, bool) {
	return s.envelope(k)
}

// List returns the records of a kind, or of every kind where it is empty, sorted by key.
func (s *State) List(kind record.Kind) []record.Envelope {
	var all []record.Envelope
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		for k, e := range sh.recs {
			if kind == "" || k.Kind == kind {
				all = append(all, e)
			}
		}
		sh.mu.RUnlock()
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Kind != all[j].Kind {
			return all[i].Kind < all[j].Kind
		}
		return all[i].Name < all[j].Name
	})
	return all
}

func (s *State) envelope(k record.Key) (record.Envelope, bool) {
	sh := s.shardOf(k)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	e, ok := sh.recs[k]
	return e, ok
}

func (s *State) put(e record.Envelope) {
	if e.Gone {
		s.drop(e.Key())
		return
	}
	sh := s.shardOf(e.Key())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.recs[e.Key()] = e
}

func (s *State) drop(k record.Key) {
	sh := s.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.recs, k)
}

func (s *State) tell(c Change) {
	for _, h := range s.hooks {
		h(c)
	}
}

func (s *State) shardOf(k record.Key) *shard {
	return &s.shards[hash(k)%recordShards]
}
