package share

import (
	"math"
	"time"
)

// waitPart is the part of its run time that a request within its floor may wait for a lent slot.
const waitPart = 0.25

// tier is the claim that a kind of work has on the next idle slot; a lower one goes first.
type tier int

const (
	tierFloor    tier = iota // the slot is within its floor
	tierFraction             // the slot is the fraction on top of its whole floor, and it has credit
	tierCredit               // above its floor, using what it left unused before
	tierService              // above its floor, within that of its service
	tierLent                 // above both
	tierNone                 // may not take a slot now
)

// guaranteed returns the claim of k on one more slot by its floor alone.
func (k *kind) guaranteed() tier {
	switch {
	case k.below(1):
		return tierFloor
	case k.below(0) && k.credit > 0:
		return tierFraction
	}
	return tierNone
}

// borrowed returns the claim of k on a slot above its floor.
func (p *Pool) borrowed(k *kind, l load, free int) tier {
	if n := k.idle(); n > 0 {
		l.idle -= n
		l.asked -= k.expected()
	}
	switch {
	case k.long() > p.opts.reclaim.Seconds():
		return tierNone
	case free <= l.reserve(k, free, p.opts.short):
		return tierNone
	case k.credit > 0:
		return tierCredit
	case float64(k.group.running)+1 <= k.group.floor:
		return tierService
	}
	return tierLent
}

// next returns the waiting kind of work with the best claim on an idle slot, or nil.
func (p *Pool) next(now time.Time) *kind {
	free := p.slots - p.running
	if free <= 0 || p.waiting == 0 {
		return nil
	}
	best := p.best(now, (*kind).guaranteed)
	if best != nil {
		return best
	}
	l := p.load()
	return p.best(now, func(k *kind) tier { return p.borrowed(k, l, free) })
}

// best returns the waiting kind of work with the lowest tier, or nil where none has a claim.
func (p *Pool) best(now time.Time, claim func(*kind) tier) *kind {
	var best *kind
	bestTier := tierNone
	for _, k := range p.kinds {
		if len(k.queue) == 0 {
			continue
		}
		k.accrue(now, p.opts.burst)
		t := claim(k)
		if t < bestTier || t == bestTier && t != tierNone && before(k, best, t) {
			best, bestTier = k, t
		}
	}
	return best
}

// before orders two kinds of the same tier: guaranteed slots go to the one that has used the
// least of its floor, lent ones to the more urgent.
func before(a, b *kind, t tier) bool {
	if t == tierLent && a.work.Urgency != b.work.Urgency {
		return a.work.Urgency > b.work.Urgency
	}
	return a.credit*b.floor > b.credit*a.floor
}

// load sums up what decides how many idle slots must not be lent.
type load struct {
	idle     int     // whole slots of floors that are not in use
	asked    float64 // requests a second of the kinds that have such slots
	freed    float64 // slots a second given back by the requests that run
	patience float64 // seconds that such a request may wait without harm to its delay
}

func (p *Pool) load() load {
	l := load{patience: math.Inf(1)}
	for _, k := range p.kinds {
		l.freed += float64(k.running) / k.run
		if n := k.idle(); n > 0 {
			l.idle += n
			l.asked += k.expected()
			l.patience = math.Min(l.patience, k.run*waitPart)
		}
	}
	return l
}

// reserve returns how many of the free slots are not lent to k, so that a request within its
// floor waits no longer than its patience but for the accepted chance. The idle slots are a
// birth-death process: requests within their floors take them and every finished request
// gives one back, among them those that k would run on what is lent.
func (l load) reserve(k *kind, free int, short float64) int {
	least := l.needed(l.freed+float64(free)/k.run, short)
	return l.needed(l.freed+float64(max(0, free-least))/k.run, short)
}

// needed returns the idle slots with which the chance of a longer wait stays below short: of
// r idle slots none is left with a chance of (asked/freed)^r, and a wait then passes t with a
// chance of exp(-(freed-asked)*t).
func (l load) needed(freed, short float64) int {
	switch {
	case l.idle == 0 || l.asked <= 0 || short >= 1:
		return 0
	case l.asked >= freed:
		return l.idle
	}
	need := (math.Log(short) + (freed-l.asked)*l.patience) / math.Log(l.asked/freed)
	return max(0, min(l.idle, int(math.Ceil(need))))
}
