package budget

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/work"
)

// Parameters of the split of a cap over services.
const (
	patience     = time.Second            // a service whose next start has been too large for its portion for this long comes first
	staleAfter   = 700 * time.Millisecond // three reports; what a service waited for before is outdated then
	activeWithin = 10 * time.Second       // a service that used or waited for quota within this gets some of what is free in advance
)

// claim is one service's part in a split.
type claim struct {
	share  *share
	base   work.Resources // what it uses, or all that it holds if its leader is silent
	next   work.Resources // smallest further amount that is of use
	want   work.Resources // base and all that waits
	amount work.Resources
	waits  bool
	floor  work.Resources // it gets at least this
}

// split returns the portions that the services should have of a cap: max-min fair over what they use and wait for, except
// that a service gets nothing for tasks that it can't start with it, and that one whose next start has been too large for
// longer than patience comes first. Half of what is left over goes to the active services in advance.
func split(now time.Time, limit work.Resources, shares []*share) map[*share]work.Resources {
	claims := claimsOf(now, limit, shares)
	left := limit // for floors
	for _, c := range starving(now, claims) {
		need := c.base.Add(c.next)
		if need.Fits(left) {
			c.floor = need
			left = left.Sub(need)
		}
	}
	fill(limit, claims)
	if dropUseless(claims) {
		fill(limit, claims)
		dropUseless(claims)
		fill(limit, claims)
	}
	left = limit
	for _, c := range claims {
		left = left.Sub(c.amount)
	}
	left = giveNext(positive(left), claims)
	giveAdvance(now, left, claims)
	result := make(map[*share]work.Resources, len(claims))
	for _, c := range claims {
		result[c.share] = c.amount
	}
	return result
}

// portionOf returns the portion that split gives one of the services. If the cap suffices for all that is wanted, which is the
// usual case, it doesn't split it: with 230 workspaces active in 51 services, that would cost several cores.
func portionOf(now time.Time, limit work.Resources, shares []*share, sh *share) work.Resources {
	var wanted work.Resources
	active := int64(0)
	for _, other := range shares {
		if now.Sub(other.service.heard) > staleAfter {
			wanted = wanted.Add(other.held)
		} else {
			wanted = wanted.Add(other.want)
		}
		if other.isActive(now) {
			active++
		}
	}
	left := limited(limit.Sub(wanted), limit)
	if !(work.Resources{}).Fits(left) {
		return split(now, limit, shares)[sh]
	}
	want := limited(sh.want, limit)
	if sh.isActive(now) {
		want = want.Add(part(left, 2*active))
	}
	return want
}

// isActive reports whether the share was used or waited for lately.
func (sh *share) isActive(now time.Time) bool { return now.Sub(sh.active) <= activeWithin }

// claimsOf returns the claims of the services, by service.
func claimsOf(now time.Time, limit work.Resources, shares []*share) []*claim {
	claims := make([]*claim, 0, len(shares))
	for _, sh := range shares {
		c := claimOf(now, limit, sh)
		claims = append(claims, &c)
	}
	return claims
}

// claimOf returns the claim of a service.
func claimOf(now time.Time, limit work.Resources, sh *share) claim {
	c := claim{share: sh, base: limited(sh.base, limit), next: limited(sh.usage.Next, limit)}
	if now.Sub(sh.service.heard) > staleAfter {
		c.base = limited(sh.held, limit)
	} else {
		c.waits = sh.waits(limit)
	}
	c.want = c.base
	if c.waits {
		c.want = limited(sh.want, limit)
	}
	return c
}

// starving returns the claims whose next start has been too large for longer than patience, the oldest first.
func starving(now time.Time, claims []*claim) []*claim {
	var list []*claim
	for _, c := range claims {
		if c.waits && !c.share.blocked.IsZero() && now.Sub(c.share.blocked) > patience {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *claim) int { return a.share.blocked.Compare(b.share.blocked) })
	return list
}

// fill gives the claims their max-min fair amounts of each resource.
func fill(left work.Resources, claims []*claim) {
	for _, r := range []func(*work.Resources) *int64{
		func(a *work.Resources) *int64 { return &a.CPU },
		func(a *work.Resources) *int64 { return &a.Mem },
		func(a *work.Resources) *int64 { return &a.GPU },
	} {
		fillOne(*r(&left), claims, r)
	}
}

// fillOne is fill for one resource.
func fillOne(left int64, claims []*claim, resource func(*work.Resources) *int64) {
	open := slices.Clone(claims)
	slices.SortStableFunc(open, func(a, b *claim) int { return cmp.Compare(*resource(&a.want), *resource(&b.want)) })
	for again := true; again; {
		rest := left
		for i, c := range open {
			amount := min(*resource(&c.want), rest/int64(len(open)-i))
			*resource(&c.amount) = amount
			rest -= amount
		}
		again = false
		open = slices.DeleteFunc(open, func(c *claim) bool {
			floor := *resource(&c.floor)
			if *resource(&c.amount) >= floor {
				return false
			}
			*resource(&c.amount) = floor
			left -= floor
			again = true
			return true
		})
	}
}

// dropUseless lets the claims whose amounts don't suffice for their next start want no more than what they use. It reports
// whether there are any.
func dropUseless(claims []*claim) bool {
	found := false
	for _, c := range claims {
		if c.want != c.base && !c.base.Add(c.next).Fits(c.amount) {
			c.want, found = c.base, true
		}
	}
	return found
}

// giveNext gives what is left to claims that got nothing for their next start, the longest blocked first, and returns the
// rest.
func giveNext(left work.Resources, claims []*claim) work.Resources {
	var list []*claim
	for _, c := range claims {
		if c.waits && c.want == c.base && c.base.Fits(c.amount) {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *claim) int {
		x, y := a.share.blocked, b.share.blocked
		if x.IsZero() != y.IsZero() {
			return cmp.Compare(boolToInt(x.IsZero()), boolToInt(y.IsZero()))
		}
		return x.Compare(y)
	})
	for _, c := range list {
		if c.next.Fits(left) {
			c.amount = c.base.Add(c.next)
			left = left.Sub(c.next)
		}
	}
	return left
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// giveAdvance gives half of what is left to the active services in equal parts, so that a start needn't wait for an answer.
func giveAdvance(now time.Time, left work.Resources, claims []*claim) {
	var list []*claim
	for _, c := range claims {
		if c.share.isActive(now) {
			list = append(list, c)
		}
	}
	for _, c := range list {
		c.amount = c.amount.Add(part(left, int64(2*len(list))))
	}
}
