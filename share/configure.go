package share

import (
	"time"

	"gypsumlead/record"
)

// configure replaces the services; a kind that stays keeps its queue and measurements.
func (p *Pool) configure(e Configure, now time.Time) []Effect {
	for _, k := range p.kinds {
		k.gone = true
	}
	clear(p.index)
	for _, s := range e.Services {
		g := p.groupOf(s.Name)
		for i, w := range s.Works {
			k := p.kindOf(g, w, now)
			p.index[kindName{s.Name, w.Name}] = k
			if i == 0 {
				p.index[kindName{s.Name, ""}] = k
			}
		}
	}
	p.refresh(now)
	out := p.turnAway(nil, now)
	p.prune()
	return out
}

func (p *Pool) groupOf(name string) *group {
	for _, g := range p.groups {
		if g.name == name {
			return g
		}
	}
	g := &group{name: name}
	p.groups = append(p.groups, g)
	return g
}

func (p *Pool) kindOf(g *group, w record.Work, now time.Time) *kind {
	for _, k := range p.kinds {
		if k.group == g && k.work.Name == w.Name {
			k.work, k.gone = w, false
			return k
		}
	}
	k := &kind{group: g, work: w, run: defaultRun.Seconds(), credit: defaultRun.Seconds(), since: now}
	g.kinds++
	p.kinds = append(p.kinds, k)
	return k
}

// prune forgets the kinds that are gone and whose last request has ended.
func (p *Pool) prune() {
	kept := p.kinds[:0]
	for _, k := range p.kinds {
		if k.gone && k.running == 0 && len(k.queue) == 0 {
			k.group.kinds--
			continue
		}
		kept = append(kept, k)
	}
	clear(p.kinds[len(kept):])
	p.kinds = kept
	groups := p.groups[:0]
	for _, g := range p.groups {
		if g.kinds > 0 {
			groups = append(groups, g)
		}
	}
	clear(p.groups[len(groups):])
	p.groups = groups
}
