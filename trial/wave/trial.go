package wavetrial

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"time"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/wave"
)

// Report is the JSON line of a trial.
type Report struct {
	Seed   uint64   `json:"seed"`
	Size   string   `json:"size"`
	Design string   `json:"design"`
	Layout string   `json:"layout"`
	Runs   []Result `json:"runs"`
}

// Result is what one fleet's wave came to.
type Result struct {
	Fleet    string  `json:"fleet"`
	Pools    int     `json:"pools"`
	Runners  int     `json:"runners"`
	Ended    bool    `json:"ended"`
	Why      string  `json:"why,omitempty"` // why it didn't end
	Rollout  float64 `json:"rollout"`       // seconds from start to the last pool's end
	Returned int     `json:"returned"`
	Dropped  int     `json:"dropped"`
	Reboots  int     `json:"reboots"`
	Moved    int     `json:"moved"` // between pools; a wave moves none
	Stops    int     `json:"stops"` // times that the wave stopped itself and was resumed
	Out      float64 `json:"out"`   // instance-hours of planned takes
	Used     float64 `json:"used"`  // share of the budgets in use while a pool was at work
	Breaches int     `json:"breaches"`
	Cut      int     `json:"cut"`
	Reads    float64 `json:"reads"`  // rows read for each instance rebooted
	Writes   float64 `json:"writes"` // transactions for each instance rebooted
	Puts     float64 `json:"puts"`   // rows written for each instance rebooted
	Cost     Cost    `json:"cost"`
}

// Run runs the trial that args ask for and writes one JSON line.
func Run(args []string, out io.Writer) error {
	fs := flag.NewFlagSet("wave", flag.ContinueOnError)
	fs.SetOutput(out)
	seed := fs.Uint64("seed", 1, "seed of the failures and drain times")
	size := fs.String("size", "today", "today (both users), middle or target")
	design := fs.String("design", "spread", "order of the wave: spread, rack or serial")
	layout := fs.String("layout", "mixed", "mixed: a rack holds instances of several pools; whole: of one pool")
	span := fs.Duration("span", 24*time.Hour, "longest virtual time")
	if err := fs.Parse(args); err != nil {
		return err
	}
	scs, err := scales(*size)
	if err != nil {
		return err
	}
	rec := record.Wave{Order: record.Order(*design)}
	// Both fleets of today have as many pools.
	for i := range scs[0].Pools {
		rec.Pools = append(rec.Pools, poolName(i))
	}
	if err := rec.Check(); err != nil {
		return err
	}
	if *layout != string(LayoutMixed) && *layout != string(LayoutWhole) {
		return fault.New(fault.Invalid, "layout %q is none of mixed, whole", *layout)
	}
	rep := Report{Seed: *seed, Size: *size, Design: *design, Layout: *layout}
	for _, sc := range scs {
		r, err := runScale(sc, Layout(*layout), *seed, rec, *span)
		if err != nil {
			return err
		}
		rep.Runs = append(rep.Runs, r)
	}
	return json.NewEncoder(out).Encode(rep)
}

// runScale runs a wave over every pool of a fleet.
func runScale(sc Scale, l Layout, seed uint64, rec record.Wave, limit time.Duration) (Result, error) {
	w, err := newWorld(sc, l, seed)
	if err != nil {
		return Result{}, err
	}
	if err := w.put(waveName, &rec); err != nil {
		return Result{}, err
	}
	before := w.truth.Counts(standin.ServiceTable)
	began := w.now
	res := Result{Fleet: sc.Name, Pools: sc.Pools, Runners: len(w.runners)}
	for next := began; w.now.Sub(began) < limit && !res.Ended; {
		if err := w.step(); err != nil {
			return res, err
		}
		if w.now.Before(next) {
			continue
		}
		next = w.now.Add(lookEvery)
		seen := w.truth.Counts(standin.ServiceTable).Rows
		if err := w.watch(&rec, &res); err != nil {
			return res, err
		}
		w.meter.rows += w.truth.Counts(standin.ServiceTable).Rows - seen
	}
	w.finish(&res, began, before)
	return res, nil
}

const lookEvery = 15 * time.Second // between looks at the wave from outside

// watch looks at the wave as an operator does: it resumes one that stopped itself.
func (w *world) watch(rec *record.Wave, res *Result) error {
	s, err := w.status()
	if err != nil {
		return err
	}
	if s.Stop != nil && s.Stop.Resumed >= rec.Resumed {
		rec.Resumed = s.Stop.Resumed + 1
		res.Stops++
		res.Why = s.Stop.Why
		if err := w.put(waveName, rec); err != nil {
			return err
		}
	}
	ended := 0
	for _, p := range s.Parts {
		if !p.Ended.IsZero() {
			ended++
			w.ended = later(w.ended, p.Ended)
			continue
		}
		st, err := w.state(p)
		if err != nil {
			return err
		}
		w.meter.look(st, w.sc.Budget.Out, lookEvery)
	}
	res.Ended = ended == w.sc.Pools
	res.Returned = s.Count[wave.Returned]
	res.Dropped = s.Count[wave.Dropped]
	return nil
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// state reads the row of a part's pool.
func (w *world) state(p wave.Part) (pool.State, error) {
	var s pool.State
	rows, err := w.truth.Read(context.Background(), pool.Key(p.Pool))
	if err != nil {
		return s, err
	}
	_, err = journal.NewRows(w.now, rows...).Load(pool.Key(p.Pool), &s)
	w.meter.size = max(w.meter.size, sizeOf(s)+sizeOf(p))
	return s, err
}

// finish fills in what the whole run came to.
func (w *world) finish(res *Result, began time.Time, before standin.Counts) {
	span := w.now.Sub(began)
	after := w.truth.Counts(standin.ServiceTable)
	n := float64(max(1, w.truth.Reboots))
	const hour = 3600
	res.Rollout = span.Seconds()
	if res.Ended {
		res.Rollout = w.ended.Sub(began).Seconds()
	}
	res.Reboots = w.truth.Reboots
	res.Breaches = w.truth.Breaches
	res.Cut = w.truth.Cut
	res.Out = w.meter.out / hour
	res.Used = w.meter.out / max(1, w.meter.room)
	res.Reads = float64(after.Rows-before.Rows-w.meter.rows) / n
	res.Writes = float64(after.Writes-before.Writes) / n
	res.Puts = float64(after.Puts-before.Puts) / n
	res.Cost = w.meter.cost(span)
	runtime.KeepAlive(w)
	if res.Ended {
		res.Why = ""
	} else if res.Why == "" {
		res.Why = fmt.Sprintf("not ended after %s", span)
	}
}
