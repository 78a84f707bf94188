package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

const (
	testSettle  = 10 * time.Second
	testSilence = 26 * time.Second
)

// fixture is a granter of a cap of 100 with leaders whose messages arrive as each test says.
type fixture struct {
	t       *testing.T
	now     time.Time
	granter *Granter
	leaders map[string]*Holding
}

func newFixture(t *testing.T, services ...string) *fixture {
	f := &fixture{t: t, now: time.Unix(1e9, 0), leaders: map[string]*Holding{}}
	f.newGranter(1, services...)
	for _, name := range services {
		f.newLeader(name, 1)
	}
	return f
}

func (f *fixture) newGranter(term int, services ...string) {
	f.granter = NewGranter(f.now, term, time.Second, testSettle, testSilence)
	f.granter.Configure(capOf(100), services)
}

func (f *fixture) newLeader(service string, term int) {
	f.leaders[service] = NewHolding(service, term)
	f.leaders[service].SetCaps(f.now.Add(-time.Hour), capOf(100))
}

func capOf(cpu int64) map[string]work.Resources { return map[string]work.Resources{"w": {CPU: cpu}} }

// needs returns a usage; each task takes next.
func needs(used, waiting, next int64) Usage {
	return Usage{Used: work.Resources{CPU: used}, Waiting: work.Resources{CPU: waiting}, Next: work.Resources{CPU: next}}
}

// ask sends a report 200 ms later and returns the answer, which doesn't reach the leader.
func (f *fixture) ask(service string, u Usage) Answer {
	f.now = f.now.Add(ReportInterval)
	a, ok := f.granter.Handle(f.now, f.leaders[service].Report(f.now, "g", map[string]Usage{"w": u}))
	require.True(f.t, ok)
	return a
}

// exchange sends a report, delivers the answer, and returns what the leader may use then.
func (f *fixture) exchange(service string, u Usage) int64 {
	f.leaders[service].Apply("g", f.now.Add(ReportInterval), f.ask(service, u))
	return f.leaders[service].Allowances(f.now)["w"].CPU
}

// settle lets every leader confirm an answer of the granter.
func (f *fixture) settle() {
	for range 2 {
		for name := range f.leaders {
			f.exchange(name, Usage{})
		}
	}
}

// Guards against unequal portions, and against idle portions that are kept.
func TestFreeQuotaIsSplitByWhatWaits(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	require.Equal(t, int64(100), f.exchange("a", needs(0, 1000, 2)))
	f.exchange("b", needs(0, 1000, 2))
	require.Equal(t, int64(50), f.exchange("a", needs(100, 1000, 2)), "what runs stays, but nothing more starts")
	require.Zero(t, f.exchange("b", needs(0, 1000, 2)), "its half is still in use")
	f.exchange("a", needs(70, 1000, 2))
	require.Equal(t, int64(30), f.exchange("b", needs(0, 1000, 2)))
	f.exchange("a", needs(50, 1000, 2))
	require.Equal(t, int64(50), f.exchange("b", needs(30, 1000, 2)))
	less := f.ask("a", needs(10, 0, 0))
	require.True(t, f.leaders["a"].Shrinks(less), "b waits for its confirmation")
	require.LessOrEqual(t, less.Portions["w"].Amount.CPU, int64(30), "reduced, as it isn't used")
	require.False(t, f.leaders["a"].Shrinks(Answer{Portions: f.leaders["a"].portions}))
}

// Guards against two services that each get too little for one task, so that neither starts any, and against one of them
// that never gets its turn.
func TestQuotaForOneTaskIsNotSplit(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	starts, endsAt := map[string]int{}, map[string]int{}
	for round := range 100 {
		for _, name := range []string{"a", "b"} {
			used := int64(0)
			if round < endsAt[name] {
				used = 60
			}
			if f.exchange(name, needs(used, 600, 60)) >= 60 && used == 0 {
				starts[name]++
				endsAt[name] = round + 4
			}
		}
		require.False(t, round < endsAt["a"] && round < endsAt["b"])
	}
	require.GreaterOrEqual(t, min(starts["a"], starts["b"]), 5)
}

