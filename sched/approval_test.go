package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// Guards against a gang that never starts although enough runners would be approved, because it asks about the same ones again.
func TestGangIsApprovedThoughFewRunnersAreAllowed(t *testing.T) {
	for name, allowed := range map[string]func(i int) bool{
		"seven of the first twenty": func(i int) bool { return i < 7 || i >= 25 },
		"one of the first twenty":   func(i int) bool { return i == 0 || i >= 33 },
		"the last eight":            func(i int) bool { return i >= 32 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakePool(t, 40, 8)
			q := testQueue
			q.Advice = &work.ApprovalTiming{Base: 50 * time.Millisecond, Each: 3 * time.Millisecond, Valid: 3 * time.Second}
			policy := map[string]string{}
			for i, id := range f.runnerIDs() {
				if allowed(i) {
					policy[id] = "ticket"
				}
			}
			gang := stepOf(8, 8000)
			gang.Gang = true
			f.accept("a", q, gang)
			begun, started := f.now, 0
			for started == 0 && f.now.Sub(begun) < 10*time.Second {
				orders := f.advance(tickInterval)
				started = len(starts(orders))
				for _, request := range ordersOfType[ApprovalRequest](orders) {
					f.pool.HandleApproval(f.now, request, policy, q.Advice.Valid)
				}
			}
			require.Equal(t, 8, started)
		})
	}
}

// Guards against a step with a limit per runner that asks no more because the runners that it is already on are approved.
func TestStepAsksAboutFurtherRunnersThanThoseThatItIsOn(t *testing.T) {
	f := newFakePool(t, 30, 8)
	q := testQueue
	q.Advice = &work.ApprovalTiming{Valid: time.Hour}
	step := stepOf(6, 1000)
	step.MaxPerRunner = 1
	id := f.accept("a", q, step)
	policy := map[string]string{}
	for i, runner := range f.runnerIDs() {
		if i == 0 || i >= 25 {
			policy[runner] = "ticket"
		}
	}
	for range 4 {
		for _, request := range ordersOfType[ApprovalRequest](f.advance(tickInterval)) {
			f.pool.HandleApproval(f.now, request, policy, q.Advice.Valid)
		}
	}
	f.advance(tickInterval)
	for i := range 6 {
		require.NotEmpty(t, f.runnerOf(taskOf(id, 0, i)))
	}
}
