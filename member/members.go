package member

import (
	"context"
	"errors"
	"maps"
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

// Timing of heartbeats.
const (
	HeartbeatInterval = 500 * time.Millisecond  // between two writes of a candidate's own row, or as long as a write takes
	HeartbeatTimeout  = 1600 * time.Millisecond // a candidate whose row is unchanged for this long is dead: three heartbeats
	rareInterval      = 5 * time.Second         // between two writes of another daemon's row
	rareTimeout       = 16 * time.Second        // the timeout for these: three heartbeats
	recheckInterval   = 250 * time.Millisecond  // between checks of whether this daemon is a candidate
	pollInterval      = 200 * time.Millisecond  // between polls for changes
	knownWithin       = 2 * time.Second         // after which a change among the daemons is known
	callTimeout       = time.Second             // for a write, whose answer may be lost; a slow store takes some hundred milliseconds
	retryDelay        = 100 * time.Millisecond  // after a failed call
)

// Table is the store's table with one row for each daemon; its name is the row's partition and key.
const Table = "node"

// RowKey returns the key of a daemon's row. Each row has its own partition: transactions of one partition are serialized, and a
// slow store completes two a second.
func RowKey(name string) platform.RowKey {
	return platform.RowKey{Table: Table, Partition: name, Key: name}
}

// Members writes this daemon's heartbeats and tracks those of the other daemons. Only the candidates, the daemons that are
// to lead services first, send frequent heartbeats: every daemon reads them all.
type Members struct {
	store      *platform.Store
	log        *zap.Logger
	now        clock.Clock
	candidates func() int

	mu           sync.Mutex
	self         Node
	nodes        map[string]nodeRow
	endedBoots   map[string]struct{} // name/boot of incarnations that a later one has replaced
	newestTerms  map[string]int      // newest term of leadership that any daemon's row has named, by service
	lastAcked    time.Time           // when the newest acknowledged write of this daemon's row was sent
	epoch        int64               // incremented when others may have considered this daemon dead
	lastContact  time.Time           // when the store last answered a poll
	contactSince time.Time           // since when it has answered every poll; zero while it doesn't
	followed     followed            // the changes that are known without a gap
	onChange     func()
	wake         chan struct{}
	ownVersion   int64 // version of this daemon's row; used only by RunHeartbeat
}

// nodeRow is a daemon's row and when it last changed.
type nodeRow struct {
	node      Node
	version   int64
	changedAt time.Time
}

// followed is the time and the version of the store from which on all changes of daemons' rows are known here. Its zero value
// stands for none.
type followed struct {
	since   time.Time
	version int64
}

// New returns the Members of the daemon self. candidates returns how many daemons are to be ready to lead. It calls
// onChange after each change among the daemons.
func New(store *platform.Store, self Node, log *zap.Logger, now clock.Clock, candidates func() int, onChange func()) *Members {
	return &Members{
		candidates: candidates,
		store:      store,
		log:        log,
		now:        now,
		self:       self,
		nodes:      map[string]nodeRow{},
		endedBoots: map[string]struct{}{},

		newestTerms: map[string]int{},

		onChange: onChange,
		wake:     make(chan struct{}, 1),
	}
}

// RunHeartbeat writes this daemon's row periodically until ctx ends.
func (m *Members) RunHeartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := m.now()
		if err := m.writeRow(ctx); err != nil && ctx.Err() == nil {
			if fault.Is(err, fault.Conflict) {
				continue // writeRow has learned the row's version: retry
			}
			m.log.Warn("failed to write own daemon row", zap.Error(err))
			sleep.ForOrWake(ctx, retryDelay, nil)
			continue
		}
		m.awaitHeartbeat(ctx, sent)
	}
	return nil
}

// awaitHeartbeat waits until the heartbeat after the one sent at a time is due, or until this daemon becomes a candidate.
func (m *Members) awaitHeartbeat(ctx context.Context, sent time.Time) {
	if !m.updateFrequency() {
		sleep.ForOrWake(ctx, sent.Add(HeartbeatInterval).Sub(m.now()), m.wake)
		return
	}
	for due := sent.Add(rareInterval); ctx.Err() == nil && m.now().Before(due); {
		if woken := sleep.ForOrWake(ctx, recheckInterval, m.wake); woken || !m.updateFrequency() {
			return
		}
	}
}

