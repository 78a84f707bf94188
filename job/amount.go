package job

import (
	"fmt"
	"math"

	"gypsumlead/backing"
	"gypsumlead/record"
)

const milli = 1000 // thousandths of a core

// Amount is an exact amount of resources, so that sums neither drift nor depend on their order.
type Amount struct {
	Milli  int64 `json:"milli"` // thousandths of a core
	Memory int64 `json:"memory"`
	Accels int64 `json:"accels,omitempty"`
}

func amountOf(s backing.Size) Amount {
	return Amount{Milli: int64(math.Round(s.Cores * milli)), Memory: s.Memory, Accels: int64(s.Accels)}
}

func quotaOf(q record.Quota) Amount {
	return amountOf(backing.Size{Cores: q.Cores, Memory: q.Memory, Accels: q.Accels})
}

func (a Amount) size() backing.Size {
	return backing.Size{Cores: float64(a.Milli) / milli, Memory: a.Memory, Accels: int(a.Accels)}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Milli + b.Milli, a.Memory + b.Memory, a.Accels + b.Accels}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Milli - b.Milli, a.Memory - b.Memory, a.Accels - b.Accels}
}

// within tells whether a is at most b in each resource.
func (a Amount) within(b Amount) bool {
	return a.Milli <= b.Milli && a.Memory <= b.Memory && a.Accels <= b.Accels
}

// most returns the greater of a and b in each resource.
func (a Amount) most(b Amount) Amount {
	return Amount{max(a.Milli, b.Milli), max(a.Memory, b.Memory), max(a.Accels, b.Accels)}
}

// share returns a's greatest part of b in any resource; of nothing, any amount is all.
func (a Amount) share(b Amount) float64 {
	return max(part(a.Milli, b.Milli), part(a.Memory, b.Memory), part(a.Accels, b.Accels))
}

func part(a, b int64) float64 {
	if a <= 0 {
		return 0
	}
	if b <= 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// String returns a as operators read it.
func (a Amount) String() string {
	return fmt.Sprintf("%g cores, %d MiB, %d accelerators", float64(a.Milli)/milli, a.Memory>>20, a.Accels)
}
