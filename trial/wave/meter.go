package wavetrial

import (
	"encoding/json"
	"runtime"
	"slices"
	"time"

	"gypsumlead/pool"
)

// meter collects what the drivers cost and what the wave had out.
type meter struct {
	steps []time.Duration // of each driver's step, the stand-in's share included
	out   float64         // instance-seconds of planned takes
	room  float64         // instance-seconds that the budgets allowed while a pool was at work
	size  int             // bytes of the largest pool's rows
	rows  int64           // rows that the meter itself read
}

func (m *meter) time(f func() error) error {
	began := time.Now()
	err := f()
	m.steps = append(m.steps, time.Since(began))
	return err
}

// Cost is what deciding took.
type Cost struct {
	Steps int     `json:"steps"`
	Mean  float64 `json:"mean"`  // microseconds a step
	P99   float64 `json:"p99"`   // microseconds
	Max   float64 `json:"max"`   // microseconds
	Core  float64 `json:"core"`  // share of a core if one daemon drove all pools
	Heap  float64 `json:"heap"`  // MB, the stand-in's tables included
	State int     `json:"state"` // bytes of the largest pool's rows: members, takes and progress
}

// cost sums up the steps over a span of virtual time; it is called while the world is in use.
func (m *meter) cost(span time.Duration) Cost {
	slices.Sort(m.steps)
	var sum time.Duration
	for _, s := range m.steps {
		sum += s
	}
	n := len(m.steps)
	if n == 0 {
		return Cost{}
	}
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	const perMB = 1 << 20
	return Cost{
		Steps: n,
		Mean:  micros(sum / time.Duration(n)),
		P99:   micros(m.steps[n*99/100]),
		Max:   micros(m.steps[n-1]),
		Core:  sum.Seconds() / span.Seconds(),
		Heap:  float64(mem.HeapAlloc) / perMB,
		State: m.size,
	}
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// look adds a tick's takes of a pool that the wave isn't through with.
func (m *meter) look(s pool.State, room int, tick time.Duration) {
	m.out += float64(len(s.Takes)) * tick.Seconds()
	m.room += float64(room) * tick.Seconds()
}

// sizeOf returns the bytes of a value as a table row.
func sizeOf(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
