package demo

import (
	"context"
	"sync"
	"time"

	"gypsumlead/backing"
	"gypsumlead/record"
)

const watchStep = 20 * time.Millisecond

// watch looks at the true state of the instances all the time and counts looks at which a
// pool has more instances out than its budget.
type watch struct {
	site     *site
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	breaches int
}

func newWatch(s *site) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{site: s, cancel: cancel}
	w.wg.Go(func() {
		tick := time.NewTicker(watchStep)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				w.look()
			}
		}
	})
	return w
}

// stop ends the looking and returns the count.
func (w *watch) stop() int {
	w.cancel()
	w.wg.Wait()
	return w.breaches
}

func (w *watch) look() {
	daemons := w.site.daemons()
	state := daemons[len(daemons)-1].app.State()
	out := map[string]int{}
	for _, r := range w.site.runners {
		in, err := w.site.platform.Instance(r.Instance().ID)
		if err != nil {
			continue // not known to the platform yet
		}
		e, ok := state.Get(record.Key{Kind: record.KindMember, Name: in.ID})
		var m record.Member
		if ok && record.Decode(e, &m) == nil && in.State != backing.StateLive {
			out[m.Pool]++
		}
	}
	for _, p := range pools {
		if out[p.name] > p.budget.Out {
			w.breaches++
		}
	}
}
