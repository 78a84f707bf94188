package timeline

import (
	"container/heap"
	"time"
)

// Timeline holds events to come; those of the same instant come in the order of their adding.
type Timeline[T any] struct {
	events entries[T]
	added  uint64
}

// New returns an empty timeline.
func New[T any]() *Timeline[T] {
	return &Timeline[T]{}
}

// Add puts an event at an instant.
func (t *Timeline[T]) Add(at time.Time, event T) {
	t.added++
	heap.Push(&t.events, entry[T]{at: at, order: t.added, event: event})
}

// Next takes out the earliest event; false means that there is none.
func (t *Timeline[T]) Next() (at time.Time, event T, ok bool) {
	if len(t.events) == 0 {
		return at, event, false
	}
	e := heap.Pop(&t.events).(entry[T])
	return e.at, e.event, true
}

type entry[T any] struct {
	at    time.Time
	order uint64
	event T
}

type entries[T any] []entry[T]

// Len is part of heap.Interface.
func (es entries[T]) Len() int { return len(es) }

// Less is part of heap.Interface.
func (es entries[T]) Less(i, j int) bool {
	if es[i].at.Equal(es[j].at) {
		return es[i].order < es[j].order
	}
	return es[i].at.Before(es[j].at)
}

// Swap is part of heap.Interface.
func (es entries[T]) Swap(i, j int) { es[i], es[j] = es[j], es[i] }

// Push is part of heap.Interface.
func (es *entries[T]) Push(x any) { *es = append(*es, x.(entry[T])) }

// Pop is part of heap.Interface.
func (es *entries[T]) Pop() any {
	old := *es
	last := len(old) - 1
	e := old[last]
	*es = old[:last]
	return e
}
