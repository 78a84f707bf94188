package work

import (
	"net/netip"
	"time"
)

// Runner is what a runner says of itself.
type Runner struct {
	ID       string
	Machine  string // the machine that it is one life of
	Service  string
	Addr     netip.AddrPort
	Centre   string
	Draining bool
	Leaves   time.Duration // while draining: the least time that is left; negative where it isn't said
	Room     Resources
	Labels   []string
	Born     int64 // Unix millisecond of its start; another one under the same ID holds nothing of before
}

// Run is one run that a runner has in progress.
type Run struct {
	Task       Task
	Run        int
	Checkpoint string  // latest checkpoint
	Percent    int     // of a task that lasts: 100 once it is at work
	Load       float64 // of a serving task its tail latency in ms, else the thousandths of a core in use
}

// RunEnd is the end of a run.
type RunEnd struct {
	N          int64 // counts up from 1 in each life of the runner
	Task       Task
	Run        int
	Reason     EndReason
	Checkpoint string
}

// PollResult is what a runner answers to a look.
type PollResult struct {
	Clock       time.Duration // the runner's steady clock
	Born        int64
	Fenced      bool // it has seen a higher token; nothing else is filled in
	Replaced    bool // another runner answers at the address: this one is no more
	Runs        []Run
	Ends        []RunEnd
	InvalidRows int // rows that name no task
}

// Refusal is why a runner didn't start a task.
type Refusal string

// The reasons of a runner for refusing a start.
const (
	RefusedFenced    Refusal = "fence"  // it has seen a higher token
	RefusedStaleRun  Refusal = "old"    // this run or a later one has ended there
	RefusedDeadline  Refusal = "late"   // the order's deadline has passed
	RefusedRoom      Refusal = "room"   // it doesn't fit
	RefusedApproval  Refusal = "ticket" // the policy's approval is missing or over
	RefusedUnhealthy Refusal = "busy"   // the runner is unhealthy and did nothing
	RefusedMismatch  Refusal = "other"  // another runner now has the address, or the order is malformed
)
