package cache

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/watch"
	"gypsumlead/work"
)

// Intervals and delays of the list of runners.
const (
	batchWindow    = 50 * time.Millisecond   // changes within this time are applied together
	reappearGrace  = 2500 * time.Millisecond // entries that expired during a store outage are back within about two seconds
	outageBeats    = 4                       // an entry removed within this many heartbeats after a store failure may return: it expires after three
	maxClockAhead  = time.Minute             // of a runner's time of day before this daemon's
	expiryInterval = 250 * time.Millisecond  // between checks for missing entries that did not return
)

// RunnerList follows the platform's list of runners. Entries that go missing around a store outage are kept for a grace
// period, in which they may return.
type RunnerList struct {
	store    *platform.Store
	log      *zap.Logger
	now      clock.Clock
	onUpdate func(work.Runner)
	onRemove func(work.Runner)
	interest *watch.Interest
	within   time.Duration
	beat     time.Duration // between two entries of a runner

	// delivery is held while a change is made and passed on, so that the receivers see changes in their order. It is locked
	// before mu.
	delivery sync.Mutex

	mu           sync.Mutex
	runners      map[string]work.Runner
	missingUntil map[string]time.Time // when entries that are missing count as gone
	lastFailure  time.Time            // when a call to the store last failed
	readAt       time.Time            // when the store last answered a reading, all of which was passed on
}

// NewRunnerList returns an empty list, which Run keeps up to date. While it is needed immediately, a change has to be known
// within a time of being stored; runners write an entry every beat. onUpdate is called for each runner that is new or has
// changed, onRemove for each that is gone.
func NewRunnerList(store *platform.Store, log *zap.Logger, now clock.Clock, within, beat time.Duration, interest *watch.Interest, onUpdate, onRemove func(work.Runner)) *RunnerList {
	return &RunnerList{store: store, log: log, now: now, within: within, beat: beat, interest: interest, onUpdate: onUpdate, onRemove: onRemove, runners: map[string]work.Runner{}, missingUntil: map[string]time.Time{}}
}

// Run follows the list until ctx ends.
func (r *RunnerList) Run(ctx context.Context) error {
	watcher := watch.Watcher{
		Store:       r.store,
		Table:       platform.TableRunners,
		FromVersion: watch.FromSnapshot,
		Within:      r.within,
		Interval:    batchWindow,
		Interest:    r.interest,
		Log:         r.log,
		OnError: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lastFailure = r.now()
		},
		Apply: func(_ context.Context, page platform.Page, snapshot bool) error {
			r.apply(page, snapshot)
			return nil
		},
	}
	return watcher.Run(ctx)
}

// apply applies a page; a snapshot has all entries of the list.
func (r *RunnerList) apply(page platform.Page, snapshot bool) {
	r.delivery.Lock()
	defer r.delivery.Unlock()
	now := r.now()
	var updated []work.Runner
	r.mu.Lock()
	listed := map[string]struct{}{}
	for _, row := range page.Rows {
		listed[row.Key] = struct{}{}
		if row.Deleted {
			r.markMissing(row.Key, now)
			continue
		}
		runner, err := platform.DecodeRunner(row.Key, row.Value)
		if err == nil && runner.Born > now.Add(maxClockAhead).UnixMilli() {
			err = fault.New(fault.Invalid, "runner %s: born in the future, at %d", row.Key, runner.Born)
		}
		if err != nil {
			r.log.Warn("invalid runner entry; treating it as missing", zap.Error(err))
			r.markMissing(row.Key, now)
			continue
		}
		delete(r.missingUntil, runner.ID)
		r.runners[runner.ID] = runner
		updated = append(updated, runner)
	}
	if snapshot {
		for id := range r.runners {
			if _, ok := listed[id]; !ok {
				r.markMissing(id, now)
			}
		}
	}
	removed := r.takeExpired(now)
	r.mu.Unlock()
	for _, runner := range removed {
		r.onRemove(runner)
	}
	for _, runner := range updated {
		r.onUpdate(runner)
	}
	if page.More {
		return // the list is known as of before now
	}
	r.mu.Lock()
	r.readAt = now
	r.mu.Unlock()
}

// ReadAt returns when the store last answered a reading of the list, all of which was passed on; zero if it never did.
func (r *RunnerList) ReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt
}

// markMissing records that an entry is missing. Shortly after a store failure it gets a grace period to return.
func (r *RunnerList) markMissing(id string, now time.Time) {
	if _, ok := r.runners[id]; !ok {
		return
	}
	if _, ok := r.missingUntil[id]; ok {
		return
	}
	deadline := now
	if now.Sub(r.lastFailure) < outageBeats*r.beat {
		deadline = now.Add(reappearGrace)
	}
	r.missingUntil[id] = deadline
}

// takeExpired removes and returns the runners whose grace period is over. The caller holds r.mu.
func (r *RunnerList) takeExpired(now time.Time) []work.Runner {
	var removed []work.Runner
	for id, deadline := range r.missingUntil {
		if now.Before(deadline) {
			continue
		}
		removed = append(removed, r.runners[id])
		delete(r.runners, id)
		delete(r.missingUntil, id)
	}
	return removed
}

// ExpireMissing removes missing entries that did not return in time, until ctx ends.
func (r *RunnerList) ExpireMissing(ctx context.Context) error {
	sleep.Every(ctx, expiryInterval, r.removeExpired)
	return nil
}

// removeExpired removes missing entries that did not return in time.
func (r *RunnerList) removeExpired() {
	r.delivery.Lock()
	defer r.delivery.Unlock()
	r.mu.Lock()
	removed := r.takeExpired(r.now())
	r.mu.Unlock()
	for _, runner := range removed {
		r.onRemove(runner)
	}
}

// Replay calls f for each runner of a service. Changes of the list are passed on after that.
func (r *RunnerList) Replay(service string, f func(work.Runner)) {
	r.delivery.Lock()
	defer r.delivery.Unlock()
	for _, runner := range r.byService(service) {
		f(runner)
	}
}

// byService returns the runners of a service.
func (r *RunnerList) byService(service string) []work.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []work.Runner
	for _, runner := range r.runners {
		if runner.Service == service {
			list = append(list, runner)
		}
	}
	return list
}
