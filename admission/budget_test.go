package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// begin adds a body that counts its interruptions and has taken some bytes.
func begin(t *testing.T, b *Budget, bytes int64) (*Body, *int) {
	interrupted := new(int)
	y := b.Begin(func() { *interrupted++ })
	require.NoError(t, y.Grow(bytes))
	return y, interrupted
}

// grow lets a body grow and returns its result when there is one.
func grow(y *Body, bytes int64) chan error {
	result := make(chan error, 1)
	go func() { result <- y.Grow(bytes) }()
	return result
}

func result(t *testing.T, from chan error) error {
	select {
	case err := <-from:
		return err
	case <-time.After(30 * time.Second):
		require.FailNow(t, "Grow does not return")
		return nil
	}
}

// Guards against a budget that refuses newcomers because of bodies that never finish.
func TestLongestUnfinishedBodyGivesWay(t *testing.T) {
	b := NewBudget(100)
	oldest, oldestInterrupted := begin(t, b, 40)
	complete, completeInterrupted := begin(t, b, 30)
	require.NoError(t, complete.Complete())
	newer, newerInterrupted := begin(t, b, 30)

	newcomer := b.Begin(func() {})
	waits := grow(newcomer, 20)
	require.Eventually(t, func() bool { return b.waitingBodies() == 1 }, 30*time.Second, time.Millisecond)
	require.EqualValues(t, 100, b.Used(), "nothing is granted before the evicted body has released its bytes")
	require.ErrorIs(t, oldest.Grow(1), ErrEvicted)
	require.ErrorIs(t, oldest.Complete(), ErrEvicted)
	oldest.Release()
	oldest.Release()
	require.NoError(t, result(t, waits))
	require.EqualValues(t, 80, b.Used())

	require.Equal(t, []int{1, 0, 0}, []int{*oldestInterrupted, *completeInterrupted, *newerInterrupted})
	require.True(t, b.EvictLongest(0))
	require.ErrorIs(t, newer.Complete(), ErrEvicted)
	require.True(t, b.EvictLongest(0))
	require.False(t, b.EvictLongest(0), "the complete body doesn't give way")
	for _, y := range []*Body{complete, newer, newcomer} {
		y.Release()
	}
	require.Zero(t, b.Used())
}

// Guards against a body that waits for good because only complete ones hold the budget.
func TestBodyGivesWayIfNobodyElseCan(t *testing.T) {
	b := NewBudget(100)
	complete, _ := begin(t, b, 90)
	require.NoError(t, complete.Complete())
	y, interrupted := begin(t, b, 10)
	require.ErrorIs(t, result(t, grow(y, 1)), ErrEvicted)
	require.Equal(t, 1, *interrupted)
}

// Guards against a body that waits and is evicted but not woken.
func TestWaitingBodyIsWokenByItsEviction(t *testing.T) {
	b := NewBudget(100)
	_, _ = begin(t, b, 50)
	first, _ := begin(t, b, 50)
	waits := grow(first, 50)
	require.Eventually(t, func() bool { return b.waitingBodies() == 1 }, 30*time.Second, time.Millisecond)
	require.True(t, b.EvictLongest(0))
	require.ErrorIs(t, result(t, waits), ErrEvicted)
}

func (b *Budget) waitingBodies() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting.Len()
}
