package daemon

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"gypsumlead/fault"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/platform"
	"gypsumlead/relay"
)

const (
	maxCarried  = 32 // calls of other daemons that this one makes at the same time
	minCarriers = 3  // daemons that this one has sessions with, so that it finds a carrier
)

// carrier counts the calls to the store that this daemon makes for others.
type carrier struct {
	inFlight, carried, refused atomic.Int64
}

// handleStoreCall makes a call to the store for another daemon, or refuses it before anything is sent.
func (d *Daemon) handleStoreCall(ctx context.Context, c *wire.StoreCall) (*wire.Response, error) {
	if !platform.IsStoreCall(c.Method, c.Path) {
		return nil, fault.New(fault.Invalid, "no call to the table store")
	}
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	defer d.carrier.inFlight.Add(-1)
	if d.carrier.inFlight.Add(1) > maxCarried || leaving || !d.storeRelay.Serves() {
		d.carrier.refused.Add(1)
		return storeAnswer(relay.Answer{}), nil
	}
	d.carrier.carried.Add(1)
	wait := time.Duration(c.Wait) * time.Millisecond
	return storeAnswer(d.storeRelay.Carry(ctx, relay.Call{Method: c.Method, Path: c.Path, Body: c.Body, Wait: wait})), nil
}

// storeAnswer encodes the result of a call. A body that no message can hold counts as no answer.
func storeAnswer(a relay.Answer) *wire.Response {
	if len(a.Body) > peer.MaxBodyBytes {
		a.Status, a.Body = 0, nil
	}
	return &wire.Response{Body: &wire.Response_StoreAnswer{StoreAnswer: &wire.StoreAnswer{Sent: a.Sent, Status: int32(a.Status), Body: a.Body}}}
}

// carriers has other daemons make this daemon's calls to the store.
type carriers struct{ d *Daemon }

// Candidates returns the daemons with open sessions, in the order in which they are to be asked.
func (c carriers) Candidates() []string {
	return carrierOrder(c.d.settings.Instance, c.d.settings.Centre, c.d.mesh.Peers())
}

// carrierOrder sorts daemons as carriers of one daemon and returns their names.
func carrierOrder(self, centre string, peers []peer.Identity) []string {
	names := make([]string, len(peers))
	slices.SortFunc(peers, func(a, b peer.Identity) int {
		return compareCarriers(self, centre, a.Instance, a.Centre, b.Instance, b.Centre)
	})
	for i, p := range peers {
		names[i] = p.Instance
	}
	return names
}

// compareCarriers compares two daemons, each with its data centre, as carriers of one daemon: those of its data centre come
// first, and among these the order differs between daemons, so that the calls of many spread over the carriers.
func compareCarriers(self, centre, a, aCentre, b, bCentre string) int {
	if near := aCentre == centre; near != (bCentre == centre) {
		if near {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(carrierRank(self, a), carrierRank(self, b)), cmp.Compare(a, b))
}

// carrierRank returns the rank of a carrier for one daemon, which is evenly distributed.
func carrierRank(self, carrier string) uint64 {
	sum := sha256.Sum256([]byte(self + "/" + carrier)) // FNV would order similar names alike for every daemon
	return binary.BigEndian.Uint64(sum[:])
}

// Carry has a daemon make a call. A call was certainly not sent if there is no session or the daemon refused it.
func (c carriers) Carry(ctx context.Context, name string, call relay.Call) relay.Answer {
	req := &wire.StoreCall{Method: call.Method, Path: call.Path, Body: call.Body, Wait: call.Wait.Milliseconds()}
	resp, err := c.d.mesh.Call(ctx, name, &wire.Request{Body: &wire.Request_StoreCall{StoreCall: req}})
	if err != nil {
		// A daemon of an earlier version answers that the request is invalid.
		return relay.Answer{Sent: !fault.Is(err, fault.NoUpstream) && !fault.Is(err, fault.Invalid)}
	}
	a := resp.GetStoreAnswer()
	return relay.Answer{Sent: a.GetSent(), Status: int(a.GetStatus()), Body: a.GetBody()}
}

// addCarriers returns the targets and further ones of a daemon that would have sessions with fewer than minCarriers others.
func addCarriers(self, centre string, targets, candidates []peer.Target) []peer.Target {
	slices.SortFunc(candidates, func(a, b peer.Target) int {
		return compareCarriers(self, centre, a.Instance, a.Centre, b.Instance, b.Centre)
	})
	for _, c := range candidates {
		known := slices.ContainsFunc(targets, func(t peer.Target) bool { return t.Instance == c.Instance })
		if len(targets) < minCarriers && c.Instance != self && !known {
			targets = append(targets, c)
		}
	}
	return targets
}
