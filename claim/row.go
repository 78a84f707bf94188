package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Prefix is the start of the table keys of all claims.
const Prefix = "claim/"

const (
	rowHashBytes = 20
	skewLimit    = time.Minute // by which the entries' clocks may differ when a claim expires
)

// state is how far a claimed request has come, as far as the table knows.
type state string

const (
	stateHeld state = "held" // claimed; it may be sent at any moment, or have run
	stateDone state = "done" // it ran
	stateOpen state = "open" // provably not sent; the key is free
)

// row is a claim as it is stored. Versions of a row only grow while the claim lives, so that a
// write that arrives late finds another version and changes nothing.
type row struct {
	Nonce  string    `json:"nonce"` // of the claimant's request, unique
	Entry  string    `json:"entry"`
	Digest []byte    `json:"digest"`
	State  state     `json:"state"`
	Until  time.Time `json:"until"`
	Answer *Answer   `json:"answer,omitempty"`
}

// rowKey is the table key of a claim; hashing bounds its length and spreads the rows.
func rowKey(caller, key string) string {
	h := sha256.New()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return Prefix + hex.EncodeToString(h.Sum(nil)[:rowHashBytes])
}

// expired tells whether the claim no longer keeps its key from running.
func (r row) expired(now time.Time) bool {
	return now.After(r.Until.Add(skewLimit))
}

// verdict is what a row means for a claim: won, take or refused.
type verdict interface{ verdict() }

type (
	won     struct{ version int64 } // the row carries this claim
	take    struct{ version int64 } // the key is free while the row has this version
	settled struct {                // another request has the key
		result Result
		err    error
	}
)

func (won) verdict()     {}
func (take) verdict()    {}
func (settled) verdict() {}

// judge decides what the row under a key means for claim c. unsent tells nonces of this
// process's claims that were given up before anything was sent.
func judge(have backing.Row, c *pending, now time.Time, unsent func(nonce string) bool) verdict {
	if have.Version == 0 {
		return take{version: 0}
	}
	var r row
	if err := json.Unmarshal(have.Value, &r); err != nil {
		return settled{err: fault.Wrap(fault.Internal, err, "decode the claim %s", have.Key)}
	}
	switch {
	case r.Nonce == c.nonce && r.State == stateHeld:
		return won{version: have.Version}
	case r.State == stateOpen, r.expired(now), unsent(r.Nonce):
		return take{version: have.Version}
	case string(r.Digest) != string(c.ask.Digest[:]):
		return settled{err: fault.New(fault.Reused, "the key was used for another request")}
	case r.State == stateDone && r.Answer != nil:
		return settled{result: Stored{Answer: *r.Answer}}
	case r.State == stateDone:
		return settled{err: fault.New(fault.Claimed, "the key's request ran; its answer is not kept")}
	}
	return settled{err: fault.New(fault.Claimed, "the key's first request is in progress, or its outcome is unknown")}
}
