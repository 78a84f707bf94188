package work

import "time"

// State is how far a job is.
type State string

// The states of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether the job stays in this state.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled
}

// EndReason is how a run of a task ended.
type EndReason string

// The ways in which a run ends.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"  // by its own fault or the runner's
	EndStopped      EndReason = "stopped" // by an order
	EndLeaseExpired EndReason = "lapsed"  // the runner's lease ran out
	EndGangBroken   EndReason = "broken"  // another member of its gang ended
	EndGangTimeout  EndReason = "alone"   // the other members of its gang didn't come in time
)

// Queue is a route of the configuration whose requests are jobs.
type Queue struct {
	Name     string
	Service  string
	Priority int             // 0 comes first
	Attempts int             // runs of a task that may end failed
	Slack    float64         // a job is in time within this many times its longest chain and Aim
	Aim      time.Duration   // see Slack
	Advice   *ApprovalTiming // nil where every runner of the service may run its steps
}

// ApprovalTiming says what a question to the queue's policy service costs.
type ApprovalTiming struct {
	Base  time.Duration // an answer takes this
	Each  time.Duration // and this for each runner named
	Valid time.Duration // for this an approval holds
}
