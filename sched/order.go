package sched

import (
	"net/netip"

	"gypsumlead/work"
)

// Order is something to be done outside: Start, Stop, Pace or Ask.
type Order interface{ order() }

// To is the runner that an order is for.
type To struct {
	Runner string
	Addr   netip.AddrPort
}

// Start starts a run of a task.
type Start struct {
	To
	Task   work.Task
	Run    int
	Spec   string
	Saved  string
	Ticket string
	Why    string
}

// Stop ends a run, or forbids it where it hasn't arrived.
type Stop struct {
	To
	Task work.Task
	Run  int
	Why  string
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	To
	Task    work.Task
	Run     int
	Percent int
	Why     string
}

// Ask asks the policy service which of the runners may run a step.
type Ask struct {
	Step    string
	Task    work.Task // any of the step
	Runners []string
}

func (Start) order() {}
func (Stop) order()  {}
func (Pace) order()  {}
func (Ask) order()   {}
