package leader

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Intervals between looks whether the services that queues were sent to before still have jobs of them. Each look reads all jobs of
// such a service.
const (
	minFormerCheck = time.Minute
	maxFormerCheck = 30 * time.Minute
)

// formerLoop drops the services that this service's queues were sent to before, once they have no jobs of them any more. Until then
// each new job of such a queue costs a read for each of them.
func (l *Leader) formerLoop(ctx context.Context) error {
	interval := minFormerCheck
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, interval, nil)
		queues := l.movedQueues()
		for _, q := range queues {
			if err := l.dropFormer(ctx, q); err != nil && ctx.Err() == nil {
				l.Log.Warn("cannot drop a service that a queue was sent to before", zap.String("queue", q.Name), zap.Error(err))
			}
		}
		interval = min(2*interval, maxFormerCheck)
		if len(queues) == 0 {
			interval = minFormerCheck
		}
	}
	return nil
}

// movedQueues returns the queues of this service that were sent to others before.
func (l *Leader) movedQueues() []work.Queue {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.queues), func(q work.Queue) bool {
		gate, ok := l.Homes.Known(q)
		return !ok || len(gate.Former) == 0
	})
}

// dropFormer drops the former services of a queue that have no jobs of it.
func (l *Leader) dropFormer(ctx context.Context, q work.Queue) error {
	gate, _ := l.Homes.Known(q)
	for _, service := range gate.Former {
		left, err := hasJobs(ctx, l.Store, service, q)
		if err != nil {
			return err
		}
		if left {
			continue
		}
		if gate, err = l.Homes.DropFormer(ctx, gate, service); err != nil {
			return err
		}
	}
	return nil
}

// hasJobs reports whether a service may have jobs of a queue, or rows that keep some out.
func hasJobs(ctx context.Context, store *platform.Store, service string, q work.Queue) (bool, error) {
	page, err := store.Scan(ctx, tableJobs, service, restoreScan)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(page.Rows, func(row platform.Row) bool {
		var job jobRow
		return decode(row, &job) != nil || job.Refused || job.Queue.Same(q)
	}), nil
}

// ServicesWithJobs returns the services that have jobs in the store, sorted.
func ServicesWithJobs(ctx context.Context, store *platform.Store) ([]string, error) {
	services, err := store.Partitions(ctx, tableJobs)
	slices.Sort(services)
	return services, err
}
