package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// Times of the model, shorter than in production so that a run has many changes.
const (
	modelTick    = 10 * time.Millisecond
	modelLinger  = time.Second // for which a replaced granter still answers
	modelSilence = 4 * time.Second
	modelLag     = time.Second // by which a configuration may be late
	faultyTime   = 60 * time.Second
	quietTime    = 25 * time.Second
)

// modelUnseen is by how much a new leader overestimates what it does not see.
var modelUnseen = work.Resources{CPU: 40, Mem: 400}

// model is a granter and the leaders of several services, with messages that are lost, delayed and duplicated.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	faulty   bool
	leaders  []*modelLeader
	granters []*modelGranter // the newest last
	mail     []modelMessage
	caps     []modelCap // versions, the newest last
}

type modelGranter struct {
	granter *Granter
	name    string
	endsAt  time.Time
}

type modelCap struct {
	cap   work.Resources
	since time.Time
}

type modelMessage struct {
	at      time.Time
	deliver func()
}

// modelLeader is the leader of one service, with its tasks of one workspace.
type modelLeader struct {
	name       string
	term       int
	holding    *Holding
	runs       []modelRun // of the service, whether or not its present leader knows them
	unseenTill time.Time  // until then the leader doesn't know them
	queue      []work.Resources
	reportAt   time.Time
	startedAt  time.Time // when a task was last started, or the queue was last empty
	downTill   time.Time
}

type modelRun struct {
	need work.Resources
	ends time.Time
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1e9, 0), faulty: true}
	m.setCap(work.Resources{CPU: 100, Mem: 1000})
	for i := range 4 {
		m.leaders = append(m.leaders, &modelLeader{name: fmt.Sprintf("s%d", i), term: 1, holding: NewHolding(fmt.Sprintf("s%d", i), 1)})
	}
	m.newGranter("s0", 1)
	return m
}

func (m *model) setCap(limit work.Resources) { m.caps = append(m.caps, modelCap{limit, m.now}) }

// configured returns the cap in a configuration that may be late.
func (m *model) configured(late bool) map[string]work.Resources {
	c := m.caps[len(m.caps)-1]
	if late && len(m.caps) > 1 && m.now.Sub(c.since) < modelLag {
		c = m.caps[len(m.caps)-2]
	}
	return map[string]work.Resources{"w": c.cap}
}

func (m *model) newGranter(name string, term int) {
	if len(m.granters) > 0 {
		m.granters[len(m.granters)-1].endsAt = m.now.Add(m.within(modelLinger))
	}
	g := &modelGranter{granter: NewGranter(m.now, term, m.now.Sub(time.Unix(1e9, 0)), modelLinger+time.Second, modelSilence), name: name, endsAt: m.now.Add(time.Hour)}
	m.granters = append(m.granters, g)
}