// updateFrequency sets whether this daemon's heartbeats are infrequent, and returns it. A change is written with the next
// heartbeat.
func (m *Members) updateFrequency() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	infrequent := len(m.self.Holds) == 0 && !m.self.Leaving && !m.isCandidate()
	if infrequent != m.self.Infrequent {
		m.self.Infrequent = infrequent
		m.writeNow()
	}
	return infrequent
}

// writeRow writes this daemon's row once.
func (m *Members) writeRow(ctx context.Context) error {
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	value, err := self.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := m.now()
	// The write is conditional, so that a delayed write can't overwrite a later one or one of a later incarnation.
	key := RowKey(self.Name)
	stamp, err := m.store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: key, Version: m.ownVersion}},
		Puts:       []platform.Row{{RowKey: key, Value: value}},
	})
	var c *platform.Conflict
	if errors.As(err, &c) && len(c.Rows) > 0 {
		m.ownVersion = c.Rows[0].Version
	}
	if err != nil {
		return err
	}
	m.ownVersion = stamp.Version
	m.mu.Lock()
	defer m.mu.Unlock()
	// This write took effect between sent and now, and the previous one no earlier than lastAcked. If they may lie further
	// apart than the timeout, others may have considered this daemon dead.
	if m.now().Sub(m.lastAcked) > HeartbeatTimeout {
		m.epoch++
	}
	m.lastAcked = sent
	return nil
}

// SetLedServices sets the services that this daemon's row names as led by it, with their terms, and has the row written
// immediately.
func (m *Members) SetLedServices(terms map[string]int) {
	m.mu.Lock()
	m.self.Holds, m.self.Terms = slices.Sorted(maps.Keys(terms)), terms
	m.mu.Unlock()
	m.writeNow()
}

// Leave announces to the other daemons that this one is about to stop.
func (m *Members) Leave() {
	m.mu.Lock()
	m.self.Leaving = true
	m.mu.Unlock()
	m.writeNow()
}

// writeNow makes RunHeartbeat write the row immediately.
func (m *Members) writeNow() {
	sleep.Wake(m.wake)
}

// Watch follows the rows of all daemons until ctx ends.
func (m *Members) Watch(ctx context.Context) error {
	watcher := watch.Watcher{
		Store:       m.store,
		Table:       Table,
		FromVersion: watch.FromNewest, // live daemons write their rows again soon; to read them all takes a call each
		Within:      knownWithin,
		Interval:    pollInterval,
		Log:         m.log,
		OnError:     m.pollFailed,
		OnGap:       m.changesMissed,
		Apply: func(_ context.Context, page platform.Page, _ bool) error {
			if m.applyPage(page) {
				m.onChange()
			}
			return nil
		},
	}
	return watcher.Run(ctx)
}

// applyPage applies the answer to a poll and reports whether it has any relevant change.
func (m *Members) applyPage(page platform.Page) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.lastContact = now
	if m.contactSince.IsZero() {
		m.contactSince = now
	}
	if m.followed.since.IsZero() {
		m.followed = followed{now, page.Version}
	}
	return m.applyRows(now, page.Rows)
}

// applyRows applies rows read from the store and reports whether any of them is a relevant change. The caller holds m.mu.
func (m *Members) applyRows(now time.Time, rows []platform.Row) bool {
	changed := false
	for _, r := range rows {
		if r.Deleted {
			delete(m.nodes, r.Key)
			changed = true
			continue
		}
		n, err := decodeNode(r.Value)
		if err != nil || n.Name != r.Key {
			m.log.Warn("invalid daemon row", zap.String("row", r.Key), zap.Error(err))
			continue
		}
		old, ok := m.nodes[r.Key]
		if ok && old.version == r.Version {
			continue
		}
		changed = changed || !ok || old.node.Boot != n.Boot || old.node.Leaving != n.Leaving || old.node.Infrequent != n.Infrequent || !slices.Equal(old.node.Holds, n.Holds) || !maps.Equal(old.node.Terms, n.Terms) || now.Sub(old.changedAt) > old.node.timeout()
		if ok && old.node.Boot != n.Boot {
			m.endedBoots[n.Name+"/"+old.node.Boot] = struct{}{}
		}
		m.nodes[r.Key] = nodeRow{n, r.Version, now}
		for service, term := range n.Terms {
			m.newestTerms[service] = max(m.newestTerms[service], term)
		}
	}
	return changed
}

