package copies

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumlead/trial/timeline"
)

const (
	slots     = 80 // ten runners of eight
	meanRun   = 50 * time.Millisecond
	runSpread = 0.5 // sigma of the log-normal run times
	tryLimit  = 500 * time.Millisecond
	deadline  = 2 * time.Second
	warmUp    = 5 * time.Second
)

// class is a part of the requests with its criticality.
type class struct {
	name        string
	part        float64
	criticality float64
}

func classes() []class {
	return []class{{"high", 0.1, 1}, {"middle", 0.3, 0.5}, {"low", 0.6, 0.1}}
}

// request is one read through all its copies.
type request struct {
	class int
	at    time.Time
	done  bool
	open  int // copies queued or running
}

// event is what happens next: arrival, ending, late or expiry.
type event interface{ event() }

type arrival struct{}

type ending struct {
	r      *request
	failed bool
}

type late struct{ r *request }

func (arrival) event() {}
func (ending) event()  {}
func (late) event()    {}

// drive is one run of a load against a policy.
type drive struct {
	rng     *rand.Rand // of the arrivals
	runs    *rand.Rand // of the copies
	policy  *policy
	rate    float64 // requests a second
	fail    float64
	stop    time.Time
	line    *timeline.Timeline[event]
	queue   []*request
	running int
	cells   []cell
	copies  int // begun, in all
	asked   int
}

// cell counts what became of one class.
type cell struct {
	asked, good int
	delays      *hdrhistogram.Histogram
}

func epoch() time.Time { return time.Unix(0, 0) }

func newDrive(seed uint64, p *policy, load, fail float64, length time.Duration) *drive {
	d := &drive{
		rng:    rand.New(rand.NewPCG(seed, 0)),
		runs:   rand.New(rand.NewPCG(seed, 1)),
		policy: p,
		rate:   load * slots / meanRun.Seconds(),
		fail:   fail,
		stop:   epoch().Add(warmUp + length),
		line:   timeline.New[event](),
	}
	for range classes() {
		d.cells = append(d.cells, cell{delays: hdrhistogram.New(1, time.Minute.Microseconds(), 3)})
	}
	return d
}

func (d *drive) run() {
	d.line.Add(epoch(), arrival{})
	for {
		now, ev, ok := d.line.Next()
		if !ok {
			return
		}
		switch e := ev.(type) {
		case arrival:
			d.arrive(now)
		case ending:
			d.end(e, now)
		case late:
			if !e.r.done {
				d.send(e.r, now)
			}
		}
	}
}

func (d *drive) arrive(now time.Time) {
	if now.After(d.stop) {
		return
	}
	d.line.Add(now.Add(time.Duration(d.rng.ExpFloat64()/d.rate*float64(time.Second))), arrival{})
	r := &request{class: d.draw(), at: now}
	if d.counted(r) {
		d.cells[r.class].asked++
		d.asked++
	}
	d.send(r, now)
	if d.policy.atOnce(classes()[r.class].criticality) {
		d.send(r, now)
	}
	if after, ok := d.policy.later(meanRun); ok {
		d.line.Add(now.Add(after), late{r})
	}
}

func (d *drive) draw() int {
	x := d.rng.Float64()
	for i, c := range classes() {
		if x < c.part {
			return i
		}
		x -= c.part
	}
	return len(classes()) - 1
}

func (d *drive) counted(r *request) bool {
	return !r.at.Before(epoch().Add(warmUp))
}

// send queues one copy.
func (d *drive) send(r *request, now time.Time) {
	r.open++
	d.queue = append(d.queue, r)
	d.fill(now)
}

// fill starts copies; one whose request is answered or past its deadline is dropped.
func (d *drive) fill(now time.Time) {
	for len(d.queue) > 0 && d.running < slots {
		r := d.queue[0]
		d.queue = d.queue[1:]
		if r.done || now.Sub(r.at) >= deadline {
			r.open--
			continue
		}
		d.running++
		if d.counted(r) {
			d.copies++
		}
		failed := d.runs.Float64() < d.fail
		run := tryLimit
		if !failed {
			scale := math.Exp(runSpread*d.runs.NormFloat64() - runSpread*runSpread/2)
			run = time.Duration(scale * float64(meanRun))
		}
		d.line.Add(now.Add(run), ending{r, failed})
	}
}

// end frees the slot; a copy that has lost keeps its slot to its own end, as runners go on.
func (d *drive) end(e ending, now time.Time) {
	d.running--
	e.r.open--
	d.policy.observe(e.failed, float64(d.running)/slots)
	if !e.failed && !e.r.done {
		e.r.done = true
		d.answered(e.r, now)
	}
	if e.failed && !e.r.done && e.r.open == 0 && now.Sub(e.r.at) < deadline {
		d.send(e.r, now)
	}
	d.fill(now)
}

func (d *drive) answered(r *request, now time.Time) {
	delay := now.Sub(r.at)
	if !d.counted(r) || delay > deadline {
		return
	}
	c := &d.cells[r.class]
	c.good++
	// Delays stay below the histogram's bound, as later answers don't count.
	_ = c.delays.RecordValue(delay.Microseconds())
}
