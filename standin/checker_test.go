package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// budgetTest is a checker with a job of one task that has two attempts, and the runner of the task.
type budgetTest struct {
	*Checker
	runner *Runner
	task   work.Task
	run    int
}

func newBudgetTest(step work.Step) *budgetTest {
	b := &budgetTest{Checker: NewChecker(), runner: &Runner{ID: "r0"}, task: work.Task{Job: "00000000000000aa"}}
	step.Count = 1
	b.Submitted(b.task.Job, work.Job{Steps: []work.Step{step}}, 2)
	return b
}

func (b *budgetTest) start() {
	b.run++
	b.runStarted(b.runner, b.task, b.run, false)
}

func (b *budgetTest) fail() {
	b.start()
	b.runEnded(b.runner, int64(b.run), b.task.String(), b.run, work.EndFailed)
}

func (b *budgetTest) done() {
	b.start()
	b.runEnded(b.runner, int64(b.run), b.task.String(), b.run, work.EndDone)
}

// The check of starts after the last attempt could not fail: nothing counted the failures that were acknowledged.
func TestStartAfterTheLastAttemptIsAViolation(t *testing.T) {
	for name, tc := range map[string]struct {
		step work.Step
		play func(b *budgetTest)
		want int
	}{
		"acknowledged before the start": {work.Step{}, func(b *budgetTest) {
			b.fail()
			b.fail()
			b.endAcked(b.runner, 1)
			b.endAcked(b.runner, 2)
			b.start()
		}, 1},
		"acknowledged after the start": {work.Step{}, func(b *budgetTest) {
			b.fail()
			b.fail()
			b.start()
			b.endAcked(b.runner, 1)
			b.endAcked(b.runner, 2)
		}, 1},
		"one left": {work.Step{}, func(b *budgetTest) {
			b.fail()
			b.endAcked(b.runner, 1)
			b.fail()
			b.endAcked(b.runner, 2)
		}, 0},
		"never acknowledged": {work.Step{}, func(b *budgetTest) {
			b.fail()
			b.fail()
			b.endAcked(b.runner, 1)
			b.start()
		}, 0},
		"runner lost before the acknowledgement": {work.Step{}, func(b *budgetTest) {
			b.fail()
			b.endAcked(b.runner, 1)
			b.fail()
			b.runnerLost(b.runner)
			b.start()
			b.endAcked(b.runner, 2)
		}, 0},
		"lasting task": {work.Step{LongRunning: true}, func(b *budgetTest) {
			b.fail()
			b.endAcked(b.runner, 1)
			b.fail()
			b.endAcked(b.runner, 2)
			b.start()
		}, 0},
		"copy, just after": {work.Step{Speculative: true}, func(b *budgetTest) {
			b.fail()
			b.endAcked(b.runner, 1)
			b.fail()
			b.endAcked(b.runner, 2)
			b.start()
		}, 0},
		"copy, later": {work.Step{Speculative: true}, func(b *budgetTest) {
			b.fail()
			b.endAcked(b.runner, 1)
			b.fail()
			b.endAcked(b.runner, 2)
			time.Sleep(speculativeSlack + time.Millisecond)
			b.start()
		}, 1},
		"copy of a done task, just after": {work.Step{Speculative: true}, func(b *budgetTest) {
			b.done()
			b.endAcked(b.runner, 1)
			b.start()
		}, 0},
		"copy of a done task, later": {work.Step{Speculative: true}, func(b *budgetTest) {
			b.done()
			b.endAcked(b.runner, 1)
			time.Sleep(speculativeSlack + time.Millisecond)
			b.start()
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBudgetTest(tc.step)
				tc.play(b)
				require.Len(t, b.Violations, tc.want, "%v", b.Violations)
			})
		})
	}
}