// Observe applies a daemon's row that was read by itself. A row that is unknown here and was written before the changes are
// followed has not changed since then.
func (m *Members) Observe(row platform.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.now()
	if _, ok := m.nodes[row.Key]; !ok && !m.followed.since.IsZero() && row.Version <= m.followed.version {
		at = m.followed.since
	}
	m.applyRows(at, []platform.Row{row})
}

// Candidates returns the daemons that may lead services, sorted by name: the live ones with frequent heartbeats that
// aren't shutting down.
func (m *Members) Candidates() []Node {
	return slices.DeleteFunc(m.Live(), func(n Node) bool { return n.Leaving || n.Infrequent })
}

// Live returns the live daemons, sorted by name. It includes this daemon once its own row has been read.
func (m *Members) Live() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Node
	for _, row := range m.nodes {
		if m.fresh(row) {
			list = append(list, row.node)
		}
	}
	slices.SortFunc(list, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// fresh reports whether a row belongs to a live daemon. Time during which the store didn't answer doesn't count
// against a daemon.
func (m *Members) fresh(row nodeRow) bool {
	since := row.changedAt
	if m.contactSince.After(since) {
		since = m.contactSince
	}
	return m.lastContact.Sub(since) <= row.node.timeout()
}

// changesMissed notes that there may be changes that are never delivered.
func (m *Members) changesMissed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.followed = followed{}
}

// pollFailed notes that the store didn't answer a poll.
func (m *Members) pollFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactSince = time.Time{}
}

// Leader returns the live daemon whose row names it as the leader of a service, and false if there is none. Of several it is the
// one with the newest term: the others have not learned yet that they were succeeded.
func (m *Members) Leader(service string) (Node, bool) {
	var leader Node
	found := false
	for _, n := range m.Live() {
		if slices.Contains(n.Holds, service) && (!found || n.Terms[service] > leader.Terms[service]) {
			leader, found = n, true
		}
	}
	if term, ok := leader.Terms[service]; ok && term < m.NewestTerm(service) {
		return Node{}, false
	}
	return leader, found
}

// NewestTerm returns the newest term of leadership of a service that any daemon's row has named, or 0.
func (m *Members) NewestTerm(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestTerms[service]
}

// Gone reports whether an incarnation of a daemon is not live any more: the daemon has started again, or its row has not changed
// for its timeout. The row has to be observed first: a daemon that has not been heard of may be live.
func (m *Members) Gone(name, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.nodes[name]
	if !ok || row.node.Boot != boot {
		return true
	}
	return !m.fresh(row)
}

// Restarted reports whether this incarnation of a daemon is known to be over because the daemon has started again.
func (m *Members) Restarted(name, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.nodes[name]
	if !ok || row.node.Boot == boot {
		return false
	}
	_, ended := m.endedBoots[name+"/"+boot]
	return ended
}

// LastChange returns the version of the last known heartbeat of an incarnation of a daemon and when it became known, or false
// if none is known.
func (m *Members) LastChange(name, boot string) (int64, time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.nodes[name]
	if !ok || row.node.Boot != boot {
		return 0, time.Time{}, false
	}
	return row.version, row.changedAt, true
}

// HeartbeatState describes this daemon's own heartbeats.
type HeartbeatState struct {
	Acked time.Time // when the newest acknowledged heartbeat was sent
	Epoch int64     // if it has changed, others may have considered this daemon dead in between
}

// OwnHeartbeat returns the state of this daemon's own heartbeats.
func (m *Members) OwnHeartbeat() HeartbeatState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return HeartbeatState{m.lastAcked, m.epoch}
}

// LastContact returns when the store last answered a poll of Watch.
func (m *Members) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}
