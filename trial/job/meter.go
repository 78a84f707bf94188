package jobtrial

import (
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

// meter collects what is measured of one world.
type meter struct {
	steps    []time.Duration // processor time of the steps, stand-in included
	seen     map[string]backing.TaskState
	doneWork map[Kind]float64 // core-seconds of tasks that succeeded
	doneIn   [2]float64       // core-seconds of plain tasks that succeeded in each flood
	again    int              // tasks that succeeded twice
	succeed  map[string]bool
	usedArea float64 // core-seconds that tasks truly used
	area     float64 // core-seconds that there were
	bans     map[string]bool
	right    int // quarantines of workers that fail everything
	wrong    int
	looks    int
}

func newMeter() *meter {
	return &meter{
		seen: map[string]backing.TaskState{}, doneWork: map[Kind]float64{}, succeed: map[string]bool{}, bans: map[string]bool{},
	}
}

func (m *meter) step(d time.Duration, _ *standin.Platform) {
	m.steps = append(m.steps, d)
}

// evidenceAge is how old a failure can be when it is judged: the reports' lag, the time between
// reads, and an outage of a minute.
const evidenceAge = 75 * time.Second

const lookEvery = 4 // ticks between looks at the truth

// look reads what truly runs on the workers.
func (m *meter) look(w *World) {
	m.looks++
	m.lookAtBans(w)
	if m.looks%lookEvery != 0 {
		return
	}
	span := (lookEvery * tick).Seconds()
	for _, id := range w.view.Members {
		m.area += w.sc.Size.Cores * span
		for _, r := range w.Truth.Tasks(id) {
			m.usedArea += r.Used.Cores * span
			if r.State == backing.TaskDone && m.seen[r.Task] != backing.TaskDone {
				m.done(w, r)
			}
			m.seen[r.Task] = r.State
		}
	}
}

func (m *meter) done(w *World, r backing.Report) {
	a := w.came[r.Job]
	work := a.Profile.Used.Cores * a.Profile.Run.Seconds()
	m.doneWork[a.Kind] += work
	key := taskKey(r.Task)
	if m.succeed[key] {
		m.again++
	}
	m.succeed[key] = true
	if a.Kind != Plain {
		return
	}
	for i, from := range []float64{lowPart, highPart} {
		t := w.Elapsed() - time.Duration(from*float64(w.sc.Span))
		if t >= 0 && t < 5*time.Minute {
			m.doneIn[i] += work
		}
	}
}

// lookAtBans compares new quarantines with the workers that truly fail everything.
func (m *meter) lookAtBans(w *World) {
	for _, h := range w.Holders {
		p := h.Driver.Pool()
		if p == nil || !h.Hold.Alive() {
			continue
		}
		now := map[string]bool{}
		for _, id := range p.Quarantined() {
			now[id] = true
			if m.bans[id] {
				continue
			}
			w.everBanned[id] = true
			if w.bad[id].IsZero() && w.Clock.Now().Sub(w.mended[id]) > evidenceAge {
				m.wrong++
			} else {
				m.right++
			}
		}
		m.bans = now
		return
	}
}

// quantile returns the value at rank of durations in any order.
func quantile(ds []time.Duration, rank float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(int(rank*float64(len(s))), len(s)-1)]
}
