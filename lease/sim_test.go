package lease

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// design says which of the mechanisms a run has.
type design struct {
	margin bool // the holder stops before its lease ends
	cond   bool // transactions are conditioned on the epoch
	whole  bool // a contender waits for the whole life
	rate   float64
	stops  bool // a pause may stop the process's clock too
}

const (
	simDuty    = "pool/a"
	simStep    = 150 * time.Millisecond
	simTimeout = 3 * time.Second
	simEnd     = 10 * time.Minute
	simQuiet   = 1 * time.Minute // healthy end of each run
)

// event is something that happens at an instant of true time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim runs contenders against the stand-in's table on virtual time: delays, lost answers,
// outages, writes that take effect long after the caller gave up, and pauses.
type sim struct {
	d      design
	rnd    *rand.Rand
	p      *standin.Platform
	now    time.Duration
	seq    int
	q      queue
	procs  []*proc
	newest int64 // highest epoch that a transaction committed under
	down   time.Duration

	grants, renewals, acts, fenced, lost, overlaps, stale, pauses int
	fault                                                         error
}

// proc is one contender with a clock of its own.
type proc struct {
	s      *sim
	h      *Holder
	offset time.Duration
	rate   float64
	until  time.Duration // end of a pause
	cut    time.Duration // until then nothing of it reaches the table
	held   time.Duration // by how much its clock was held back by stops
}

func newSim(seed uint64, d design, contenders int) *sim {
	s := &sim{d: d, rnd: rand.New(rand.NewPCG(seed, 7)), p: standin.New()}
	t := DefaultTerms()
	t.Poll = simStep // the slack of a slower look would hide a missing margin
	if !d.margin {
		t.Margin = 0
	}
	for i := range contenders {
		p := &proc{
			s: s, h: NewHolder(simDuty, fmt.Sprint("entry-", i), fmt.Sprint("n", i), t),
			offset: time.Duration(s.rnd.Int64N(int64(time.Hour))),
			rate:   1 + d.rate*float64(s.rnd.IntN(3)-1),
		}
		p.h.Want(true, 0, 0)
		s.procs = append(s.procs, p)
		s.after(time.Duration(s.rnd.Int64N(int64(time.Second))), p.step)
	}
	s.after(s.span(time.Minute), s.outage)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.q, event{s.now + d, s.seq, do})
}

// span returns a random span up to most.
func (s *sim) span(most time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(most)))
}

func (s *sim) quiet() bool { return s.now > simEnd-simQuiet }

func (s *sim) run() {
	for len(s.q) > 0 && s.fault == nil {
		e := heap.Pop(&s.q).(event)
		if e.at > simEnd {
			return
		}
		s.now = e.at
		e.do()
		if s.holders() > 1 {
			s.overlaps++
		}
	}
}

func (s *sim) holders() int {
	n := 0
	for _, p := range s.procs {
		if p.h.Holds(p.clock()) {
			n++
		}
	}
	return n
}

// outage takes the table down for a while, now and then.
func (s *sim) outage() {
	if s.quiet() {
		return
	}
	s.down = s.now + s.span(20*time.Second)
	s.after(30*time.Second+s.span(2*time.Minute), s.outage)
}

// clock is the process's monotonic clock.
func (p *proc) clock() time.Time {
	run := time.Duration(float64(p.s.now-p.held) * p.rate)
	return time.Unix(0, 0).Add(p.offset + run)
}

// later runs do when the process isn't paused.
func (p *proc) later(d time.Duration, do func()) {
	p.s.after(d, func() {
		if p.s.now < p.until {
			p.later(p.until-p.s.now, do)
			return
		}
		do()
	})
}

// pause cuts the process off the table or stops it for a while, the latter with its clock where the design's clocks may stop.
func (p *proc) pause() {
	if p.s.quiet() {
		return
	}
	if p.s.rnd.IntN(100) == 0 {
		p.cut = p.s.now + p.s.span(25*time.Second)
	}
	if p.s.rnd.IntN(40) != 0 {
		return
	}
	p.s.pauses++
	d := p.s.span(25 * time.Second)
	p.until = p.s.now + d
	if p.s.d.stops && p.s.rnd.IntN(2) == 0 {
		p.held += d
	}
}

// cutOff tells whether what the process sends is lost.
func (p *proc) cutOff() bool {
	return p.s.now < max(p.s.down, p.cut)
}

func (p *proc) step() {
	p.pause()
	p.act()
	switch e := p.h.Next(p.clock()).(type) {
	case Wait:
		p.later(simStep, p.step)
	case Look:
		p.look(e)
	case Write:
		p.write(e)
	}
}

// act checks and then commits something under the epoch held, at times long after.
func (p *proc) act() {
	if !p.h.Holds(p.clock()) {
		return
	}
	s := p.s
	s.acts++
	epoch := p.h.Epoch()
	ops := []backing.Op{backing.Put{Key: fmt.Sprint("act/", s.acts), Value: json.RawMessage("1")}}
	if s.d.cond {
		ops = append(ops, Cond(simDuty, epoch))
	}
	p.later(s.delay(), func() {
		s.after(s.delay(), func() {
			if p.cutOff() {
				return
			}
			if err := s.p.Table.Commit(context.Background(), backing.Tx{Ops: ops}); err != nil {
				s.fenced++
				return
			}
			if epoch < s.newest {
				s.stale++
			}
			s.newest = max(s.newest, epoch)
		})
	})
}

// delay is mostly some milliseconds, and once in a while many seconds.
func (s *sim) delay() time.Duration {
	if !s.quiet() && s.rnd.IntN(50) == 0 {
		return s.span(20 * time.Second)
	}
	return s.span(20 * time.Millisecond)
}

// ask sends do to the table and gives the answer, or a timeout, back to the process.
func (p *proc) ask(do func() error, back func(err error)) {
	s := p.s
	there, here := s.delay(), s.delay()
	answered := false
	answer := func(err error) {
		if !answered {
			answered = true
			back(err)
		}
	}
	s.after(there, func() {
		if p.cutOff() {
			return
		}
		err := do()
		if !s.quiet() && s.rnd.IntN(20) == 0 {
			s.lost++
			return
		}
		p.later(here, func() { answer(err) })
	})
	p.later(simTimeout, func() { answer(fault.New(fault.StoreDown, "timeout")) })
}

func (p *proc) look(e Look) {
	var rows []backing.Row
	p.ask(func() error {
		var err error
		rows, err = p.s.p.Table.Read(context.Background(), e.Key)
		return err
	}, func(err error) {
		if err != nil {
			p.h.LookFailed(p.clock())
		} else if err := p.h.Looked(p.clock(), rows[0]); err != nil {
			p.s.fault = err
		} else if !p.s.d.whole && p.h.seen.Equal(p.h.looked) {
			p.h.seen = p.h.seen.Add(-p.h.terms.Life / 2)
		}
		p.step()
	})
}

func (p *proc) write(e Write) {
	p.ask(func() error {
		err := p.s.p.Table.Commit(context.Background(), backing.Tx{Ops: e.Ops})
		if err == nil && e.Do == DoAcquire {
			p.s.grants++
		}
		if err == nil && e.Do == DoRenew {
			p.s.renewals++
		}
		return err
	}, func(err error) {
		p.h.Wrote(p.clock(), e.Do, err)
		p.step()
	})
}