func (m *model) within(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// send delivers a message after a delay, or not at all, or twice.
func (m *model) send(deliver func()) {
	copies := 1
	if m.faulty {
		copies = []int{0, 1, 1, 1, 1, 1, 2}[m.rng.IntN(7)]
	}
	for range copies {
		delay := m.within(30 * time.Millisecond)
		if m.faulty && m.rng.IntN(8) == 0 {
			delay = m.within(1500 * time.Millisecond)
		}
		m.mail = append(m.mail, modelMessage{m.now.Add(delay), deliver})
	}
}

// report sends a leader's report to the granter, or for a while after a change of granter perhaps to the one before.
func (m *model) report(l *modelLeader) {
	to := m.granters[len(m.granters)-1]
	if before := len(m.granters) - 2; before >= 0 && m.granters[before].name == to.name && m.now.Before(m.granters[before].endsAt) && m.rng.IntN(2) == 0 {
		to = m.granters[before]
	}
	u := Usage{}
	for _, run := range l.runs {
		u.Used = u.Used.Add(run.need)
	}
	if m.now.Before(l.unseenTill) {
		u.Used, u.Unseen = work.Resources{}, u.Used.Add(modelUnseen)
	}
	for _, need := range l.queue {
		u.Waiting = u.Waiting.Add(need)
	}
	if len(l.queue) > 0 {
		u.Next = l.queue[0]
	}
	l.holding.SetCaps(m.caps[len(m.caps)-1].since, m.configured(l.name > "s1"))
	r, sent, holding := l.holding.Report(m.now, to.name, map[string]Usage{"w": u}), m.now, l.holding
	m.send(func() {
		if m.now.After(to.endsAt) {
			return
		}
		to.granter.Configure(m.configured(true), []string{"s0", "s1", "s2", "s3"})
		for _, l := range m.leaders {
			if m.now.After(l.downTill) {
				to.granter.Alive(m.now, l.name)
			}
		}
		if a, ok := to.granter.Handle(m.now, r); ok {
			m.send(func() { holding.Apply(to.name, sent, a) })
		}
	})
}

// disturb changes a leader, the granter or the cap now and then.
func (m *model) disturb() {
	last := m.granters[len(m.granters)-1]
	switch m.rng.IntN(900) {
	case 0:
		m.loseLeader()
	case 1:
		m.newGranter(last.name, int(last.granter.first>>TermShift)+1)
	case 2: // both are on one daemon
		m.loseLeader()
		m.newGranter(last.name, int(last.granter.first>>TermShift)+1)
	case 3:
		if m.now.Sub(m.caps[len(m.caps)-1].since) > PortionTTL {
			m.setCap(work.Resources{CPU: 50 + m.rng.Int64N(100), Mem: 500 + m.rng.Int64N(1000)})
		}
	}
}

// loseLeader replaces the leader of a service. The new one knows only after a while what runs.
func (m *model) loseLeader() {
	l := m.leaders[m.rng.IntN(len(m.leaders))]
	l.downTill = m.now.Add(m.within(3 * time.Second))
	l.unseenTill = l.downTill.Add(m.within(time.Second))
	l.term++
	l.holding = NewHolding(l.name, l.term)
}

// step advances the model by one tick.
func (m *model) step() {
	m.now = m.now.Add(modelTick)
	if m.faulty {
		m.disturb()
	}
	mail := m.mail
	m.mail = nil
	for _, msg := range mail {
		if msg.at.After(m.now) {
			m.mail = append(m.mail, msg)
		} else {
			msg.deliver()
		}
	}
	for _, l := range m.leaders {
		m.stepLeader(l)
	}
}

func (m *model) stepLeader(l *modelLeader) {
	runs := l.runs[:0]
	for _, run := range l.runs {
		if run.ends.After(m.now) {
			runs = append(runs, run)
		}
	}
	l.runs = runs
	for len(l.queue) < 20 && m.rng.IntN(4) == 0 {
		need := work.Resources{CPU: 1 + m.rng.Int64N(8), Mem: 1 + m.rng.Int64N(100)}
		if l.name == "s3" && m.rng.IntN(4) == 0 {
			need = work.Resources{CPU: 40, Mem: 300} // a gang that needs most of the smallest cap
		}
		l.queue = append(l.queue, need)
	}
	if m.now.Before(l.downTill) {
		l.startedAt = m.now
		return
	}
	if held := m.start(l); m.now.After(l.reportAt) || (held && m.now.Add(ReportInterval-MinReportInterval).After(l.reportAt)) {
		l.reportAt = m.now.Add(ReportInterval)
		m.report(l)
	}
}

// start starts what the allowance permits, and reports whether something is held up.
func (m *model) start(l *modelLeader) bool {
	for len(l.queue) > 0 {
		use := l.queue[0]
		if m.now.Before(l.unseenTill) {
			use = use.Add(modelUnseen)
		}
		for _, run := range l.runs {
			use = use.Add(run.need)
		}
		allowance, ok := l.holding.Allowances(m.now)["w"]
		if !ok || !use.Fits(allowance) {
			return true
		}
		l.runs = append(l.runs, modelRun{l.queue[0], m.now.Add(100*time.Millisecond + m.within(time.Second))})
		l.queue, l.startedAt = l.queue[1:], m.now
		total := m.total()
		require.True(m.t, total.Fits(m.highestCap()), "at %v %s started: %v run, caps %v", m.now.Sub(time.Unix(1e9, 0)), l.name, total, m.caps)
	}
	l.startedAt = m.now
	return false
}

func (m *model) total() work.Resources {
	var sum work.Resources
	for _, l := range m.leaders {
		for _, run := range l.runs {
			sum = sum.Add(run.need)
		}
	}
	return sum
}

// highestCap returns the highest cap that may be in force: an earlier one counts until it has reached every daemon, the
// granter has answered by the new one, and scaled portions are no longer used.
func (m *model) highestCap() work.Resources {
	highest := m.caps[len(m.caps)-1].cap
	if len(m.caps) > 1 && m.now.Sub(m.caps[len(m.caps)-1].since) < modelLag+scaledTTL {
		highest = maxOf(highest, m.caps[len(m.caps)-2].cap)
	}
	return highest
}

// Guards against portions that together exceed a cap, and against a service that is starved, while messages are lost,
// delayed and duplicated, leaders and granters change (the earlier granter still answers for a while) and caps change.
func TestCapHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(t, seed)
			for range int(faultyTime / modelTick) {
				m.step()
			}
			m.faulty = false
			for i := range int(quietTime / modelTick) {
				m.step()
				for _, l := range m.leaders {
					if time.Duration(i)*modelTick > 10*time.Second {
						require.Less(t, m.now.Sub(l.startedAt), 8*time.Second, "%s has started nothing", l.name)
					}
				}
			}
		})
	}
}
