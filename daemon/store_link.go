package daemon

import (
	"context"
	"time"

	"gypsumlead/fault"
	"gypsumlead/member"
	"gypsumlead/platform"
)

const (
	storeFreshness    = 700 * time.Millisecond // a slow store answers the polls of the daemons' rows more often than this
	storeProbeTimeout = 800 * time.Millisecond // for one attempt of a probe; a slow store takes about 400 ms
)

// probeStore asks the store for an answer. The second attempt uses a new connection, as open ones may be silent while
// new ones work.
func (d *Daemon) probeStore(ctx context.Context) error {
	err := d.readOwnRow(ctx)
	if err == nil {
		return nil
	}
	d.store.Close()
	if d.readOwnRow(ctx) == nil {
		return nil
	}
	return fault.Wrap(fault.Overload, err, "the store does not answer")
}

// readOwnRow reads this daemon's row, which is cheap and changes nothing.
func (d *Daemon) readOwnRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	name := d.settings.Instance
	_, err := d.store.GetRow(ctx, platform.RowKey{Table: member.Table, Partition: name, Key: name})
	return err
}
