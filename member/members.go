package member

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/watch"
)

// Times of the membership.
const (
	HeartbeatInterval = 700 * time.Millisecond  // between two writes of the own row
	HeartbeatTimeout  = 2200 * time.Millisecond // a row that hasn't changed for this long is of a dead daemon: three beats
	followGap         = 200 * time.Millisecond  // between two looks for changes
	callLimit         = 2500 * time.Millisecond // for a call to the store; a slow store takes some hundred milliseconds
	retryGap          = 250 * time.Millisecond  // after a call that failed
)

// table has a row for each daemon.
const table = "node"

// Members is the daemons' view of each other.
type Members struct {
	store *platform.Store
	log   *zap.Logger
	now   clock.Clock

	mu      sync.Mutex
	self    Node
	nodes   map[string]seen
	boots   map[string]struct{} // daemon/boot of starts that were followed by another
	acked   time.Time           // when the newest write of our row that was acknowledged had been sent
	spell   int64               // counts the times without a gap in which others may have counted us as dead
	heard   time.Time           // when the store last answered a look for changes
	since   time.Time           // since when it has answered every look; zero while it doesn't
	changed func()
	dirty   chan struct{}
	version int64 // of the own row; used by RunHeartbeat alone
}

// seen is a daemon's row and when it last changed.
type seen struct {
	node    Node
	version int64
	at      time.Time
}

// New returns the membership of a daemon; changed is called after each change that it sees.
func New(store *platform.Store, self Node, log *zap.Logger, now clock.Clock, changed func()) *Members {
	return &Members{
		store:   store,
		log:     log,
		now:     now,
		self:    self,
		nodes:   map[string]seen{},
		boots:   map[string]struct{}{},
		changed: changed,
		dirty:   make(chan struct{}, 1),
	}
}

// RunHeartbeat writes the own row until ctx ends.
func (m *Members) RunHeartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.tell(ctx); err != nil && ctx.Err() == nil {
			if fault.Is(err, fault.Conflict) {
				continue // the version is known now
			}
			m.log.Warn("own row not written", zap.Error(err))
			sleep.ForOrWake(ctx, retryGap, nil)
			continue
		}
		sleep.ForOrWake(ctx, HeartbeatInterval, m.dirty)
	}
	return nil
}

func (m *Members) tell(ctx context.Context) error {
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	value, err := self.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := m.now()
	// On a condition, so that a write that is carried out late can't undo a later one, or one of a later start.
	// In a part of its own: the transactions of one part wait for each other, and a slow store does two a second.
	at := platform.RowKey{Table: table, Partition: self.Name, Key: self.Name}
	stamp, err := m.store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: at, Version: m.version}},
		Puts:       []platform.Row{{RowKey: at, Value: value}},
	})
	var c *platform.Conflict
	if errors.As(err, &c) && len(c.Rows) > 0 {
		m.version = c.Rows[0].Version
	}
	if err != nil {
		return err
	}
	m.version = stamp.Version
	m.mu.Lock()
	defer m.mu.Unlock()
	// The row took effect between sent and now; the one before, not before it had been sent.
	if m.now().Sub(m.acked) > HeartbeatTimeout {
		m.spell++
	}
	m.acked = sent
	return nil
}

// SetHolds sets the services that this daemon says it schedules.
func (m *Members) SetHolds(services []string) {
	m.mu.Lock()
	m.self.Holds = services
	m.mu.Unlock()
	m.hurry()
}

// Leave says that this daemon is about to stop.
func (m *Members) Leave() {
	m.mu.Lock()
	m.self.Leaving = true
	m.mu.Unlock()
	m.hurry()
}

// hurry has the own row written at once.
func (m *Members) hurry() {
	sleep.Wake(m.dirty)
}

// Watch keeps up with the other daemons' rows until ctx ends.
func (m *Members) Watch(ctx context.Context) error {
	f := watch.Watcher{
		Store:         m.store,
		Table:         table,
		AllPartitions: true,
		FromVersion:   watch.FromSnapshot,
		Interval:      followGap,
		Log:           m.log,
		OnError:       m.lost,
		Apply: func(_ context.Context, page platform.Page, _ bool) error {
			if m.take(page.Rows) {
				m.changed()
			}
			return nil
		},
	}
	return f.Run(ctx)
}

// take takes in rows and tells whether any of them says something new.
func (m *Members) take(rows []platform.Row) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.heard = now
	if m.since.IsZero() {
		m.since = now
	}
	news := false
	for _, r := range rows {
		if r.Deleted {
			delete(m.nodes, r.Key)
			news = true
			continue
		}
		n, err := decodeNode(r.Value)
		if err != nil || n.Name != r.Key {
			m.log.Warn("row of a daemon can't be used", zap.String("row", r.Key), zap.Error(err))
			continue
		}
		old, ok := m.nodes[r.Key]
		if ok && old.version == r.Version {
			continue
		}
		news = news || !ok || old.node.Boot != n.Boot || old.node.Leaving != n.Leaving || !slices.Equal(old.node.Holds, n.Holds) || now.Sub(old.at) > HeartbeatTimeout
		if ok && old.node.Boot != n.Boot {
			m.boots[n.Name+"/"+old.node.Boot] = struct{}{}
		}
		m.nodes[r.Key] = seen{n, r.Version, now}
	}
	return news
}

// Live returns the daemons whose rows are fresh, by name, this one included once it has written its row.
func (m *Members) Live() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Node
	for _, s := range m.nodes {
		if m.fresh(s) {
			list = append(list, s.node)
		}
	}
	slices.SortFunc(list, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// fresh tells whether a row is of a live daemon; silence of the store says nothing about a daemon.
func (m *Members) fresh(s seen) bool {
	from := s.at
	if m.since.After(from) {
		from = m.since
	}
	return m.heard.Sub(from) <= HeartbeatTimeout
}

// lost notes that the store didn't answer a look.
func (m *Members) lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = time.Time{}
}

// Leader returns the live daemon that says it schedules a service.
func (m *Members) Leader(service string) (Node, bool) {
	for _, n := range m.Live() {
		if slices.Contains(n.Holds, service) {
			return n, true
		}
	}
	return Node{}, false
}

// Alive tells whether this start of a daemon is known to be live.
func (m *Members) Alive(name, boot string) bool {
	for _, n := range m.Live() {
		if n.Name == name {
			return n.Boot == boot
		}
	}
	return false
}

// Restarted tells whether this start of a daemon is over because the daemon has started again.
func (m *Members) Restarted(name, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.nodes[name]
	if !ok || s.node.Boot == boot {
		return false
	}
	_, was := m.boots[name+"/"+boot]
	return was
}

// HeartbeatState is what is known of the own signs of life.
type HeartbeatState struct {
	Acked time.Time // when the newest one that was acknowledged was sent
	Epoch int64     // another number than before: in between others may have counted this daemon as dead
}

// OwnHeartbeat returns what is known of the own signs of life.
func (m *Members) OwnHeartbeat() HeartbeatState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return HeartbeatState{m.acked, m.spell}
}

// LastContact returns when the store last answered.
func (m *Members) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard
}
