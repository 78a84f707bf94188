package upkeep

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/duty"
	"gypsumlead/follow"
	"gypsumlead/platform"
)

// Times of the keeper.
const (
	tick      = 200 * time.Millisecond // between two steps while a wave is open
	callLimit = 2 * time.Second        // for a call to the service for machines
	backSlack = 100 * time.Millisecond // beyond the maintenance, before a machine that is up counts as back
	orderGap  = 500 * time.Millisecond // between two orders for the same machine
	missing   = 3 * time.Second        // a machine that isn't in the list for so long has left
)

// Seat is a service that this daemon schedules.
type Seat interface {
	Evacuate(runner string, on bool)
	Due(runner string, on bool)
	Empty(runner string) bool
	Lasting(runner string) int
	Load() (size int, busy bool)
}

// Parts are what a keeper works with.
type Parts struct {
	Store    *platform.Store
	Machines *platform.Machines
	Log      *zap.Logger
	Name     string // of this daemon
	Boot     string
	Book     *duty.Book
	Upkeep   time.Duration // that a maintenance takes
	Waves    func() []platform.Wave
	Seat     func(service string) (Seat, bool)
	Standby  func(service string) bool
}

// Keeper carries out the part of the waves that falls to the pools that this daemon schedules.
type Keeper struct {
	Parts
	mu      sync.Mutex
	rows    map[string]known
	list    map[string]platform.Machine
	listed  time.Time
	absent  map[string]time.Time
	taken   map[string]string // machines that are being emptied, with their runners
	ordered map[string]order
	began   map[int64]time.Time
	refuse  map[string]time.Time // machines that were busy, by when to try again
}

// known is a row as last seen.
type known struct {
	row     Row
	version int64
}

// order is an order for a machine that this daemon has given.
type order struct {
	at       time.Time
	accepted time.Time
	token    int64
}

// New returns a keeper.
func New(p Parts) *Keeper {
	return &Keeper{
		Parts:   p,
		rows:    map[string]known{},
		absent:  map[string]time.Time{},
		taken:   map[string]string{},
		ordered: map[string]order{},
		began:   map[int64]time.Time{},
		refuse:  map[string]time.Time{},
	}
}

// Follow keeps up with how far the waves are until ctx ends.
func (k *Keeper) Follow(ctx context.Context) error {
	f := follow.Follower{Store: k.Store, Table: table, After: follow.Start, Gap: tick, Log: k.Log, Apply: k.apply}
	return f.Run(ctx)
}

func (k *Keeper) apply(_ context.Context, page platform.Page, _ bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range page.Rows {
		k.take(r)
	}
	return nil
}

// take takes in a row.
func (k *Keeper) take(r platform.Row) {
	if r.Gone {
		delete(k.rows, r.Key)
		return
	}
	row, err := decodeRow(r)
	if err != nil {
		k.Log.Error("a wave can't be gone on with", zap.Error(err))
		return
	}
	if r.Version >= k.rows[r.Key].version {
		k.rows[r.Key] = known{row, r.Version}
	}
}

// Run carries the waves out until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		for _, w := range k.Waves() {
			if !k.known(w.Number).row.Complete {
				k.step(ctx, w)
			}
		}
	}
}

func (k *Keeper) known(wave int64) known {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rows[keyOf(wave)]
}

// step does what is due for one wave.
func (k *Keeper) step(ctx context.Context, w platform.Wave) {
	now := clock.Now()
	if _, ok := k.began[w.Number]; !ok {
		k.began[w.Number] = now
	}
	var ok bool
	if k.list, k.listed, ok = k.Book.List(ctx); !ok {
		return
	}
	pools := map[string][]Candidate{}
	for _, name := range w.Machines {
		row := k.known(w.Number).row
		if row.over(name) {
			continue
		}
		m, ok := k.list[name]
		if !ok {
			k.leave(ctx, w, name, now)
			continue
		}
		delete(k.absent, name)
		seat, ok := k.Seat(m.Pool)
		if !ok {
			continue // another daemon looks after it
		}
		if e := row.Machines[name]; e.Stage == Claimed {
			k.claimed(ctx, w, m, e, seat)
			continue
		}
		seat.Due(m.Runner, true)
		pools[m.Pool] = append(pools[m.Pool], k.candidate(m, seat))
	}
	left := w.Within - now.Sub(k.began[w.Number])
	for service, list := range pools {
		k.pool(ctx, w, service, list, left)
	}
	k.complete(ctx, w)
}

