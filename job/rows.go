package job

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
)

// poolRow is the row of what the whole pool shares.
type poolRow struct {
	Until time.Time      `json:"until"` // no try has a lease that ends later
	Seen  int64          `json:"seen"`  // version of the configuration that was last acted on
	Bans  map[string]Ban `json:"bans,omitempty"`
}

// softEvery is the shortest time between writes of a job's row for its estimate and evidence alone.
const softEvery = 10 * time.Second

// Prefix returns the start of the table keys of a pool's jobs.
func Prefix(pool string) string {
	return "job/" + pool + "/"
}

// HeadKey is the table key of the row that holds a job's progress but for its tasks.
func HeadKey(pool, name string) string {
	return Prefix(pool) + "head/" + name
}

func (p *Pool) keyPool() string            { return Prefix(p.name) + "pool" }
func (p *Pool) keyTeam(name string) string { return Prefix(p.name) + "team/" + name }
func (p *Pool) keyHead(name string) string { return HeadKey(p.name, name) }
func (p *Pool) keyChunk(j string, n int) string {
	return fmt.Sprintf("%stask/%s/%05d", Prefix(p.name), j, n)
}

// Unit is what has to be committed in one transaction: rows and the audit entries about them.
type Unit struct {
	Puts    []backing.Row // without versions
	Deletes []string
	Entries []audit.Entry
}

// Flush returns what changed since the last call.
func (p *Pool) Flush() ([]Unit, error) {
	c := p.changes
	p.changes = newChanges()
	var out []Unit
	u, err := p.poolUnit(&c)
	if err != nil {
		return nil, err
	}
	out = append(out, u)
	for _, j := range c.gone {
		out = append(out, p.goneUnit(j, &c))
	}
	for _, j := range c.jobs {
		if p.byName[j.Name] != j {
			continue
		}
		if u, err = p.jobUnit(j, &c); err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	out = append(out, c.rest())
	return slices.DeleteFunc(out, Unit.isEmpty), nil
}

func (u Unit) isEmpty() bool {
	return len(u.Puts)+len(u.Deletes)+len(u.Entries) == 0
}

// rest returns the entries of jobs that have no changed row.
func (c *changes) rest() Unit {
	var u Unit
	for _, name := range c.units {
		u.Entries = append(u.Entries, c.entries[name]...)
	}
	return u
}

// take removes the entries of a unit.
func (c *changes) take(unit string) []audit.Entry {
	es := c.entries[unit]
	delete(c.entries, unit)
	return es
}

func (u *Unit) put(key string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode row %s", key)
	}
	u.Puts = append(u.Puts, backing.Row{Key: key, Value: value})
	return nil
}

func (p *Pool) poolUnit(c *changes) (Unit, error) {
	u := Unit{Entries: c.take("")}
	if !c.pool {
		return u, nil
	}
	row := poolRow{Until: p.until, Seen: p.seen, Bans: map[string]Ban{}}
	for _, w := range p.workers {
		if w.bad.Health != InService {
			row.Bans[w.ID] = w.bad
		}
	}
	if err := u.put(p.keyPool(), row); err != nil {
		return u, err
	}
	for _, t := range p.sortedTeams() {
		if !t.dirty {
			continue
		}
		t.dirty = false
		if err := u.put(p.keyTeam(t.name), t.prior); err != nil {
			return u, err
		}
	}
	return u, nil
}

func (p *Pool) sortedTeams() []*team {
	out := make([]*team, 0, len(p.teams))
	for _, t := range p.teams {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (p *Pool) goneUnit(j *Job, c *changes) Unit {
	u := Unit{Deletes: []string{p.keyHead(j.Name)}, Entries: c.take(j.Name)}
	for _, n := range j.order {
		u.Deletes = append(u.Deletes, p.keyChunk(j.Name, n))
	}
	return u
}

func (p *Pool) jobUnit(j *Job, c *changes) (Unit, error) {
	u := Unit{Entries: c.take(j.Name)}
	if j.Phase != Open && j.Phase != Refused && !j.busy() {
		for _, n := range j.order {
			u.Deletes = append(u.Deletes, p.keyChunk(j.Name, n))
		}
		j.order, j.chunks, j.dirty = nil, map[int]*Chunk{}, true
	}
	for _, n := range j.order {
		ch := j.chunks[n]
		if !ch.dirty {
			continue
		}
		ch.dirty = false
		if err := u.put(p.keyChunk(j.Name, n), ch); err != nil {
			return u, err
		}
	}
	if j.soft && p.now.Sub(j.wrote) >= softEvery {
		j.dirty = true
	}
	if !j.dirty {
		return u, nil
	}
	j.dirty, j.soft, j.wrote = false, false, p.now
	return u, u.put(p.keyHead(j.Name), j)
}

// Restore takes over from the rows of an earlier holder; it comes before any event.
func (p *Pool) Restore(rows []backing.Row, now time.Time) error {
	for _, r := range rows {
		if err := p.restoreRow(r); err != nil {
			return err
		}
	}
	slices.SortFunc(p.jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Name, b.Name))
	})
	for _, j := range p.jobs {
		p.restoreJob(j, now)
	}
	return nil
}

// restoreRow decodes one row; heads sort before tasks, so a chunk finds its job.
func (p *Pool) restoreRow(r backing.Row) error {
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.Key, Prefix(p.name)), "/")
	switch kind {
	case "pool":
		var row poolRow
		if err := decode(r, &row); err != nil {
			return err
		}
		p.until, p.seen = row.Until, row.Seen
		for id, b := range row.Bans {
			p.worker(id).bad = b
		}
	case "team":
		return decode(r, &p.team(rest).prior)
	case "head":
		j := &Job{chunks: map[int]*Chunk{}, racks: map[string]int{}}
		if err := decode(r, j); err != nil {
			return err
		}
		p.jobs = append(p.jobs, j)
		p.byName[j.Name] = j
	case "task":
		return p.restoreChunk(r, rest)
	}
	return nil
}

func (p *Pool) restoreChunk(r backing.Row, rest string) error {
	name, number, _ := strings.Cut(rest, "/")
	j := p.byName[name]
	if j == nil {
		return fault.New(fault.Breach, "row %s has no head", r.Key)
	}
	c := &Chunk{}
	if err := decode(r, c); err != nil {
		return err
	}
	if _, err := fmt.Sscanf(number, "%d", &c.number); err != nil {
		return fault.Wrap(fault.Internal, err, "read the number of row %s", r.Key)
	}
	j.chunks[c.number] = c
	j.order = append(j.order, c.number)
	return nil
}

func decode(r backing.Row, v any) error {
	return fault.Wrap(fault.Internal, json.Unmarshal(r.Value, v), "decode row %s", r.Key)
}

// restoreJob gives the job's tasks their sizes back.
func (p *Pool) restoreJob(j *Job, now time.Time) {
	if len(j.order) > 0 {
		j.Ended, j.Done = 0, 0
	}
	for _, n := range j.order {
		c := j.chunks[n]
		j.Done += bitCount(c.Done)
		j.Ended += bitCount(c.Done | c.Gone)
		j.fresh = max(j.fresh, c.top()+1)
		for _, t := range c.Tasks {
			t.job = j
			t.name()
			t.live.since = now
			p.restoreTask(t)
		}
	}
}

func (p *Pool) restoreTask(t *Task) {
	switch {
	case t.State == Waiting:
		t.job.queue = append(t.job.queue, t)
		return
	case t.State == Off:
		t.job.off++
	case t.State.holds():
		w := p.worker(t.Worker)
		w.Rack = t.Rack
		p.hold(t, w)
	}
	p.tries[t.ID()] = t
}
