package record

import (
	"gypsumlead/fault"
)

// Kinds of the records about single instances; their names are instance IDs.
const (
	KindMember Kind = "member"
	KindDrain  Kind = "drain"
)

// Member says which pool an instance belongs to; one record an instance, so it is in one pool at any moment.
type Member struct {
	Pool string `json:"pool"`
	Home string `json:"home,omitempty"` // pool that lent it
}

// Drain says that one boot of an instance gets no new work; it is never taken back for that boot.
type Drain struct {
	Boot string `json:"boot"`
	Why  string `json:"why"`
}

// Kind returns KindMember.
func (*Member) Kind() Kind { return KindMember }

// Schema returns 1.
func (*Member) Schema() int { return 1 }

// Check finds a member without a pool.
func (m *Member) Check() error {
	if m.Pool == "" {
		return fault.New(fault.Invalid, "member: pool is missing")
	}
	return nil
}

// Kind returns KindDrain.
func (*Drain) Kind() Kind { return KindDrain }

// Schema returns 1.
func (*Drain) Schema() int { return 1 }

// Check finds a drain without a boot.
func (d *Drain) Check() error {
	if d.Boot == "" {
		return fault.New(fault.Invalid, "drain: boot is missing")
	}
	return nil
}
