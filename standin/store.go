package standin

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and latencies of the store, from the platform's documentation.
const (
	maxRows        = 500 // in the reply to one get or feed
	maxTxEntries   = 100
	maxValueSize   = 48 << 10 // bytes; 64 KB once encoded in base64
	maxNameSize    = 200
	txLatency      = 5 * time.Millisecond
	replyLatency   = 2 * time.Millisecond
	minCommitDelay = time.Second
	maxCommitDelay = 6 * time.Second
)

// wireRow is a row as the protocol encodes it.
type wireRow struct {
	Table      string `json:"Table"`
	Partition  string `json:"part"`
	Key        string `json:"Key"`
	Value      []byte `json:"Value"`
	RowVersion int64  `json:"RowVersion"`
	Deleted    bool   `json:"Deleted,omitempty"`
}

type wireTx struct {
	Expected []wireRow `json:"Expected"`
	Puts     []wireRow `json:"Puts"`
	Remove   []wireRow `json:"Remove"`
}

type wirePage struct {
	Rows       []wireRow `json:"rows"`
	HasMore    bool      `json:"HasMore"`
	RowVersion int64     `json:"RowVersion"`
	NowMs      int64     `json:"NowMs"`
}

// rowKey identifies a row.
type rowKey struct{ table, partition, key string }

// StoreFaults are the faults that a Store injects; the zero value injects none.
type StoreFaults struct {
	Down              bool                         // replies 503 to every request
	Unresponsive      bool                         // never replies
	RejectFrom        map[netip.Addr]struct{}      // rejects the calls of these callers
	RejectBy          Rejection                    // how it rejects them
	BusyRate          float64                      // fraction of all requests that get 429
	ResetPartitions   map[string]struct{}          // closes the connections of reads and transactions of these partitions
	SlowLinks         map[netip.Addr]time.Duration // time for each row that these callers read, as over a slow link
	LostReplyRate     float64                      // fraction of transactions that are committed without a reply
	DelayedCommitRate float64                      // fraction of transactions that get no reply and are committed seconds later
	ExtraLatency      time.Duration                // added to the latency of every reply and to a transaction's time in its partition
}

// Rejection is how a Store rejects the calls of some callers.
type Rejection int

// The ways of rejecting.
const (
	RejectByStatus  Rejection = iota // 503
	RejectAsBusy                     // 429
	RejectByReset                    // closes the connection
	RejectBySilence                  // never replies
)

// reject rejects a request.
func (by Rejection) reject(w http.ResponseWriter, r *http.Request) {
	switch by {
	case RejectByStatus:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RejectAsBusy:
		w.WriteHeader(http.StatusTooManyRequests)
	case RejectByReset:
		panic(http.ErrAbortHandler) // the way to close a connection without a response
	case RejectBySilence:
		withholdReply(r)
	}
}

// Store emulates the platform's table store.
type Store struct {
	mu          sync.Mutex
	rows        map[rowKey]wireRow
	version     int64
	changes     []wireRow     // change log, oldest first
	compactedTo int64         // changes up to this version are no longer in the log
	wake        chan struct{} // closed and replaced on every change
	faults      StoreFaults
	rand        *rand.Rand
	startedAt   time.Time
	busyUntil   map[string]time.Time // by partition: end of the last queued transaction
	callCounts  map[string]int       // by call name
	callsFrom   map[netip.Addr]int   // by caller
}

// NewStore returns an empty store that draws its random faults from r.
func NewStore(r *rand.Rand) *Store {
	return &Store{rows: map[rowKey]wireRow{}, wake: make(chan struct{}), rand: r, startedAt: time.Now(), busyUntil: map[string]time.Time{}, callCounts: map[string]int{}, callsFrom: map[netip.Addr]int{}}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Serves reports whether the store's faults leave its reads by a host alone, apart from their latency.
func (s *Store) Serves(host netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, rejected := s.faults.RejectFrom[host]
	return !rejected && !s.faults.Down && !s.faults.Unresponsive && s.faults.BusyRate == 0 && len(s.faults.ResetPartitions) == 0
}

// Compact drops the change log, so that a feed from an older version gets 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compactedTo = nil, s.version
	s.wakeWaiters()
}

// Put writes a row without a condition, as the operator or a runner does.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers pass only values that encode
	}
	s.PutBytes(table, key, b)
}

// PutBytes writes any bytes to a row without a condition, as another writer may do.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(wireRow{Table: table, Key: key, Value: value, RowVersion: s.version})
	s.wakeWaiters()
}

// Remove deletes a row if it exists, without a condition.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; !ok {
		return
	}
	s.version++
	s.setRow(wireRow{Table: table, Key: key, RowVersion: s.version, Deleted: true})
	s.wakeWaiters()
}

// Get returns a row's value, or nil if there is no such row.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

