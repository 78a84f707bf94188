package sched

import (
	"net/netip"

	"gypsumlead/work"
)

// Order is an action for the caller of Plan to carry out: a Start, Stop, Pace or ApprovalRequest.
type Order interface{ order() }

// Target identifies the runner, and its incarnation, that an order is for.
type Target struct {
	Runner string
	Addr   netip.AddrPort
	Fence  Fence
}

// Start starts a run of a task.
type Start struct {
	Target
	Task       work.Task
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	Reason     string
}

// Stop stops a run, or prevents it from starting if its start order hasn't arrived yet.
type Stop struct {
	Target
	Task   work.Task
	Run    int
	Reason string
	Detail string // what was known of the step's other tasks, if their allowance decided
}

// Pace limits a run to a percentage of its full speed.
type Pace struct {
	Target
	Task    work.Task
	Run     int
	Percent int
	Reason  string
}

// ApprovalRequest asks the policy service which of the runners may run a step.
type ApprovalRequest struct {
	Step     string
	Task     work.Task // any task of the step
	Runners  []string
	Terms    work.ApprovalTiming
	Priority int // of the step's queue; 0 is the most urgent
}

func (Start) order()           {}
func (Stop) order()            {}
func (Pace) order()            {}
func (ApprovalRequest) order() {}