// Guards against quota given away while a lost leader's runs use it: with a third of the cap in use.
func TestLeaderIsLostWithPartOfTheCapInUse(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	f.exchange("a", needs(33, 0, 0))
	old := f.leaders["a"]
	f.newLeader("a", 2)
	require.LessOrEqual(t, f.exchange("b", needs(0, 1000, 1)), int64(67))
	unseen := Usage{Unseen: work.Resources{CPU: 40}}
	require.Zero(t, f.exchange("a", unseen), "what may run is no portion")
	require.LessOrEqual(t, f.exchange("b", needs(0, 1000, 1)), int64(60))
	_, ok := f.granter.Handle(f.now, old.Report(f.now, "g", nil))
	require.False(t, ok, "a report of the earlier leader")
	f.exchange("a", needs(33, 0, 0))
	f.exchange("a", needs(33, 0, 0))
	require.GreaterOrEqual(t, f.exchange("b", needs(0, 1000, 1)), int64(60))
}

// Guards against a new granter that gives away what leaders hold, whether they have reported or not; also with a leader
// lost at the same time.
func TestGranterIsLost(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.settle()
	for range 3 {
		f.exchange("a", needs(40, 1000, 1))
		f.exchange("b", needs(0, 1000, 1))
	}
	f.newGranter(2, "a", "b", "c")
	require.Equal(t, int64(50), f.exchange("a", needs(20, 80, 1)), "confirmed")
	require.Equal(t, int64(50), f.exchange("a", needs(20, 80, 1)), "nothing more before the others have reported")
	require.Equal(t, int64(50), f.exchange("b", needs(5, 0, 1)))
	f.newLeader("c", 2)
	f.exchange("c", needs(7, 0, 0))
	f.exchange("b", needs(5, 0, 0))
	require.LessOrEqual(t, f.exchange("a", needs(20, 80, 1)), int64(50), "c has not confirmed an answer")
	f.exchange("c", needs(7, 0, 0))
	f.exchange("b", needs(5, 0, 0))
	require.Greater(t, f.exchange("a", needs(20, 80, 1)), int64(50))
}

// Guards against a portion made from what a new leader only may have running, while the others' portions aren't known: the
// leader and the granter are lost together, and another service has most of the cap.
func TestUnseenUsageIsNotConfirmedAsPortion(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	require.Equal(t, int64(90), f.exchange("b", needs(80, 0, 0)))
	f.newGranter(2, "a", "b")
	f.newLeader("a", 2)
	require.Zero(t, f.exchange("a", Usage{Unseen: work.Resources{CPU: 90}}))
	require.Equal(t, int64(20), f.exchange("a", needs(20, 60, 1)))
}

// Guards against runs of a service whose leader was lost before it could report to a new granter.
func TestNewGranterWaitsForServicesThatAreNotHeard(t *testing.T) {
	f := newFixture(t, "a", "b")
	delete(f.leaders, "b")
	f.settle()
	require.Zero(t, f.exchange("a", needs(0, 80, 1)))
	f.now = f.now.Add(20 * time.Second)
	f.granter.Alive(f.now, "b")
	f.now = f.now.Add(20 * time.Second)
	require.Zero(t, f.exchange("a", needs(0, 80, 1)), "b had a leader until 20 s ago")
	f.now = f.now.Add(testSilence)
	require.Positive(t, f.exchange("a", needs(0, 80, 1)))
}

// Guards against a service whose leader reports, but whose confirmations never arrive, and which holds up all others.
func TestOtherServicesGoOnOnceNoEarlierGranterAnswers(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.ask("b", needs(10, 0, 0))
	f.exchange("a", needs(0, 80, 1))
	require.Zero(t, f.exchange("a", needs(0, 80, 1)))
	f.now = f.now.Add(testSettle)
	require.GreaterOrEqual(t, f.exchange("a", needs(0, 80, 1)), int64(80))
}

// Guards against answers that are lost or late: what they brought counts until a later one is confirmed.
func TestUnconfirmedAnswersCount(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	late, sentAt := f.ask("a", needs(0, 90, 1)), f.now
	require.GreaterOrEqual(t, late.Portions["w"].Amount.CPU, int64(90))
	require.LessOrEqual(t, f.exchange("b", needs(0, 50, 1)), int64(10))
	f.ask("a", needs(0, 0, 0))
	require.LessOrEqual(t, f.exchange("b", needs(0, 50, 1)), int64(10), "the first answer may still arrive")
	f.exchange("a", needs(0, 0, 0))
	require.False(t, f.leaders["a"].Apply("g", sentAt, late), "a newer one was applied")
	f.exchange("a", needs(0, 0, 0))
	require.GreaterOrEqual(t, f.exchange("b", needs(0, 50, 1)), int64(50))
}

