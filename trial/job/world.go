package jobtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/job"
	"gypsumlead/record"
)

const (
	tick       = 500 * time.Millisecond // between steps
	reportLag  = 5 * time.Second
	listLag    = 2 * time.Second
	saveTime   = time.Second
	callTime   = time.Millisecond // of each call to the platform
	teamPart   = 0.6              // of the pool that one team may hold
	badTime    = 500 * time.Millisecond
	keepRecord = 10 * time.Minute // after which ended jobs' records are deleted
)

// World is one pool of workers with its jobs, on virtual time.
type World struct {
	Clock   *Clock
	Truth   *standin.Platform
	Watch   *Watch
	Holders []*Holder

	pool     string
	sc       Scale
	rnd      *rand.Rand
	arrivals []Arrival
	came     map[string]*Arrival
	view     job.View
	version  int64
	start    time.Time
	next     int
	bad      map[string]time.Time // workers that fail everything, since when
	meter    *meter
	mended   map[string]time.Time // when workers were made good again
	retired  []*Holder

	everBad    []string // workers that failed everything at some time
	everBanned map[string]bool
	phases     map[string]job.Phase
}

// Holder is one process that may hold the pool's lease.
type Holder struct {
	Hold   *Hold
	Driver *job.Driver
	Paused bool
}

