package settings

import (
	"net/netip"
	"time"
)

// Settings is the content of a daemon's settings file; the reference page is generated from the doc tags.
type Settings struct {
	Instance string         `json:"instance" validate:"required" doc:"Name of this instance."`
	Region   string         `json:"region" validate:"required" doc:"Region that the data centre is in."`
	Centre   string         `json:"centre" validate:"required" doc:"Data centre that this instance is in."`
	Store    netip.AddrPort `json:"store" validate:"required" doc:"Address of the platform's table store."`
	Machines netip.AddrPort `json:"machines" doc:"Address of the platform's service for machines; without it there are no moves and no maintenance."`
	Policy   netip.AddrPort `json:"policy" doc:"Address of the service that approves runners; without it queues that need approvals start nothing."`
	Listen   Listen         `json:"listen" doc:"Addresses that the daemon listens on."`
	Weight   float64        `json:"weight" validate:"gt=0" doc:"Share of a processor that this instance has; larger ones schedule more services."`
	MemoryMB int64          `json:"memory" validate:"min=32" doc:"Memory in MB that the process may take."`
	MaxFiles int            `json:"descriptors" validate:"min=300" doc:"Descriptors that the process may have open, files and sockets."`
	Bounds   Bounds         `json:"bounds" doc:"Figures that the platform promises or demands."`
	LogLevel string         `json:"log" validate:"oneof=debug info warn error" doc:"Least severe level that is logged."`
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Callers netip.AddrPort `json:"callers" validate:"required" doc:"Callers' HTTP."`
	Ready   netip.AddrPort `json:"ready" validate:"required" doc:"Readiness, asked by the balancer."`
	Peers   netip.AddrPort `json:"peers" validate:"required" doc:"Sessions with other daemons."`
}

// Bounds holds the times and limits that the platform guarantees or requires.
type Bounds struct {
	MaxRunnerLease  time.Duration `json:"hold" validate:"min=1s" doc:"Longest lease that a runner grants."`
	MachineLease    time.Duration `json:"lease" validate:"min=0" doc:"Time between the orders of two daemons for one machine."`
	MoveTime        time.Duration `json:"move" validate:"min=0" doc:"Time that a machine takes to change its pool."`
	MaintenanceTime time.Duration `json:"upkeep" validate:"min=0" doc:"Time that a machine's maintenance takes."`
	OrdersPerSecond float64       `json:"orders" validate:"min=0" doc:"Orders a second that the service for machines takes."`
	RemoteFactor    float64       `json:"remote" validate:"min=0" doc:"Factor by which a task is slower away from its data or its group; at most 1: tasks don't wait for a place near them."`
	RevokedWithin   time.Duration `json:"revoke" validate:"min=0" doc:"Age of a copy of the configuration up to which callers' keys are accepted, if Strict is set."`
	RevokeStrict    bool          `json:"strict" doc:"Whether callers with keys are refused while the copy of the configuration is older than Revoke."`
	RunnerHeartbeat time.Duration `json:"beat" validate:"min=100ms" doc:"Interval at which runners write their entries in the platform's list."`
	StopTime        time.Duration `json:"stop" validate:"min=0" doc:"Time that a runner takes at the longest to stop a run."`
	ApplyWithin     time.Duration `json:"apply" validate:"min=500ms" doc:"Time within which an accepted configuration is in force in every daemon that the store answers."`
	ContactTime     time.Duration `json:"contact" validate:"min=1s" doc:"Time for which the platform's store may be silent until a daemon reports that it is not ready."`
	DrainWithin     time.Duration `json:"drain" validate:"min=500ms" doc:"Time within which a runner that drains gets no new tasks."`
	CancelWithin    time.Duration `json:"cancel" validate:"min=1500ms" doc:"Time within which no task of a cancelled job is started any more."`
	StatusFor       time.Duration `json:"status" validate:"min=1s" doc:"Time for which callers may ask for the state of a job after its end."`
	ShutdownTime    time.Duration `json:"grace" validate:"min=5s" doc:"Time from the signal to stop until the platform kills the process."`
	BodyTime        time.Duration `json:"body" validate:"min=5s" doc:"Time within which the whole body of a caller's request has to arrive."`
	RateWindow      time.Duration `json:"window" validate:"min=0" doc:"Time over which the jobs of a workspace are counted against its rate."`
	LeasePercent    float64       `json:"percent" validate:"min=0,max=100" doc:"Share in percent of Hold that runners are given; less frees a silent runner's tasks earlier."`
}

// Defaults returns the settings that apply to keys missing from the file.
func Defaults() Settings {
	return Settings{
		Weight:   1,
		MemoryMB: 256,
		MaxFiles: 4096,
		Bounds: Bounds{
			MaxRunnerLease:  6 * time.Second,
			MachineLease:    3 * time.Second,
			MoveTime:        1500 * time.Millisecond,
			MaintenanceTime: 2 * time.Second,
			OrdersPerSecond: 64,
			RevokedWithin:   5 * time.Second,
			RunnerHeartbeat: 1500 * time.Millisecond,
			StopTime:        time.Second,
			ApplyWithin:     2 * time.Second,
			ContactTime:     3 * time.Second,
			DrainWithin:     2 * time.Second,
			CancelWithin:    3 * time.Second,
			StatusFor:       2 * time.Minute,
			ShutdownTime:    6 * time.Second,
			BodyTime:        30 * time.Second,
			RateWindow:      5 * time.Second,
			LeasePercent:    75,
		},
		LogLevel: "info",
	}
}
