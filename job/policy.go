package job

import "time"

// Policy is what the decisions of a pool are tuned by.
type Policy struct {
	Lease        time.Duration // how far ahead the end of the tasks' leases is moved
	Renew        time.Duration // the leases are renewed when so much of Lease has passed
	Margin       time.Duration // clocks of holder and worker differ by less
	Silent       time.Duration // a worker that the platform hasn't heard of for so long is silent
	Stale        time.Duration // a worker that lags so far behind the others gets no new tasks
	ReportEvery  time.Duration // a worker's reports are read so often
	Resend       time.Duration // an effect whose answer is missing is sent again after so long
	SaveWait     time.Duration // a task that isn't reported as checkpointed after so long is stopped
	Verdict      time.Duration // a task that was stopped waits so long for its last report
	Settled      time.Duration // a task that ran so long shows its size
	Throttled    float64       // part of its processors that a throttled task keeps
	Headroom     float64       // part of a worker's memory that is kept for estimates that grow
	Margins      float64       // factor from what was measured to what is guaranteed
	Urgent       int           // jobs of this urgency or above may displace others
	Victims      int           // most tasks that are displaced on a worker for one task
	Plans        int           // most displacements that are planned in a pass
	UrgentShare  float64       // part of the pool that urgent work may hold before others; above it takes what is idle
	Starts       int           // most tasks that are started in a pass
	Acts         int           // most requests to the platform between two decisions
	Patience     time.Duration // a job whose tasks waited so long for room gets a worker kept free
	Canary       int           // most tasks at once of a job of which nothing is known yet
	Fails        int           // a task that failed so often on workers in service is given up
	Tries        int           // a task that was started so often is given up
	Stops        int           // a task that was displaced so often isn't displaced again
	BadWorkers   int           // a job that failed on so many workers that run others is stopped
	BadFails     int           // a job that failed so often and never succeeded is stopped
	Strikes      int           // failures in a row that put a worker in quarantine
	Quarantine   time.Duration // first quarantine of a worker; doubles each time up to QuarantineMax
	QuarantineMx time.Duration // longest quarantine
	Declared     bool          // baseline: guarantee what is declared
	FirstFit     bool          // baseline: take the first worker with room
	NoDisplace   bool          // baseline: urgent work waits
	NoQuarantine bool          // baseline: workers stay in service
	NoLapse      bool          // baseline: a silent worker's tasks are started elsewhere at once
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		Lease:        10 * time.Minute,
		Renew:        2 * time.Minute,
		Margin:       5 * time.Second,
		Silent:       30 * time.Second,
		Stale:        10 * time.Second,
		ReportEvery:  5 * time.Second,
		Resend:       2 * time.Second,
		SaveWait:     1200 * time.Millisecond,
		Verdict:      30 * time.Second,
		Settled:      30 * time.Second,
		Throttled:    0.5,
		Headroom:     0.05,
		Margins:      1.2,
		Urgent:       8,
		Victims:      16,
		Plans:        64,
		UrgentShare:  0.4,
		Starts:       128,
		Patience:     time.Minute,
		Acts:         64,
		Canary:       8,
		Fails:        4,
		Tries:        16,
		Stops:        3,
		BadWorkers:   3,
		BadFails:     12,
		Strikes:      3,
		Quarantine:   2 * time.Minute,
		QuarantineMx: time.Hour,
	}
}
