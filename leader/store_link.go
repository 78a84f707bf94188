package leader

import (
	"context"
	"time"

	"gypsumlead/clock"
	"gypsumlead/contact"
	"gypsumlead/platform"
)

const (
	storeFreshness    = 700 * time.Millisecond // the store is relied upon for this long after an answer
	storeProbeTimeout = 800 * time.Millisecond // a slow store takes about 400 ms
)

// newStoreLink returns a link to the store's partition of one service. The store can be down for some partitions only.
func newStoreLink(store *platform.Store, service string, now clock.Clock) *contact.Link {
	return contact.New(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
		defer cancel()
		_, err := store.GetRow(ctx, rowKey(tableLease, service, keyLease))
		return err
	}, storeFreshness, now)
}