// Guards against a report that is overtaken by a later one of the same leader, while answers are lost.
func TestOvertakenReportFreesNothing(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	overtaken := f.leaders["a"].Report(f.now, "g", nil)
	f.ask("a", Usage{Unseen: work.Resources{CPU: 80}})
	_, ok := f.granter.Handle(f.now, overtaken)
	require.True(t, ok)
	require.LessOrEqual(t, f.exchange("b", needs(0, 100, 1)), int64(20))
}

// Guards against a daemon that starts tasks by an old portion: frozen, cut off from the granter, or after an answer that
// took long.
func TestPortionExpires(t *testing.T) {
	f := newFixture(t, "a")
	f.settle()
	a, sentAt := f.ask("a", needs(0, 50, 1)), f.now
	f.now = f.now.Add(time.Second)
	require.True(t, f.leaders["a"].Apply("g", sentAt, a))
	require.NotEmpty(t, f.leaders["a"].Allowances(sentAt.Add(PortionTTL-1)))
	require.Empty(t, f.leaders["a"].Allowances(sentAt.Add(PortionTTL)))
	require.Equal(t, int64(0), f.leaders["a"].Report(sentAt.Add(PortionTTL), "g", nil).Workspaces["w"].Portion.CPU)
}

// Guards against starts by a portion of a cap that has been lowered since, and against a raised cap that isn't used.
func TestCapChanges(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	before := f.exchange("a", needs(0, 80, 1))
	f.leaders["a"].SetCaps(f.now, capOf(50))
	require.Equal(t, before/2, f.leaders["a"].Allowances(f.now)["w"].CPU, "scaled by 50/100")
	require.Empty(t, f.leaders["a"].Allowances(f.now.Add(scaledTTL)), "the granter should have answered by the new cap")
	f.granter.Configure(capOf(50), []string{"a", "b"})
	require.LessOrEqual(t, f.exchange("a", needs(80, 10, 1)), int64(50))
	require.Zero(t, f.exchange("b", needs(0, 10, 1)), "more runs than the cap")
	f.granter.Configure(capOf(200), []string{"a", "b"})
	require.Positive(t, f.exchange("b", needs(0, 10, 1)))
}

// Guards against quota that a removed service keeps for ever, and against its loss while that service still has runs.
func TestServiceLeavesTheConfiguration(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.settle()
	f.exchange("b", needs(60, 0, 0))
	f.granter.Configure(capOf(100), []string{"a"})
	f.now = f.now.Add(testSilence / 2)
	require.LessOrEqual(t, f.exchange("a", needs(0, 100, 1)), int64(40))
	f.now = f.now.Add(testSilence)
	require.Equal(t, int64(100), f.exchange("a", needs(0, 100, 1)))
}

// Guards against an earlier granter that goes on answering: leaders that have applied a later one's answer refuse it, and
// it stops as soon as it sees that. Also against a daemon that becomes the granter again in the same term.
func TestEarlierGranterIsRefused(t *testing.T) {
	f := newFixture(t, "a")
	f.settle()
	earlier := f.granter
	late, sentAt := f.ask("a", needs(0, 90, 1)), f.now
	f.newGranter(2, "a")
	f.exchange("a", needs(0, 90, 1))
	require.False(t, f.leaders["a"].Apply("g", sentAt, late))
	_, ok := earlier.Handle(f.now, f.leaders["a"].Report(f.now, "g", nil))
	require.False(t, ok)
	_, ok = earlier.Handle(f.now, NewHolding("b", 1).Report(f.now, "g", nil))
	require.False(t, ok, "it knows of a later granter")

	f.granter = NewGranter(f.now, 2, time.Minute, testSettle, testSilence)
	f.granter.Configure(capOf(100), []string{"a"})
	f.exchange("a", needs(0, 90, 1))
	require.GreaterOrEqual(t, f.exchange("a", needs(0, 90, 1)), int64(90))
}

// Guards against a short cut for caps that suffice which gives other portions than the split.
func TestShortCutGivesTheSamePortions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now, limit := time.Unix(1e9, 0), work.Resources{CPU: 1000}
	for range 1000 {
		g := NewGranter(now, 1, 0, 0, 0)
		g.Configure(map[string]work.Resources{"w": limit}, nil)
		for _, name := range []string{"a", "b", "c"} {
			g.accept(now, Report{Service: name, Term: 1, Workspaces: map[string]Usage{"w": needs(rng.Int64N(300), rng.Int64N(300), 1+rng.Int64N(60))}})
		}
		shares := g.workspaces["w"].shares
		for sh, amount := range split(now, limit, shares) {
			require.Equal(t, amount, portionOf(now, limit, shares, sh))
		}
	}
}
