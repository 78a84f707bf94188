package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/sleep"
)

// confirmLoop confirms the lease when no answer of the store has shown for confirmInterval that it is still this leader's, or when
// asked to. A leader with nothing to commit and no runners would otherwise never learn that it has a successor.
func (l *Leader) confirmLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := sleep.ForOrWake(ctx, l.confirmDue().Sub(l.Now()), l.wakeConfirm)
		if ctx.Err() != nil || (!asked && l.Now().Before(l.confirmDue())) {
			continue
		}
		if err := l.confirm(ctx); err != nil {
			l.Log.Warn("cannot confirm the lease of leadership", zap.Error(err))
			sleep.ForOrWake(ctx, confirmRetryDelay, nil)
		}
	}
	return nil
}

// confirmDue returns when the lease has to be confirmed, unless the store shows before that it is still this leader's.
func (l *Leader) confirmDue() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseSeenAt.Add(confirmInterval)
}

// confirm reads the lease row, and ends the leadership if it is another leader's.
func (l *Leader) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := l.Now()
	_, current, _, err := readLease(ctx, l.Store, l.lease.Service)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owns(current) {
		l.loseLease(fault.New(fault.Fenced, "%s is now the leader of %s, in term %d", current.Holder, l.lease.Service, current.Term))
		return nil
	}
	l.noteLeaseSeen(sentAt)
	return nil
}

// owns reports whether a lease row is of this leader's term. The caller holds l.mu, or the leader has ended.
func (l *Leader) owns(row LeaseRow) bool {
	return row.Holder == l.leaseRow.Holder && row.Boot == l.leaseRow.Boot && row.Term == l.leaseRow.Term
}

// noteLeaseSeen records that the store had the lease row of this leader at a time. The caller holds l.mu.
func (l *Leader) noteLeaseSeen(at time.Time) {
	if at.After(l.leaseSeenAt) {
		l.leaseSeenAt = at
	}
}

// Doubt has the lease confirmed now: there are signs of another leader of the service.
func (l *Leader) Doubt() { sleep.Wake(l.wakeConfirm) }

// ObserveTerm ends the leadership if a daemon has announced a later term of the service.
func (l *Leader) ObserveTerm(term int) {
	if term <= l.Term() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseLease(fault.New(fault.Fenced, "a later leader of %s has announced term %d", l.lease.Service, term))
}

// HasAuthority reports whether this leader may act for its service: it has not lost its lease, and may still send orders.
func (l *Leader) HasAuthority() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostErr == nil && l.Now().Before(l.ordersEnd())
}
