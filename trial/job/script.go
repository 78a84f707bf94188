package jobtrial

import (
	"context"
	"time"
)

// act is something that happens to the workers at a time of the trial.
type act struct {
	at time.Duration
	do func(w *World)
}

// script breaks workers, mends them, and loses a rack, at fixed parts of the span.
func (w *World) script() []act {
	var out []act
	at := func(part float64, do func(w *World)) {
		out = append(out, act{time.Duration(part * float64(w.sc.Span)), do})
	}
	first, second := w.rnd.IntN(w.sc.Workers), w.rnd.IntN(w.sc.Workers)
	rack := w.rnd.IntN(max(w.sc.Workers/rackSize, 1))
	at(0.1, func(w *World) { w.Break(first, true); w.Break(first+1, true) })
	at(0.2, func(w *World) { w.Break(first, false); w.Break(first+1, false) })
	at(0.45, func(w *World) { w.eachOf(rack, func(id string) { _ = w.Truth.Kill(id) }) })
	at(0.55, func(w *World) { w.eachOf(rack, func(id string) { _, _ = w.Truth.Revive(id) }) })
	at(0.6, func(w *World) { w.Break(second, true) })
	return out
}

func (w *World) eachOf(rack int, do func(id string)) {
	for i := rack * rackSize; i < min((rack+1)*rackSize, len(w.view.Members)); i++ {
		do(w.view.Members[i])
	}
}

// run plays the script over the whole span.
func (w *World) run(ctx context.Context) error {
	acts := w.script()
	for w.Elapsed() < w.sc.Span {
		for len(acts) > 0 && acts[0].at <= w.Elapsed() {
			acts[0].do(w)
			acts = acts[1:]
		}
		if err := w.Tick(ctx); err != nil {
			return err
		}
	}
	return nil
}