// Values returns the values of all rows by table and key.
func (s *Store) Values() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for rk, row := range s.rows {
		values[rk.table+"/"+rk.key] = append(values[rk.table+"/"+rk.key], row.Value...) // of all partitions
	}
	return values
}

// setRow stores or deletes a row and appends the change to the log.
func (s *Store) setRow(r wireRow) {
	rk := rowKey{r.Table, r.Partition, r.Key}
	if r.Deleted {
		delete(s.rows, rk)
	} else {
		s.rows[rk] = r
	}
	s.changes = append(s.changes, r)
}

// wakeWaiters wakes all feed requests that wait for a change.
func (s *Store) wakeWaiters() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP serves the store's calls of the platform's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	name := strings.TrimPrefix(r.URL.Path, "/gypsumlead/")
	s.callCounts[name]++
	s.callsFrom[from.Addr()]++
	busy := faults.BusyRate > 0 && s.rand.Float64() < faults.BusyRate // no draw without the fault: seeds keep their days
	s.mu.Unlock()
	if faults.Unresponsive {
		withholdReply(r)
		return
	}
	if _, rejected := faults.RejectFrom[from.Addr()]; rejected {
		faults.RejectBy.reject(w, r)
		return
	}
	if faults.Down {
		RejectByStatus.reject(w, r)
		return
	}
	if busy {
		RejectAsBusy.reject(w, r)
		return
	}
	time.Sleep(replyLatency + faults.ExtraLatency)
	switch name {
	case "rows-tx":
		s.serveTx(w, r, faults)
	case "rows-get":
		faults.abortIfReset(r.URL.Query().Get("part"))
		s.serveGet(w, r, faults.SlowLinks[from.Addr()])
	case "rows-feed":
		s.serveFeed(w, r)
	case "rows-parts":
		s.serveParts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// abortIfReset closes the connection of the request that is being served if its partition is reset.
func (f StoreFaults) abortIfReset(partition string) {
	if _, reset := f.ResetPartitions[partition]; reset {
		panic(http.ErrAbortHandler) // the way to close a connection without a response
	}
}

// newPage returns a page of rows with the store's current version and time.
func (s *Store) newPage(rows []wireRow) wirePage {
	return wirePage{Rows: rows, RowVersion: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}
}

// serveGet lists the rows of a partition in a range of keys.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, rowTime time.Duration) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []wireRow
	for rk, row := range s.rows {
		if rk.table == q.Get("Table") && rk.partition == q.Get("part") && rk.key >= q.Get("From") && (q.Get("Target") == "" || rk.key < q.Get("Target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil {
		limit = min(limit, n)
	}
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	page := s.newPage(rows)
	page.HasMore = hasMore
	s.mu.Unlock()
	if rowTime > 0 {
		time.Sleep(time.Duration(len(rows)) * rowTime)
	}
	writeJSON(w, page)
}

// serveParts lists a table's partitions.
func (s *Store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	partitions := map[string]struct{}{}
	for rk := range s.rows {
		if rk.table == r.URL.Query().Get("Table") {
			partitions[rk.partition] = struct{}{}
		}
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"parts": slices.Sorted(maps.Keys(partitions)), "HasMore": false})
}

// serveFeed replies to a long poll for the changes of a table after a version.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	ms, err2 := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if after < s.compactedTo {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		page, wake := s.newPage(s.since(q.Get("Table"), after)), s.wake
		s.mu.Unlock()
		if len(page.Rows) > maxRows {
			page.Rows = page.Rows[:maxRows]
			page.RowVersion = page.Rows[maxRows-1].RowVersion
		}
		if len(page.Rows) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-wake:
		case <-timeout.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the latest change of each row of a table that changed after a version, in order of versions.
func (s *Store) since(table string, after int64) []wireRow {
	newest := map[rowKey]int{}
	var rows []wireRow
	for _, r := range s.changes {
		if r.Table != table || r.RowVersion <= after {
			continue
		}
		rk := rowKey{r.Table, r.Partition, r.Key}
		if i, ok := newest[rk]; ok {
			rows[i] = r
			continue
		}
		newest[rk] = len(rows)
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b wireRow) int { return int(a.RowVersion - b.RowVersion) })
	return rows
}

// withholdReply blocks until the caller disconnects. It reads the body first: the HTTP server detects a disconnect only
// once the body is consumed.
func withholdReply(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a read error means that the caller has disconnected
	<-r.Context().Done()
}

// writeJSON writes a JSON reply. Write errors are ignored: they mean that the caller has disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // callers pass only values that encode
	}
	_, _ = w.Write(b)
}

// CallCounts returns the number of calls by the last part of their path, e.g. rows-tx.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// CallsFrom returns the number of calls by caller.
func (s *Store) CallsFrom() map[netip.Addr]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callsFrom)
}
