package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

// TestEveryTransition walks the whole table: what it doesn't allow is a breach.
func TestEveryTransition(t *testing.T) {
	for from := range stageCount {
		for to := range stageCount {
			p := progress{stage: from}
			allowed := false
			for _, s := range nextStages[from] {
				allowed = allowed || s == to
			}
			err := p.move(to)
			require.Equal(t, !allowed, fault.Is(err, fault.Breach), "%d to %d", from, to)
			if !allowed {
				require.Equal(t, from, p.stage)
			}
		}
	}
}

func TestOutcomesThatContradictTheStage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		at     stage
		keyed  bool
		told   fault.Outcome
		breach bool
	}{
		{"refused at once", stageReceived, false, fault.NotRun, false},
		{"no runner", stageSending, false, fault.NotRun, false},
		{"broke off", stageSending, false, fault.Unknown, false},
		{"answered", stageAnswered, false, fault.Ran, false},
		{"answer broke off", stageAnswered, false, fault.Unknown, false},
		{"a stored answer", stageAdmitted, true, fault.Ran, false},
		{"a stored answer without a slot", stageReceived, true, fault.Ran, false},
		{"unkeyed and unsent, called run", stageAdmitted, false, fault.Ran, true},
		{"answered and called not run", stageAnswered, false, fault.NotRun, true},
		{"unanswered and called run", stageSending, false, fault.Ran, true},
		{"told twice", stageTold, false, fault.Unknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := progress{stage: tc.at, keyed: tc.keyed}
			require.Equal(t, tc.breach, fault.Is(p.tell(tc.told), fault.Breach))
		})
	}
	keyed := progress{stage: stageAdmitted, keyed: true}
	require.True(t, fault.Is(keyed.move(stageSending), fault.Breach))
}

func TestMemoryIsSharedBetweenServices(t *testing.T) {
	m := newMemory(100)
	a, b := lease{memory: m, service: "a"}, lease{memory: m, service: "b"}
	require.True(t, a.grow(50))
	require.False(t, a.grow(1))
	require.True(t, b.grow(50))
	require.NoError(t, a.free())
	require.NoError(t, a.free())
	require.NoError(t, b.free())
	require.Zero(t, m.used)
	require.True(t, fault.Is(m.give("a", 1), fault.Breach))
}
