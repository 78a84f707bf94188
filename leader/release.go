package leader

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Release stops the leader and then releases the lease. No order is sent after the release.
func (l *Leader) Release(ctx context.Context) {
	l.mu.Lock()
	if l.stop != nil {
		l.stop()
	}
	l.mu.Unlock()
	<-l.done
	l.mu.Lock()
	lostErr, leaseRow, leaseVersion := l.lostErr, l.leaseRow, l.leaseVersion
	l.mu.Unlock()
	if lostErr != nil {
		return
	}
	leaseRow.Released = true
	if err := l.writeReleased(ctx, leaseRow, leaseVersion); err != nil {
		l.Log.Warn("leadership not released; another daemon can acquire it after this daemon's heartbeat timeout", zap.Error(err))
	}
}

// Abandon releases the lease of a leader that doesn't run, because it can't load the state of earlier leaders or its daemon
// shuts down. Until then no other daemon acquires it while this one is alive.
func (l *Leader) Abandon(ctx context.Context) {
	leaseRow := l.leaseRow
	leaseRow.Released, leaseRow.Idle = true, true
	if err := l.writeReleased(ctx, leaseRow, l.leaseVersion); err != nil {
		l.Log.Warn("leadership not released; another daemon can acquire it after this daemon's heartbeat timeout", zap.Error(err))
	}
}

// writeReleased marks the lease row as released and retries until the store answers or ctx ends. A commit that was in
// flight when the leader stopped may take effect first. The row then still belongs to this term, but has a new
// version.
func (l *Leader) writeReleased(ctx context.Context, leaseRow LeaseRow, leaseVersion int64) error {
	value, err := encode(leaseRow)
	if err != nil {
		return err
	}
	key := rowKey(tableLease, l.lease.Service, keyLease)
	for {
		_, err = l.Store.Commit(ctx, platform.Tx{
			Conditions: []platform.Condition{{RowKey: key, Version: leaseVersion}},
			Puts:       []platform.Row{{RowKey: key, Value: value}},
		})
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !fault.Is(err, fault.Conflict) {
			sleep.ForOrWake(ctx, storeRetryInterval, nil)
			continue
		}
		row, ok := l.ownLeaseRow(err)
		if !ok {
			return err
		}
		leaseVersion = row.Version
	}
}

// ownLeaseRow returns the lease row from a conflict. It returns false if the row belongs to another term, or if an
// unanswered attempt has already released it.
func (l *Leader) ownLeaseRow(err error) (platform.Row, bool) {
	var conflict *platform.Conflict
	if !errors.As(err, &conflict) {
		return platform.Row{}, false
	}
	for _, row := range conflict.Rows {
		if row.Table != tableLease || row.Key != keyLease {
			continue
		}
		var current LeaseRow
		if err := decode(row, &current); err != nil {
			l.Log.Error("cannot decode the lease row", zap.Error(err))
			return platform.Row{}, false
		}
		return row, l.owns(current) && !current.Released
	}
	return platform.Row{}, false
}