func (k *Keeper) candidate(m platform.Machine, seat Seat) Candidate {
	runner, taken := k.taken[m.Name]
	if taken && runner != m.Runner {
		delete(k.taken, m.Name) // another life of the machine
		taken = false
	}
	return Candidate{Machine: m, Taken: taken, Empty: k.off(m) || seat.Empty(m.Runner), Lasting: seat.Lasting(m.Runner)}
}

// off tells whether a machine's pool is switched off.
func (k *Keeper) off(m platform.Machine) bool { return k.Standby(m.Pool) }

// pool has machines of one pool emptied, and those that are empty claimed and taken down.
func (k *Keeper) pool(ctx context.Context, w platform.Wave, service string, list []Candidate, left time.Duration) {
	seat, ok := k.Seat(service)
	if !ok {
		return
	}
	size, busy := seat.Load()
	p := Pool{Size: size, Busy: busy, Idle: k.Standby(service)}
	for _, c := range next(list, parallel(p, len(list), left)) {
		if t, ok := k.refuse[c.Machine.Name]; ok && clock.Now().Before(t) {
			continue
		}
		k.Log.Info("machine is emptied for a wave", zap.Int64("wave", w.Number), zap.String("machine", c.Machine.Name), zap.String("runner", c.Machine.Runner),
			zap.Int("lasting", c.Lasting), zap.Bool("busy", busy), zap.Duration("left", left))
		k.taken[c.Machine.Name] = c.Machine.Runner
		seat.Evacuate(c.Machine.Runner, true)
	}
	for _, c := range list {
		if _, ok := k.taken[c.Machine.Name]; ok && c.Empty && c.Machine.State == platform.MachineUp {
			k.claim(ctx, w, c.Machine, seat)
		}
	}
}

// claim counts a machine as down, where the wave allows one more, and orders its maintenance.
func (k *Keeper) claim(ctx context.Context, w platform.Wave, m platform.Machine, seat Seat) {
	if !k.Book.Free(m.Name) || k.known(w.Number).row.down() >= w.Most {
		return
	}
	e := Entry{Stage: Claimed, By: k.Name, Boot: k.Boot, Runner: m.Runner}
	token, ok := k.write(ctx, w, m.Name, e)
	if !ok {
		return
	}
	// The runner may have been given work while the row was written.
	if !k.off(m) && !seat.Empty(m.Runner) {
		return
	}
	k.order(ctx, w, m, token)
}

// claimed goes on with a machine that counts as down.
func (k *Keeper) claimed(ctx context.Context, w platform.Wave, m platform.Machine, e Entry, seat Seat) {
	now := clock.Now()
	o, mine := k.ordered[m.Name]
	if e.Boot != k.Boot {
		// An earlier daemon's: it may be about to order, and orders of two must be apart.
		if !k.Book.Free(m.Name) {
			return
		}
		seat.Evacuate(m.Runner, true)
		k.taken[m.Name] = m.Runner
		if k.off(m) || seat.Empty(m.Runner) || m.State != platform.MachineUp {
			e.By, e.Boot = k.Name, k.Boot
			if token, ok := k.write(ctx, w, m.Name, e); ok {
				k.order(ctx, w, m, token)
			}
		}
		return
	}
	if mine && !o.accepted.IsZero() {
		if m.State == platform.MachineUp && now.Sub(o.accepted) > k.Upkeep+backSlack && k.listed.After(o.accepted.Add(k.Upkeep)) {
			k.finish(ctx, w, m, e, seat)
		}
		return
	}
	seat.Evacuate(m.Runner, true)
	if (k.off(m) || seat.Empty(m.Runner)) && now.Sub(o.at) > orderGap {
		token := o.token
		if !mine {
			var ok bool
			if token, ok = k.write(ctx, w, m.Name, e); !ok {
				return
			}
		}
		k.order(ctx, w, m, token)
	}
}

