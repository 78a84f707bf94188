package settings

import (
	"net/netip"
	"time"
)

// Settings is what one daemon is told at its start; the doc tags make the reference page.
type Settings struct {
	Instance string         `json:"instance" validate:"required" doc:"ID of this instance in the platform's list."`
	Region   string         `json:"region" validate:"required" doc:"Region that the data centre is in."`
	Centre   string         `json:"centre" validate:"required" doc:"Data centre that this instance is in."`
	Rack     string         `json:"rack" doc:"Rack that this instance is in."`
	Platform netip.AddrPort `json:"platform" validate:"required" doc:"Address of the platform's HTTP interface."`
	Listen   Listen         `json:"listen" doc:"Addresses that the daemon listens on."`
	Peers    []Peer         `json:"peers" validate:"unique,dive" doc:"Daemons to ask for the configuration while the platform does not answer; a few of each data centre are enough."`
	TLS      TLS            `json:"tls" doc:"Keys for sessions between daemons; without them the sessions are open to whoever reaches the port."`
	Tokens   []Token        `json:"tokens" validate:"unique=Name,dive" doc:"Who may call the operators' interface. Without any, every change is refused."`
	Calls    Calls          `json:"calls" doc:"Limits on callers' requests."`
	Runners  Runners        `json:"runners" doc:"Limits on connections to runners."`
	Sync     Sync           `json:"sync" doc:"How the configuration spreads."`
	Lend     Lend           `json:"lend" doc:"How spare pools lend their instances."`
	Duties   Duties         `json:"duties" doc:"Control duties that are shared between the daemons under leases."`
	Stop     Stop           `json:"stop" doc:"How the daemon stops."`
	Log      string         `json:"log" validate:"oneof=debug info warn error" doc:"Least severe level that is logged."`
}

// Listen has the daemon's own addresses.
type Listen struct {
	Callers   netip.AddrPort `json:"callers" validate:"required" doc:"Callers' HTTP."`
	Operators netip.AddrPort `json:"operators" validate:"required" doc:"Operators' HTTP, metrics and readiness."`
	Peers     netip.AddrPort `json:"peers" validate:"required" doc:"Sessions with other daemons."`
}

// Peer is another daemon's peer address.
type Peer struct {
	Addr   netip.AddrPort `json:"addr" validate:"required" doc:"Peer address of the daemon."`
	Centre string         `json:"centre" validate:"required" doc:"Data centre that it is in."`
}

// TLS names the files for mutual TLS between daemons, all PEM; replaced files are followed within a second.
type TLS struct {
	Cert string `json:"cert" validate:"required_with=Key CA" doc:"Certificate of this daemon, for the DNS name gypsumlead."`
	Key  string `json:"key" validate:"required_with=Cert CA" doc:"Private key of the certificate."`
	CA   string `json:"ca" validate:"required_with=Cert Key" doc:"Authorities that sign the daemons' certificates."`
}

// Token lets one operator or program in.
type Token struct {
	Name   string `json:"name" validate:"required" doc:"Name that the audit trail shows."`
	Secret string `json:"secret" validate:"required,min=16" doc:"Bearer token, 16 characters at least."`
}

// Calls has the limits on callers' requests.
type Calls struct {
	Body    int64         `json:"body" validate:"min=1" doc:"Largest request body in bytes that is held in memory; a larger one is refused."`
	Header  int           `json:"header" validate:"min=1024" doc:"Largest request head in bytes."`
	Timeout time.Duration `json:"timeout" validate:"min=1ms" doc:"Time that a request may take where neither its service nor the caller says less."`
	Conns   int           `json:"conns" validate:"min=1" doc:"Connections of callers that are open at once; further ones wait."`
	Memory  int64         `json:"memory" validate:"min=1" doc:"Memory in bytes that the bodies of all waiting requests may take."`
	Claims  float64       `json:"claims" validate:"min=1" doc:"Commits a second that all daemons together may spend on claims of idempotency keys; each takes an equal part."`
}

// Runners has the limits on connections to runners.
type Runners struct {
	Slots   int           `json:"slots" validate:"min=1" doc:"Requests that a runner serves at once."`
	Connect time.Duration `json:"connect" validate:"min=1ms" doc:"Time allowed for opening a connection."`
	Idle    time.Duration `json:"idle" validate:"min=1ms" doc:"Time after which an unused connection is not trusted any more and closed."`
}

// Sync says how the configuration spreads.
type Sync struct {
	Poll time.Duration `json:"poll" validate:"min=10ms" doc:"Time between two looks at the log in the platform's table."`
	Ping time.Duration `json:"ping" validate:"min=10ms,max=5s" doc:"Time between two pings to a peer, five times as long to another data centre; three without an answer end the session."`
	List time.Duration `json:"list" validate:"min=10ms" doc:"Time between two looks at the platform's list of instances."`
	Lag  time.Duration `json:"lag" validate:"min=10ms" doc:"Age at which an instance's last sign of life in the platform's list proves nothing any more: the list's lag and some heartbeats."`
}

// Lend says how spare pools lend their instances.
type Lend struct {
	Step    time.Duration `json:"step" validate:"min=10ms" doc:"Time between two looks at what callers ask of each pool."`
	Smooth  time.Duration `json:"smooth" validate:"min=0" doc:"Time constant of the average of what callers ask."`
	Ahead   time.Duration `json:"ahead" validate:"min=0" doc:"How far the forecast looks ahead: about the time that a move takes."`
	Sustain time.Duration `json:"sustain" validate:"min=0" doc:"Time that a pool must be short before it borrows."`
	Rest    time.Duration `json:"rest" validate:"min=0" doc:"Time that a pool must be calm before it gives one back."`
}

// Duties says how the control duties are run.
type Duties struct {
	Life time.Duration `json:"life" validate:"min=100ms" doc:"Life of a lease; a duty of a dead holder goes on within 2.7 times this."`
	Step time.Duration `json:"step" validate:"min=10ms" doc:"Time between two steps of a duty."`
	Keep time.Duration `json:"keep" validate:"min=1m" doc:"Age at which entries of the audit trail move from the table to the object store."`
}

// Stop says how the daemon stops.
type Stop struct {
	Wait time.Duration `json:"wait" validate:"min=0" doc:"Time that the daemon goes on serving after it failed its readiness check, until the balancer has moved on."`
	Most time.Duration `json:"most" validate:"min=1s" doc:"Longest that requests in progress are waited for after that."`
}

// Defaults returns the settings that hold where the file says nothing.
func Defaults() Settings {
	return Settings{
		Calls: Calls{
			Body:    1 << 20,
			Header:  32 << 10,
			Timeout: 10 * time.Second,
			Conns:   4096,
			Memory:  64 << 20,
			Claims:  210,
		},
		Runners: Runners{
			Slots:   8,
			Connect: 500 * time.Millisecond,
			Idle:    time.Second,
		},
		Sync: Sync{
			Poll: time.Second,
			Ping: time.Second,
			List: time.Second,
			Lag:  15 * time.Second,
		},
		Lend: Lend{
			Step:    5 * time.Second,
			Smooth:  time.Minute,
			Ahead:   2 * time.Minute,
			Sustain: 30 * time.Second,
			Rest:    10 * time.Minute,
		},
		Duties: Duties{
			Life: 5 * time.Second,
			Step: 500 * time.Millisecond,
			Keep: 7 * 24 * time.Hour,
		},
		Stop: Stop{
			Wait: 5 * time.Second,
			Most: time.Minute,
		},
		Log: "info",
	}
}
