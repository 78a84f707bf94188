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

// Limits of the store's answers, from the platform's pages.
const (
	rowsMost    = 500
	entriesMost = 100
	valueMost   = 48 << 10 // 64 KB in base64
	nameMost    = 200
	txTime      = 5 * time.Millisecond
	answerTime  = 2 * time.Millisecond
	lateLeast   = time.Second
	lateMost    = 6 * time.Second
)

// wireRow is a row in the protocol's form.
type wireRow struct {
	Table      string `json:"Table"`
	Part       string `json:"part"`
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

type place struct{ table, part, key string }

// StoreFaults are the troubles of a store.
type StoreFaults struct {
	Down              bool                    // it answers 503
	Unresponsive      bool                    // it doesn't answer
	RejectFrom        map[netip.Addr]struct{} // it refuses these callers
	LostReplyRate     float64                 // share of the transactions that are done and not answered
	DelayedCommitRate float64                 // share of the transactions that are not answered and done seconds later
	ExtraLatency      time.Duration           // beyond the usual time of an answer
}

// Store is the platform's table store.
type Store struct {
	mu      sync.Mutex
	rows    map[place]wireRow
	version int64
	log     []wireRow // every change, oldest first
	first   int64     // versions up to this one have been forgotten
	wake    chan struct{}
	faults  StoreFaults
	rand    *rand.Rand
	began   time.Time
	busy    map[string]time.Time // until when a part is taken
	calls   map[string]int
}

// NewStore returns an empty store whose faults are drawn from r.
func NewStore(r *rand.Rand) *Store {
	return &Store{rows: map[place]wireRow{}, wake: make(chan struct{}), rand: r, began: time.Now(), busy: map[string]time.Time{}, calls: map[string]int{}}
}

// SetFaults changes the store's troubles.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.first = nil, s.version
	s.stir()
}

// Put writes a row as the operator or a runner does.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the stand-in's own values encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key, Value: b, RowVersion: s.version})
	s.stir()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[place{table, "", key}]; !ok {
		return
	}
	s.version++
	s.set(wireRow{Table: table, Key: key, RowVersion: s.version, Deleted: true})
	s.stir()
}

// Get returns a row's value; nil where there is none.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[place{table, part, key}].Value
}

func (s *Store) set(r wireRow) {
	at := place{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, at)
	} else {
		s.rows[at] = r
	}
	s.log = append(s.log, r)
}

// stir wakes whoever waits for a change.
func (s *Store) stir() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP answers the platform's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	name := strings.TrimPrefix(r.URL.Path, "/gypsumlead/")
	s.calls[name]++
	s.mu.Unlock()
	if f.Unresponsive {
		mute(r)
		return
	}
	if _, away := f.RejectFrom[from.Addr()]; away || f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime + f.ExtraLatency)
	switch name {
	case "rows-tx":
		s.tx(w, r, f)
	case "rows-get":
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "rows-parts":
		s.parts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) stamp(rows []wireRow) wirePage {
	return wirePage{Rows: rows, RowVersion: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []wireRow
	for at, row := range s.rows {
		if at.table == q.Get("Table") && at.part == q.Get("part") && at.key >= q.Get("From") && (q.Get("Target") == "" || at.key < q.Get("Target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	most := rowsMost
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil {
		most = min(most, n)
	}
	more := len(rows) > most
	if more {
		rows = rows[:most]
	}
	page := s.stamp(rows)
	page.HasMore = more
	s.mu.Unlock()
	send(w, page)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	names := map[string]struct{}{}
	for at := range s.rows {
		if at.table == r.URL.Query().Get("Table") {
			names[at.part] = struct{}{}
		}
	}
	s.mu.Unlock()
	send(w, map[string]any{"parts": slices.Sorted(maps.Keys(names)), "HasMore": false})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	ms, err2 := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer over.Stop()
	for {
		s.mu.Lock()
		if after < s.first {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		page, wake := s.stamp(s.since(q.Get("Table"), after)), s.wake
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			send(w, page)
			return
		}
		select {
		case <-wake:
		case <-over.C:
			send(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the newest change of each row of a table after a version.
func (s *Store) since(table string, after int64) []wireRow {
	newest := map[place]int{}
	var rows []wireRow
	for _, r := range s.log {
		if r.Table != table || r.RowVersion <= after {
			continue
		}
		at := place{r.Table, r.Part, r.Key}
		if i, ok := newest[at]; ok {
			rows[i] = r
			continue
		}
		newest[at] = len(rows)
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b wireRow) int { return int(a.RowVersion - b.RowVersion) })
	return rows
}

// mute gives no answer until the caller has gone; the server notices that only behind the body.
func mute(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off has a caller that has gone
	<-r.Context().Done()
}

// send writes a JSON answer; a caller that has gone gets nothing, which is no concern of the stand-in.
func send(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stand-in's own values encode
	}
	_, _ = w.Write(b)
}

// CallCounts returns how many calls were made, by their names.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}
