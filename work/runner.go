package work

import (
	"net/netip"
	"time"
)

// Runner describes a runner, as listed by the platform.
type Runner struct {
	ID       string
	Machine  string // machine of which this runner is one incarnation
	Service  string
	Addr     netip.AddrPort
	Centre   string
	Draining bool
	Leaves   time.Duration // while draining: the minimum remaining time; negative if unknown
	Room     Resources
	Labels   []string
	// Born is the start of this incarnation in Unix milliseconds. A later incarnation with the same ID has none of the
	// earlier one's runs.
	Born int64
}

// Run is a run in progress on a runner.
type Run struct {
	Task       Task
	Run        int
	Checkpoint string  // latest checkpoint
	Percent    int     // of a long-running task: 100 once it is at work
	Load       float64 // tail latency in ms of a serving task, otherwise the CPU in use in thousandths of a core
}

// RunEnd is the end of a run, as listed by its runner.
type RunEnd struct {
	N          int64 // sequence number, from 1 in each incarnation of the runner
	Task       Task
	Run        int
	Reason     EndReason
	Checkpoint string
}

// PollResult is a runner's response to a poll.
type PollResult struct {
	Clock       time.Duration // the runner's steady clock
	Born        int64
	Fenced      bool // the runner has seen a higher token; the other fields are empty
	Replaced    bool // another runner answers at the address: this one no longer exists
	Runs        []Run
	Ends        []RunEnd
	MoreEnds    bool // the runner may have further ends, which it lists once these are acknowledged
	InvalidRows int  // listed rows that name no valid task
}

// Refusal is the reason why a runner didn't start a task.
type Refusal string

// Reasons for refusing a start.
const (
	RefusedFenced    Refusal = "fence"  // the runner has seen a higher token
	RefusedStaleRun  Refusal = "old"    // this run or a later one of the task has ended on the runner
	RefusedDeadline  Refusal = "late"   // the order's deadline has passed
	RefusedRoom      Refusal = "room"   // the task doesn't fit
	RefusedApproval  Refusal = "ticket" // the policy service's approval is missing or has expired
	RefusedUnhealthy Refusal = "busy"   // the runner is unhealthy and did nothing
	RefusedMismatch  Refusal = "other"  // another runner now has the address, or the order is malformed
)
