package leader

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// gateLoop opens the gates of queues ahead of their jobs, so that these need not wait: of those that move to this service, and in a
// new deployment of all. It reads those that are open when this leader takes over.
func (l *Leader) gateLoop(ctx context.Context) error {
	for begun := false; ctx.Err() == nil; {
		select {
		case <-l.wakeGates:
		case <-ctx.Done():
			return nil
		}
		l.mu.Lock()
		queues := l.queuesAhead
		l.queuesAhead = nil
		l.mu.Unlock()
		if !begun {
			begun = true
			if known, err := l.Homes.Load(ctx, l.lease.Service, queues); known || err != nil {
				continue // a gate that isn't open is opened when a job needs it
			}
		}
		l.openGates(ctx, queues)
	}
	return nil
}

// openGates opens up to maxGatesAhead gates. What fails, or is beyond that, is done when a job needs it.
func (l *Leader) openGates(ctx context.Context, queues []work.Queue) {
	for _, q := range queues[:min(len(queues), maxGatesAhead)] {
		if _, err := l.Homes.Open(ctx, q); err != nil && ctx.Err() == nil {
			l.Log.Warn("cannot open the gate of a queue", zap.String("queue", q.Name), zap.Error(err))
		}
	}
}

// noteQueues records to which services queues are sent, and which gates are to be opened ahead: of all queues of this service at
// first, and then of those that move to it. The caller holds l.mu.
func (l *Leader) noteQueues(queues []work.Queue) {
	sentTo := make(map[string]string, len(queues))
	l.queues = nil
	for _, q := range queues {
		sentTo[q.Key()] = q.Service
		if q.Service != l.lease.Service {
			continue
		}
		l.queues = append(l.queues, q)
		before, known := l.sentTo[q.Key()]
		if l.sentTo == nil || (known && before != q.Service) {
			l.queuesAhead = append(l.queuesAhead, q)
		}
	}
	l.sentTo = sentTo
	if len(l.queuesAhead) > 0 {
		sleep.Wake(l.wakeGates)
	}
}

// movedRow is the row at a job's key in the partition of a service that the job's queue was sent to before.
type movedRow struct {
	service string
	row     platform.Row
}

// findElsewhere returns the row of a job in the partitions of the services that its queue was sent to before, or false if there is
// none. None can be stored there while the gate has its version, so that a job that isn't found may be stored through it.
func findElsewhere(ctx context.Context, store *platform.Store, gate home.Gate, id work.ID) (movedRow, bool, error) {
	for _, service := range gate.Former {
		page, err := store.GetRow(ctx, rowKey(tableJobs, service, string(id)))
		if err != nil {
			return movedRow{}, false, err
		}
		if len(page.Rows) > 0 {
			return movedRow{service, page.Rows[0]}, true, nil
		}
	}
	return movedRow{}, false, nil
}

// submitElsewhere returns the result of the submission of a job of which a service that its queue was sent to before has a row. It
// returns false if none has, so that the job is to be stored here.
func submitElsewhere(ctx context.Context, store *platform.Store, gate home.Gate, id work.ID, job work.Job, seen int64) (Result, bool) {
	if len(gate.Former) == 0 {
		return Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	moved, found, err := findElsewhere(ctx, store, gate, id)
	switch {
	case err != nil:
		return notStored("cannot look for the job where its queue was sent before: " + err.Error()), true
	case !found:
		return Result{}, false
	}
	stored, err := decodeJob(moved.row)
	switch {
	case err != nil && job.Workspace != "":
		return unreadableOwner(err), true
	case err != nil:
		return Result{Verdict: Accepted}, true // the same caller submitted it under the same ID
	case stored.Refused:
		return newRefusedRow(moved.row.Version, stored).check(job.Workspace, seen)
	}
	return known(stored.Job.Workspace, job), true
}

// visibleElsewhere returns the service that the queue of a job was sent to before and that has the job, or "" if none has one that
// exists for the caller.
func visibleElsewhere(ctx context.Context, store *platform.Store, gate home.Gate, id work.ID, caller workspace.Caller) (string, error) {
	moved, found, err := findElsewhere(ctx, store, gate, id)
	if err != nil || !found {
		return "", err
	}
	if visible, err := isVisible(moved.row, caller); err != nil || !visible {
		return "", err
	}
	return moved.service, nil
}

// notOpened returns the result of a request that was not carried out, because the queue's gate can't be opened here.
func notOpened(err error) Result {
	result := notStored("the queue's gate is not open here: " + err.Error())
	var moved *home.Moved
	if errors.As(err, &moved) {
		result.Moved = moved.Config
	}
	return result
}

// gateSet has the gates through which a transaction stores jobs, each once.
type gateSet map[platform.RowKey]home.Gate

// add adds a gate, if there is one, and reports whether a transaction may have it beside the others: jobs that were looked for
// elsewhere under different versions of a gate must not be stored together.
func (s gateSet) add(gate home.Gate) bool {
	if gate.Version == 0 {
		return true
	}
	known, ok := s[gate.Key()]
	if (ok && known.Version != gate.Version) || (!ok && len(s) == maxBatchGates) {
		return false
	}
	s[gate.Key()] = gate
	return true
}

// conditions returns the conditions that the gates are unchanged.
func (s gateSet) conditions() []platform.Condition {
	list := make([]platform.Condition, 0, len(s))
	for _, gate := range s {
		list = append(list, gate.Condition())
	}
	return list
}

// gatesOf returns the gates of the intents of one transaction.
func gatesOf(intents []*intent) gateSet {
	gates := gateSet{}
	for _, in := range intents {
		gates.add(in.gate)
	}
	return gates
}

// handleGateChange handles a conflict by which the row of a gate has another version. No commit with it can take effect any more, so
// that what was to be stored through the gate is not stored.
func (l *Leader) handleGateChange(row platform.Row) {
	for _, in := range slices.Clone(l.intents) {
		if in.gate.Version == 0 || in.gate.Key() != row.RowKey || in.gate.Version == row.Version {
			continue
		}
		l.Homes.Forget(in.gate)
		l.removeIntent(in)
		in.reply(notStored("the queue's gate has changed"))
	}
}
