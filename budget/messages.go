package budget

import (
	"time"

	"gypsumlead/work"
)

// ReportInterval is the interval between two reports of a leader that has nothing urgent to say.
const ReportInterval = 200 * time.Millisecond

// MinReportInterval is the shortest interval between two reports of a leader.
const MinReportInterval = 50 * time.Millisecond

// PortionTTL is how long a leader may use a portion after it sent the report that brought it.
const PortionTTL = 5 * time.Second

// Report tells the granter what one service uses and needs.
type Report struct {
	Service    string
	Term       int   // of the service's leader
	Sequence   int64 // of the newest answer of this granter that the leader has applied; 0 if there is none
	Workspaces map[string]Usage
}

// Usage is what one workspace uses and needs in one service.
type Usage struct {
	Used     work.Resources // by runs that exist or may exist
	Unseen   work.Resources // upper bound of what earlier leaders' runs may use on runners that have not answered yet
	Waiting  work.Resources // by tasks that could start now
	Next     work.Resources // part of Waiting: what can only start together and is the first to start
	Portion  work.Resources // that the leader applies
	Arrivals float64        // jobs per second that the leader has accepted lately
}

// Answer is the granter's answer to a report. A workspace that it doesn't name has no portion.
type Answer struct {
	Sequence int64
	Portions map[string]Portion
}

// Portion is the part of a workspace's cap that one service may use.
type Portion struct {
	Amount   work.Resources // in the resources that Cap limits
	Cap      work.Resources // for which the portion was made
	Arrivals float64        // jobs per second that the leaders of all services have accepted lately
}
