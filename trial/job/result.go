package jobtrial

import (
	"runtime"
	"slices"
	"time"

	"gypsumlead/backing/standin"
	"gypsumlead/job"
)

const startLimit = 3200 * time.Millisecond // within which urgent work starts

// Result is what a trial of one scale measured.
type Result struct {
	Name     string    `json:"name"`
	Pools    int       `json:"pools"`
	Workers  int       `json:"workers"`
	Jobs     int       `json:"jobs"`
	Starts   int       `json:"starts"`
	Urgent   Latency   `json:"urgent"` // urgent tasks, but those of the flood
	Amid     Latency   `json:"amid"`   // urgent tasks that come while the most urgent flood is on
	Flood    Latency   `json:"flood"`  // tasks of the most urgent flood that started
	Used     float64   `json:"used"`   // part of the processors in use, flood included
	Useful   float64   `json:"useful"` // part of the processors whose work succeeded
	Plain    float64   `json:"plain"`  // core-hours of plain work that succeeded
	Low      float64   `json:"low"`    // core-hours of plain work in the 5 minutes of the least urgent flood
	High     float64   `json:"high"`   // core-hours of plain work in the 5 minutes of the most urgent flood
	Doubled  int       `json:"doubled"`
	Again    int       `json:"again"` // tasks that succeeded twice
	Stopped  int       `json:"stopped"`
	Throttle int       `json:"displaced"`
	Wasted   float64   `json:"wasted"` // core-hours
	Right    int       `json:"right"`  // quarantines of workers that fail everything
	Wrong    int       `json:"wrong"`  // quarantines of others
	Missed   int       `json:"missed"` // workers that fail everything and never were in quarantine
	Refused  int       `json:"refused"`
	Unfit    int       `json:"unfit"`   // jobs that can't run
	Broken   int       `json:"broken"`  // jobs that fail everywhere
	Caught   int       `json:"caught"`  // of these, stopped by the judgement
	Accused  int       `json:"accused"` // jobs that do run and were stopped
	Step     Latency   `json:"step"`    // wall time of a step, stand-in included
	Bytes    int64     `json:"bytes"`   // heap of the holders' state
	Count    job.Count `json:"count"`
	Commits  int64     `json:"commits"`
	Rows     int64     `json:"rows"` // written, audit included
	Minutes  float64   `json:"minutes"`
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Late  int     `json:"late,omitempty"` // beyond the limit, or never
}

func latencyOf(ds []time.Duration, never int) Latency {
	l := Latency{Count: len(ds), P50: millis(quantile(ds, 0.5)), P99: millis(quantile(ds, 0.99)), Max: millis(quantile(ds, 1)), Late: never}
	for _, d := range ds {
		if d > startLimit {
			l.Late++
		}
	}
	return l
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

const coreHour = 3600.0

// result sums up one world.
func (w *World) result() Result {
	m := w.meter
	r := Result{
		Name: w.sc.Name, Pools: 1, Workers: w.sc.Workers, Jobs: len(w.came), Starts: w.Watch.Starts, Doubled: w.Watch.Doubled, Again: m.again,
		Used: m.usedArea / m.area, Plain: m.doneWork[Plain] / coreHour, Low: m.doneIn[0] / coreHour, High: m.doneIn[1] / coreHour,
		Right: m.right, Wrong: m.wrong, Step: latencyOf(m.steps, 0), Minutes: w.Elapsed().Minutes(),
	}
	r.Step.Late = 0
	useful := 0.0
	for _, work := range m.doneWork {
		useful += work
	}
	r.Useful = useful / m.area
	r.Urgent, r.Amid, r.Flood = w.starts(Urgent, false), w.starts(Urgent, true), w.starts(High, false)
	c := w.Truth.Counts(standin.ServiceTable)
	r.Commits, r.Rows = c.Writes, c.Puts
	w.judge(&r)
	return r
}

// starts returns how long tasks waited from their job's acceptance to their start.
func (w *World) starts(k Kind, amid bool) Latency {
	var ds []time.Duration
	never := 0
	for _, a := range w.came {
		if a.Kind != k || a.Cancel > 0 || k == Urgent && amid != w.isAmid(a.At) {
			continue
		}
		for i := range a.Spec.Count {
			at := w.Watch.begun[startKey(a.Spec, i)]
			if !at.IsZero() {
				ds = append(ds, at.Sub(w.start.Add(a.At)))
			} else if k == Urgent {
				never++
			}
		}
	}
	return latencyOf(ds, never)
}

// isAmid tells whether the most urgent flood is on.
func (w *World) isAmid(at time.Duration) bool {
	since := at - time.Duration(highPart*float64(w.sc.Span))
	return since >= 0 && since < floodTime
}

const (
	lowPart   = 0.35 // of the span, when the least urgent flood comes
	highPart  = 0.75 // of the span, when the most urgent flood comes
	floodTime = 10 * time.Minute
)

// judge compares what was decided about jobs with what they truly are.
func (w *World) judge(r *Result) {
	for _, h := range slices.Concat(w.Holders, w.retired) {
		s := h.Driver.Stats()
		r.Stopped += s.Stopped
		r.Throttle += s.Displaced
		r.Wasted += s.Wasted / coreHour
		if p := h.Driver.Pool(); p != nil && h.Hold.Alive() {
			r.Count = p.Count()
		}
	}
	for _, id := range w.everBad {
		if !w.everBanned[id] {
			r.Missed++
		}
	}
	for _, a := range w.came {
		if a.Cancel > 0 {
			continue
		}
		phase := w.phases[a.Spec.Name]
		switch a.Kind {
		case TooBig:
			r.Unfit++
			if phase == job.Refused {
				r.Refused++
			}
		case Broken:
			r.Broken++
			if phase == job.Bad {
				r.Caught++
			}
		default:
			if phase == job.Bad {
				r.Accused++
			}
		}
	}
}

// heap returns the bytes that are live.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
