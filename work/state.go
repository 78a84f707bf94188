package work

import (
	"cmp"
	"time"
)

// State is the state of a job.
type State string

// States of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the job stays in this state.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled
}

// EndReason is the reason for which a run of a task ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"  // because of the task or the runner
	EndStopped      EndReason = "stopped" // by an order of a leader
	EndLeaseExpired EndReason = "lapsed"  // the runner's lease expired
	EndGangBroken   EndReason = "broken"  // another task of its gang ended
	EndGangTimeout  EndReason = "alone"   // the other tasks of its gang didn't start in time
)

// Queue is a route of the operator's configuration whose requests are jobs.
type Queue struct {
	Name     string
	Service  string
	Priority int             // 0 is the most urgent
	Attempts int             // failed runs of a task after which its job fails
	Slack    float64         // a job is on time if it takes at most Slack times its critical path, plus Aim
	Aim      time.Duration   // see Slack
	Advice   *ApprovalTiming // nil if every runner of the service may run its steps
	Version  int64           `json:",omitempty"` // of the configuration that these terms are of
	// Path is the host and prefix of the queue's requests. It identifies the queue, whose name and service may change with the
	// configuration. Rows and messages of earlier releases lack it.
	Path string `json:",omitempty"`
}

// Key returns what identifies the queue in all versions of the configuration.
func (q Queue) Key() string { return cmp.Or(q.Path, q.Name) }

// Same reports whether other is the same queue. The name has to do where a row or message of an earlier release lacks the path.
func (q Queue) Same(other Queue) bool {
	if q.Path == "" || other.Path == "" {
		return q.Name == other.Name
	}
	return q.Path == other.Path
}

// ApprovalTiming describes how long requests to the queue's policy service take and how long approvals are valid.
type ApprovalTiming struct {
	Base  time.Duration // fixed part of the response time
	Each  time.Duration // additional response time for each runner in the request
	Valid time.Duration // how long an approval is valid
}
