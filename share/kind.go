package share

import (
	"math"
	"time"

	"gypsumlead/record"
)

const (
	floorError    = 1e-6            // slots, from computing floors in steps
	askedOver     = 2 * time.Second // time constant of the arrival rate
	leastExpected = 0.2             // of the mean
	meanGain      = 1.0 / 64        // weight of the newest run time
	highDevs      = 2               // deviations above the mean that count as a long run
)

// kindName names a kind of work in its pool.
type kindName struct{ service, work string }

// group is a service of the pool: its kinds of work lend to each other before others borrow.
type group struct {
	name    string
	floor   float64 // sum of its kinds' floors
	running int
	kinds   int
}

// kind is one kind of work of a service.
type kind struct {
	group   *group
	work    record.Work
	gone    bool // no longer configured; kept until its last request ends
	floor   float64
	running int
	queue   queue
	run     float64 // seconds, moving average
	dev     float64 // seconds, moving mean deviation
	runs    int     // run times measured
	credit  float64 // slot-seconds of its floor left unused
	since   time.Time
	arrived int       // since the floors were last computed
	asked   float64   // requests a second, moving average
	starts  uint64    // requests started in all
	refused uint64    // requests refused in all
	learned float64   // requests a second that are asked while the pool is calm
	mean    float64   // requests a second that the floor is for
	booked  time.Time // when the last refused caller was told to come back
}

// rate returns the requests a second that the kind can count on now.
func (k *kind) rate() float64 {
	return math.Max(k.floor, float64(k.running)) / k.run
}

// long returns a run time in seconds that few of the kind's requests exceed.
func (k *kind) long() float64 {
	return k.run + highDevs*k.dev
}

// measured takes in the run time of a finished request.
func (k *kind) measured(d time.Duration) {
	sec := math.Max(d.Seconds(), time.Microsecond.Seconds())
	k.runs++
	gain := math.Max(meanGain, 1/float64(k.runs))
	k.dev += gain * (math.Abs(sec-k.run) - k.dev)
	k.run += gain * (sec - k.run)
}

// accrue brings the credit up to now: the floor adds to it and running requests use it.
func (k *kind) accrue(now time.Time, burst time.Duration) {
	sec := now.Sub(k.since).Seconds()
	k.since = now
	if sec <= 0 {
		return
	}
	k.credit += sec * (k.floor - float64(k.running))
	k.credit = math.Min(k.credit, k.floor*burst.Seconds())
	k.credit = math.Max(k.credit, -k.run)
}

// observe takes the arrivals since the last call into the rate at which the kind is asked for.
func (k *kind) observe(passed time.Duration) {
	sec := passed.Seconds()
	if sec <= 0 {
		return
	}
	keep := math.Exp(-sec / askedOver.Seconds())
	k.asked = keep*k.asked + (1-keep)*float64(k.arrived)/sec
	k.arrived = 0
}

// learn takes what was asked since the last call, as observe found it, into the learned mean.
func (k *kind) learn(passed, over time.Duration) {
	if passed <= 0 || over <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / over.Seconds())
	k.learned = keep*k.learned + (1-keep)*k.asked
}

// expected returns the requests a second that the kind's floor has to be ready for: what is
// asked now, at least a part of the mean and no more than the mean.
func (k *kind) expected() float64 {
	return math.Min(k.mean, math.Max(k.asked, k.mean*leastExpected))
}

// below tells whether the running requests and more of them are within the floor; with none
// more, whether they are below it.
func (k *kind) below(more int) bool {
	if more == 0 {
		return float64(k.running) < k.floor-floorError
	}
	return float64(k.running+more) <= k.floor+floorError
}

// idle returns the whole slots of the floor that the kind doesn't use.
func (k *kind) idle() int {
	return max(0, int(k.floor+floorError)-k.running)
}

// hopeless returns when r, if still waiting, can no longer end by its deadline.
func (k *kind) hopeless(r *request) time.Time {
	return r.deadline.Add(-seconds(k.run))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
