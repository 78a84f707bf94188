package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// flaky is a table whose writes get lost before or after they took effect, arrive late, or hang.
type flaky struct {
	backing.Table
	delay time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	trouble float64 // share of the calls that go wrong
	outage  bool    // nothing gets through
	commits int
	late    sync.WaitGroup
}

func newFlaky(seed uint64, trouble float64, delay time.Duration) *flaky {
	return &flaky{
		Table:   standin.New().Table,
		delay:   delay,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		trouble: trouble,
	}
}

func (f *flaky) setOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// roll returns what goes wrong with a call: 0 is nothing, 1 before, 2 after, 3 late, 4 hangs.
func (f *flaky) roll() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.outage {
		return 1 + 3*f.rng.IntN(2)
	}
	if f.rng.Float64() >= f.trouble {
		return 0
	}
	return 1 + f.rng.IntN(4)
}

func (f *flaky) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.IntN(4000)) * time.Millisecond
}

var errLost = fault.New(fault.StoreDown, "no answer")

func (f *flaky) Commit(ctx context.Context, tx backing.Tx) error {
	time.Sleep(f.delay)
	switch f.roll() {
	case 0:
		return f.Table.Commit(ctx, tx)
	case 2:
		_ = f.Table.Commit(ctx, tx)
	case 3:
		f.late.Go(func() {
			time.Sleep(f.pause())
			_ = f.Table.Commit(context.Background(), tx)
		})
	case 4:
		<-ctx.Done()
	}
	return errLost
}

func (f *flaky) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	time.Sleep(f.delay)
	switch f.roll() {
	case 0:
		return f.Table.Read(ctx, keys...)
	case 4:
		<-ctx.Done()
	}
	return nil, errLost
}
