package share

import (
	"container/heap"
	"time"
)

// request is one request that waits for a slot or holds one.
type request struct {
	id       uint64
	kind     *kind
	deadline time.Time
	started  time.Time // zero while it waits
	at       int       // index in its kind's queue
}

// queue holds the waiting requests of one kind of work, the earliest deadline first.
type queue []*request

func (q queue) first() *request { return q[0] }

func (q *queue) add(r *request) { heap.Push(q, r) }

func (q *queue) remove(r *request) { heap.Remove(q, r.at) }

// Len is part of heap.Interface.
func (q queue) Len() int { return len(q) }

// Less is part of heap.Interface; requests of equal deadline keep the order of arrival.
func (q queue) Less(i, j int) bool {
	if q[i].deadline.Equal(q[j].deadline) {
		return q[i].id < q[j].id
	}
	return q[i].deadline.Before(q[j].deadline)
}

// Swap is part of heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push is part of heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*request)
	r.at = len(*q)
	*q = append(*q, r)
}

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*q = old[:last]
	return r
}