// order orders the maintenance of a machine that counts as down.
func (k *Keeper) order(ctx context.Context, w platform.Wave, m platform.Machine, token int64) {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	now := clock.Now()
	k.ordered[m.Name] = order{at: now, token: token}
	duty, err := k.Machines.Upkeep(call, m.Name, w.Number, k.Name, token)
	k.Log.Info("maintenance ordered", zap.Int64("wave", w.Number), zap.String("machine", m.Name), zap.Int64("token", token), zap.String("answer", string(duty)), zap.Error(err))
	if err != nil {
		return // it is ordered again
	}
	switch duty {
	case platform.DutyDone:
		k.ordered[m.Name] = order{at: now, accepted: clock.Now(), token: token}
	case platform.DutyWrong, platform.DutyForeign:
		k.write(ctx, w, m.Name, Entry{Stage: Left, By: k.Name, Boot: k.Boot})
	case platform.DutyFenced:
		delete(k.ordered, m.Name) // a new token comes with the next try
	case platform.DutyBusy, platform.DutyLater:
	}
}

// finish notes that a machine has come back.
func (k *Keeper) finish(ctx context.Context, w platform.Wave, m platform.Machine, e Entry, seat Seat) {
	e.Stage = Done
	if _, ok := k.write(ctx, w, m.Name, e); !ok {
		return
	}
	k.forget(m.Name, seat)
	seat.Evacuate(m.Runner, false)
	seat.Due(m.Runner, false)
}

func (k *Keeper) forget(machine string, seat Seat) {
	if runner, ok := k.taken[machine]; ok && seat != nil {
		seat.Evacuate(runner, false)
		seat.Due(runner, false)
	}
	delete(k.taken, machine)
	delete(k.ordered, machine)
}

// leave notes that a machine is no longer there.
func (k *Keeper) leave(ctx context.Context, w platform.Wave, name string, now time.Time) {
	since, ok := k.absent[name]
	if !ok {
		k.absent[name] = now
		return
	}
	if now.Sub(since) > missing {
		k.write(ctx, w, name, Entry{Stage: Left, By: k.Name, Boot: k.Boot})
		k.forget(name, nil)
	}
}

// complete tells the operator once every machine is over.
func (k *Keeper) complete(ctx context.Context, w platform.Wave) {
	known := k.known(w.Number)
	for _, name := range w.Machines {
		if !known.row.over(name) {
			return
		}
	}
	row := known.row
	row.Complete = true
	if _, ok := k.put(ctx, w, known.version, row, ""); ok {
		k.Log.Info("wave completed", zap.Int64("wave", w.Number))
	}
}

// write changes the entry of one machine; the result is the row's new version, which is the token of orders that follow from it.
func (k *Keeper) write(ctx context.Context, w platform.Wave, machine string, e Entry) (int64, bool) {
	known := k.known(w.Number)
	if e.Stage == Claimed && known.row.Machines[machine].Stage != Claimed && known.row.down() >= w.Most {
		return 0, false
	}
	e.At = k.Book.Now()
	return k.put(ctx, w, known.version, known.row.with(machine, e), machine)
}

// put writes a wave's row, its status for the operator, and the claim of a machine where one is named.
func (k *Keeper) put(ctx context.Context, w platform.Wave, version int64, row Row, machine string) (int64, bool) {
	value, err := row.encode()
	if err != nil {
		k.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	status, err := platform.WaveStatus(w.Number, row.Complete)
	if err != nil {
		k.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	at := platform.Place{Table: table, Key: keyOf(w.Number)}
	tx := platform.Tx{If: []platform.Cond{{Place: at, Version: version}}, Put: []platform.Row{{Place: at, Value: value}}}
	if version == 0 || row.Complete {
		tx.Put = append(tx.Put, status)
	}
	var machines []string
	if machine != "" {
		machines = []string{machine}
	}
	token, ok := k.Book.Claim(ctx, "wave "+at.Key, machines, tx)
	if !ok {
		k.reread(ctx, at.Key)
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows[at.Key] = known{row, token}
	return token, true
}

// reread reads a wave's row again after a claim that failed: another daemon may have changed it.
func (k *Keeper) reread(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := k.Store.Get(ctx, table, "", key, key+"\x00", 1)
	if err != nil {
		k.Log.Warn("row of a wave not read", zap.String("wave", key), zap.Error(err))
		return // it comes with the next look for changes
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range page.Rows {
		k.take(r)
	}
}

// Holds tells whether an open wave has claimed a machine, or has it emptied here, so that nothing else may move it.
func (k *Keeper) Holds(machine string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.rows {
		if r.row.Machines[machine].Stage == Claimed {
			return true
		}
	}
	_, taken := k.taken[machine]
	return taken
}
