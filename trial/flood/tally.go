package flood

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestDelay = 10 * time.Minute
	delayDigits  = 3
	tail         = 99 // percentile
)

// tally counts what became of the requests of one kind of work.
type tally struct {
	asked    int // requests, not tries
	done     int
	refusals int // tries
	told     int // refusals that said when to come back
	delays   *hdrhistogram.Histogram
}

func newTally() tally {
	return tally{delays: hdrhistogram.New(1, longestDelay.Microseconds(), delayDigits)}
}

// served counts an answer that came after d, returns included.
func (t *tally) served(d time.Duration) {
	t.done++
	// Only a delay beyond the longest is refused, which no run reaches.
	_ = t.delays.RecordValue(d.Microseconds())
}

func (t *tally) share() float64 {
	if t.asked == 0 {
		return 1
	}
	return float64(t.done) / float64(t.asked)
}

// p99 returns the 99th percentile of the delays in milliseconds.
func (t *tally) p99() float64 {
	return float64(t.delays.ValueAtQuantile(tail)) / 1000
}