// NewWorld returns the world of a pool, with n processes that may hold its lease.
func NewWorld(sc Scale, pool string, seed uint64, n int, opts ...job.Option) *World {
	w := &World{
		Clock: NewClock(), pool: pool, sc: sc, rnd: rand.New(rand.NewPCG(seed, 7)),
		came: map[string]*Arrival{}, bad: map[string]time.Time{}, mended: map[string]time.Time{}, meter: newMeter(),
		everBanned: map[string]bool{}, phases: map[string]job.Phase{},
	}
	w.start = w.Clock.Now()
	w.Truth = standin.New(standin.WithClock(w.Clock.Now, w.Clock.Sleep), standin.WithSeed(seed),
		standin.WithLag(listLag), standin.WithReportLag(reportLag), standin.WithSaveTime(saveTime), standin.WithBootTime(30*time.Second))
	w.Watch = NewWatch(w.Truth, w.Clock)
	w.addWorkers()
	w.addTeams()
	w.arrivals = plan(sc, pool, rand.New(rand.NewPCG(seed, 11)))
	slices.SortStableFunc(w.arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for range n {
		w.AddHolder(w.Truth.Table, w.Watch, opts...)
	}
	w.Clock.Move(listLag + time.Second)
	return w
}

// AddHolder adds a process that reaches the platform through these services.
func (w *World) AddHolder(table backing.Table, workers backing.Workers, opts ...job.Option) *Holder {
	h := NewHold(w.pool, table, w.Clock)
	d := job.NewDriver(w.pool, table, workers, w, h, job.WithClock(w.Clock.Now), job.WithCalls(1), job.WithPool(opts...))
	w.Holders = append(w.Holders, &Holder{Hold: h, Driver: d})
	return w.Holders[len(w.Holders)-1]
}

// Members returns the workers of the pool.
func (w *World) Members() []string {
	return w.view.Members
}

// Open returns the jobs that can run and haven't ended.
func (w *World) Open() []string {
	var out []string
	p := w.holding()
	for _, s := range w.view.Jobs {
		if p == nil || s.Cancelled || w.came[s.Name].Kind == TooBig {
			continue
		}
		if phase, ok := p.Phase(s.Name); !ok || phase == job.Open {
			out = append(out, s.Name)
		}
	}
	return out
}

// Result returns what was measured so far.
func (w *World) Result() Result {
	return w.result()
}

func (w *World) addWorkers() {
	for i := range w.sc.Workers {
		id := fmt.Sprintf("%s-w%03d", w.pool, i)
		w.view.Members = append(w.view.Members, id)
		w.Truth.PutWorker(backing.Worker{
			Instance: backing.Instance{ID: id, Role: backing.RoleWorker, Rack: fmt.Sprintf("%s-r%02d", w.pool, i/rackSize)},
			Total:    w.sc.Size,
		})
	}
}

func (w *World) addTeams() {
	w.view.Teams = map[string]record.Team{}
	n := float64(w.sc.Workers)
	for i := range w.sc.Teams {
		w.view.Teams[fmt.Sprintf("team%d", i)] = record.Team{Quotas: []record.Quota{{
			Cores: n * w.sc.Size.Cores * teamPart, Memory: int64(n * float64(w.sc.Size.Memory) * teamPart),
		}}}
	}
}

// View returns the configuration in force.
func (w *World) View(string) (job.View, bool) {
	return w.view, true
}

// Elapsed returns the time since the start.
func (w *World) Elapsed() time.Duration {
	return w.Clock.Now().Sub(w.start)
}

// Accept puts the records that have come by now in force.
func (w *World) Accept() {
	now := w.Elapsed()
	for w.next < len(w.arrivals) && w.arrivals[w.next].At <= now {
		a := &w.arrivals[w.next]
		w.next++
		w.version++
		a.Spec.Version = w.version
		w.came[a.Spec.Name] = a
		w.Truth.SetProfile(a.Spec.Name, a.Profile)
		w.view.Jobs = append(w.view.Jobs, a.Spec)
	}
	for i := range w.view.Jobs {
		s := &w.view.Jobs[i]
		a := w.came[s.Name]
		if !s.Cancelled && a.Cancel > 0 && a.Cancel <= now {
			w.version++
			s.Cancelled, s.Version = true, w.version
		}
	}
	w.tidy()
	w.view.Version = w.version
}

// tidy deletes the records of jobs that ended, as operators do, and remembers how they ended.
func (w *World) tidy() {
	p := w.holding()
	if p == nil {
		return
	}
	w.view.Jobs = slices.DeleteFunc(w.view.Jobs, func(s job.Spec) bool {
		phase, ok := p.Phase(s.Name)
		if !ok {
			return false
		}
		w.phases[s.Name] = phase
		old := phase != job.Open && w.Elapsed()-w.came[s.Name].At > keepRecord
		if old {
			w.version++
		}
		return old
	})
}

// holding returns the state of the holder that holds the lease, or nil.
func (w *World) holding() *job.Pool {
	for _, h := range w.Holders {
		if h.Hold.Alive() {
			return h.Driver.Pool()
		}
	}
	return nil
}

// Step lets each holder that isn't paused renew or take the lease and step.
func (w *World) Step(ctx context.Context) error {
	w.Accept()
	for _, h := range w.Holders {
		if h.Paused || !h.Hold.Take(ctx) {
			continue
		}
		began := time.Now()
		err := h.Driver.Step(ctx)
		w.meter.step(time.Since(began), w.Truth)
		if err != nil {
			return err
		}
	}
	return nil
}

// Tick steps and moves the clock to the next tick.
func (w *World) Tick(ctx context.Context) error {
	before := w.Clock.Now()
	err := w.Step(ctx)
	if spent := w.Clock.Now().Sub(before); spent < tick {
		w.Clock.Move(tick - spent)
	}
	w.meter.look(w)
	return err
}

// Break makes the worker fail everything it starts, or mends it.
func (w *World) Break(i int, bad bool) {
	id := w.view.Members[i%len(w.view.Members)]
	after := badTime
	if !bad {
		after = 0
		if !w.bad[id].IsZero() {
			w.mended[id] = w.Clock.Now()
		}
		delete(w.bad, id)
	} else if w.bad[id].IsZero() {
		w.bad[id] = w.Clock.Now()
		w.everBad = append(w.everBad, id)
	}
	// The worker is one of those that were added.
	_ = w.Truth.SetBad(id, after)
}

// Retire drops the last process, which was killed; what it decided stays counted.
func (w *World) Retire() {
	last := len(w.Holders) - 1
	w.retired = append(w.retired, w.Holders[last])
	w.Holders = w.Holders[:last]
}
