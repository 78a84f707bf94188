package jobtrial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/job"
	"gypsumlead/record"
)

// Kind is what part a job plays in a trial.
type Kind string

// The kinds of jobs.
const (
	Plain   Kind = "plain"
	Urgent  Kind = "urgent"
	Low     Kind = "low"  // flood of the least urgent work
	High    Kind = "high" // flood of the most urgent work
	Broken  Kind = "broken"
	TooBig  Kind = "toobig"
	urgency      = 9
)

// Arrival is a job that comes at a time, and what its tasks truly take.
type Arrival struct {
	At      time.Duration
	Kind    Kind
	Spec    job.Spec
	Profile standin.Profile
	Cancel  time.Duration // when it is cancelled; zero: never
}

// plan makes the arrivals of a pool's trial from a seed.
func plan(sc Scale, pool string, rnd *rand.Rand) []Arrival {
	g := &generator{sc: sc, pool: pool, rnd: rnd, bias: map[int]float64{}}
	capacity := float64(sc.Workers) * sc.Size.Cores
	for at := time.Duration(0); at < sc.Span; at += g.gap(capacity) {
		g.plain(at)
	}
	for _, part := range []float64{0.15, 0.3, 0.5, 0.65, 0.78, 0.95} {
		for range 3 {
			g.urgent(g.at(part))
		}
	}
	g.flood(Low, 0, g.at(lowPart), capacity)
	g.flood(High, urgency, g.at(highPart), capacity)
	return g.out
}

type generator struct {
	sc   Scale
	pool string
	rnd  *rand.Rand
	bias map[int]float64 // how far off a team declares
	out  []Arrival
}

func (g *generator) at(part float64) time.Duration {
	return time.Duration(part*float64(g.sc.Span)) + time.Duration(g.rnd.IntN(1000))*time.Millisecond
}

// gap keeps the true use of plain jobs at about 70% of the capacity.
func (g *generator) gap(capacity float64) time.Duration {
	const meanWork = 8 * 0.03 * 110 // tasks, part of a worker, seconds
	each := meanWork * g.sc.Size.Cores
	return time.Duration(g.rnd.ExpFloat64() * each / (0.7 * capacity) * float64(time.Second))
}

func (g *generator) add(at time.Duration, k Kind, j record.Job, p standin.Profile) *Arrival {
	n := len(g.out) + 1
	j.Pool = g.pool
	g.out = append(g.out, Arrival{
		At: at, Kind: k, Profile: p,
		Spec: job.Spec{Name: fmt.Sprintf("%s-%s%d", g.pool, k, n), Job: j},
	})
	return &g.out[len(g.out)-1]
}

func (g *generator) team() (int, string) {
	n := g.rnd.IntN(g.sc.Teams)
	return n, fmt.Sprintf("team%d", n)
}

// ratio returns declared over true: off by the team's habit and by chance.
func (g *generator) ratio(team int) float64 {
	if g.bias[team] == 0 {
		g.bias[team] = math.Exp(0.7 + 0.6*g.rnd.NormFloat64())
	}
	return min(max(g.bias[team]*math.Exp(0.4*g.rnd.NormFloat64()), 0.2), 10)
}

func (g *generator) plain(at time.Duration) {
	n, team := g.team()
	used := backing.Size{
		Cores:  g.sc.Size.Cores * (0.01 + 0.04*g.rnd.Float64()),
		Memory: int64(float64(g.sc.Size.Memory) * (0.01 + 0.05*g.rnd.Float64())),
	}
	run := time.Duration(20+g.rnd.IntN(180)) * time.Second
	r := g.ratio(n)
	j := record.Job{
		Team: team, Count: 1 + int(7*g.rnd.ExpFloat64()), Urgency: g.rnd.IntN(6),
		Size:    backing.Size{Cores: used.Cores * r, Memory: int64(float64(used.Memory) * r)},
		Time:    record.Millis(float64(run.Milliseconds()) * math.Exp(g.rnd.NormFloat64())),
		Restart: g.rnd.Float64() < 0.9, Save: g.rnd.Float64() < 0.3,
	}
	j.Size.Cores = min(j.Size.Cores, 0.8*g.sc.Size.Cores)
	j.Size.Memory = min(j.Size.Memory, int64(0.8*float64(g.sc.Size.Memory)))
	k, p := Plain, standin.Profile{Used: used, Run: run}
	switch x := g.rnd.Float64(); {
	case x < 0.03:
		k, p.Fail, p.Never = Broken, time.Second, g.rnd.IntN(2) == 0
	case x < 0.05:
		k = TooBig
		j.Size = []backing.Size{
			{Cores: 2 * g.sc.Size.Cores, Memory: gib},
			{Cores: 1, Memory: 2 * g.sc.Size.Memory},
			{Cores: 1, Memory: gib, Accels: 1},
		}[g.rnd.IntN(3)]
	}
	a := g.add(at, k, j, p)
	for _, wave := range []float64{0.25, 0.6} {
		if t := g.at(wave); at < t && g.rnd.Float64() < 0.3 && t-at < 5*time.Minute {
			a.Cancel = t
			return
		}
	}
}

func (g *generator) urgent(at time.Duration) {
	_, team := g.team()
	part := 0.03 + 0.2*g.rnd.Float64()
	used := backing.Size{Cores: g.sc.Size.Cores * part, Memory: int64(float64(g.sc.Size.Memory) * part)}
	j := record.Job{Team: team, Count: 2 + g.rnd.IntN(12), Urgency: urgency, Size: used, Time: 60_000, Restart: true}
	g.add(at, Urgent, j, standin.Profile{Used: used, Run: time.Duration(30+g.rnd.IntN(60)) * time.Second})
}

// flood asks for several times the capacity at once.
func (g *generator) flood(k Kind, urgency int, at time.Duration, capacity float64) {
	const times = 3.0
	used := backing.Size{Cores: g.sc.Size.Cores * 0.04, Memory: int64(float64(g.sc.Size.Memory) * 0.03)}
	tasks := int(times * capacity / used.Cores)
	const jobs = 20
	for i := range jobs {
		_, team := g.team()
		j := record.Job{
			Team: team, Count: max(tasks/jobs, 1), Urgency: urgency, Time: 60_000, Restart: true,
			Size: backing.Size{Cores: used.Cores * 1.5, Memory: 2 * used.Memory},
		}
		g.add(at+time.Duration(i)*100*time.Millisecond, k, j, standin.Profile{Used: used, Run: time.Minute})
	}
}
