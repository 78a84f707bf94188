package sched

import (
	"net/netip"

	"gypsumlead/work"
)

// Order is something to be done outside: Start, Stop, Pace or ApprovalRequest.
type Order interface{ order() }

// Target is the runner that an order is for.
type Target struct {
	Runner string
	Addr   netip.AddrPort
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

// Stop ends a run, or forbids it where it hasn't arrived.
type Stop struct {
	Target
	Task   work.Task
	Run    int
	Reason string
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Target
	Task    work.Task
	Run     int
	Percent int
	Reason  string
}

// ApprovalRequest asks the policy service which of the runners may run a step.
type ApprovalRequest struct {
	Step    string
	Task    work.Task // any of the step
	Runners []string
}

func (Start) order()           {}
func (Stop) order()            {}
func (Pace) order()            {}
func (ApprovalRequest) order() {}
