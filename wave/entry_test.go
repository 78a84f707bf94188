package wave

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
)

// entry is an entry instance: its configuration lags, and its requests take a while.
type entry struct {
	id     string
	behind time.Duration
	silent bool
	work   []request
}

type request struct {
	instance, boot string
	until          time.Time
}

// drainedFor tells whether e has the drain of the boot in force.
func (w *world) drainedFor(e *entry, instance, boot string) (int64, bool) {
	var have int64
	found := false
	for _, d := range w.drains {
		if d.at.Add(e.behind).After(w.now) {
			break
		}
		have = d.seq
		found = found || d.instance == instance && d.boot == boot
	}
	return have, found
}

// serve ends requests that are through, and starts new ones on instances that the entry holds
// for being in service.
func (w *world) serve() {
	for _, e := range w.entries {
		left := e.work[:0]
		for _, r := range e.work {
			if r.until.After(w.now) {
				left = append(left, r)
				continue
			}
			w.busy[r.instance+r.boot]--
		}
		e.work = left
		for range 3 {
			in, err := w.p.Instance(fmt.Sprintf("i%02d", w.rnd.IntN(24)))
			require.NoError(w.t, err)
			if _, drained := w.drainedFor(e, in.ID, in.Boot); drained || in.State != backing.StateLive {
				continue
			}
			w.busy[in.ID+in.Boot]++
			e.work = append(e.work, request{in.ID, in.Boot, w.now.Add(w.length())})
		}
	}
}

// length is how long a request takes: seconds mostly, a minute and more at times.
func (w *world) length() time.Duration {
	if w.rnd.IntN(8) == 0 {
		return time.Duration(30+w.rnd.IntN(90)) * time.Second
	}
	return time.Duration(1+w.rnd.IntN(12)) * time.Second
}

func (e *entry) quiet(w *world, instance, boot string, have, progress *int64) error {
	if e.silent {
		return fmt.Errorf("entry %s is silent", e.id)
	}
	seq, drained := w.drainedFor(e, instance, boot)
	*have = seq
	if !drained {
		*have = 0
	}
	for _, r := range e.work {
		if r.instance == instance && r.boot == boot {
			*progress++
		}
	}
	return nil
}
