package backing

import (
	"context"
	"net/netip"
	"time"
)

// Role is what an instance is there for.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "entry"  // runs the daemon
	RoleRunner Role = "runner" // serves requests of a pool's services
	RoleWorker Role = "worker" // runs tasks of jobs
)

// State is what the platform's list says of an instance.
type State string

// The states of the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // this boot drains, or is about to end; it never becomes live again
	StateGone    State = "gone"    // not up: down, or its boot has not been heard of yet
)

// Instance is one row of the platform's list, which lags behind the truth.
type Instance struct {
	ID     string         `json:"id"`
	Boot   string         `json:"boot"` // changes with every boot
	Role   Role           `json:"role"`
	Addr   netip.AddrPort `json:"addr"` // callers' HTTP of an entry, HTTP of a runner
	Peer   netip.AddrPort `json:"peer"` // peer port of an entry
	Region string         `json:"region"`
	Centre string         `json:"centre"` // data centre
	Rack   string         `json:"rack"`
	State  State          `json:"state"`
	Seen   time.Time      `json:"seen"` // when the platform last heard from it
}

// Reboot asks for one reboot; the platform carries it out only while Boot is the instance's boot.
type Reboot struct {
	Instance string `json:"instance"`
	Boot     string `json:"boot"`
}

// Instances is the platform's list of instances and its acts on them.
type Instances interface {
	// List returns the instances as the platform last heard of them.
	List(ctx context.Context) ([]Instance, error)
	// Drain marks the instance leaving while boot is its boot; repeating it changes nothing.
	Drain(ctx context.Context, id, boot string) error
	// Reboot restarts the instance; an error of kind fault.Fenced means that its boot is another by now.
	Reboot(ctx context.Context, r Reboot) error
}
