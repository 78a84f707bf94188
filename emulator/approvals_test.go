package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// wideJobsWait is how long jobs may take whose runs last a second and that find all runners idle.
const wideJobsWait = 14 * time.Second

// policySize is a site with one service of many runners whose steps need approvals.
func policySize(terms standin.PolicyTerms) Size {
	return Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 1, RunnersPerService: 40, CoresPerMachine: 16, SteadyConfig: true, Policy: &terms}
}

// submitWide submits a job of one step of the given width, whose runs last a second.
func submitWide(c *Cluster, width int, cpu int64, gang bool) {
	members := 0
	if gang {
		members = width
	}
	spec := standin.Spec{Steps: []standin.SpecStep{{RunMS: 1000, CPU: cpu, Mem: 100, Gang: members}}}
	wire := wireJob{Spec: spec.Text(), JobSteps: []wireStep{{Count: width, CPU: cpu, MemMb: 100, EstimateMs: 1000, Gang: gang}}}
	c.Submit("s0", wire, work.Job{Spec: wire.Spec, Steps: []work.Step{{Count: width, Gang: gang}}})
}

// Guards against jobs that never start because a call to the policy service takes longer, by the service's own terms, than the daemon
// waits, and is then made again unchanged (review/13).
func TestWideJobsStartHoweverLongApprovalsTake(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		terms standin.PolicyTerms
		width int
		cpu   int64
		gang  bool
	}{
		"forty runners take 2.2 s":          {standin.PolicyTerms{Base: 200 * ms, Each: 50 * ms, Valid: 3000 * ms}, 24, 1000, false},
		"twice as wide":                     {standin.PolicyTerms{Base: 200 * ms, Each: 50 * ms, Valid: 3000 * ms}, 48, 8000, false},
		"a gang":                            {standin.PolicyTerms{Base: 200 * ms, Each: 50 * ms, Valid: 3000 * ms}, 24, 8000, true},
		"any call takes over 2 s":           {standin.PolicyTerms{Base: 2500 * ms, Each: ms, Valid: 3000 * ms}, 6, 1000, false},
		"a runner takes over 1 s":           {standin.PolicyTerms{Base: 10 * ms, Each: 1100 * ms, Valid: 3000 * ms}, 4, 1000, false},
		"tickets lapse before a commit":     {standin.PolicyTerms{Base: 10 * ms, Each: ms, Valid: 10 * ms}, 6, 1000, false},
		"a gang's tickets lapse soon":       {standin.PolicyTerms{Base: 200 * ms, Each: 50 * ms, Valid: 400 * ms}, 12, 8000, true},
		"short terms, as the sites have it": {standin.PolicyTerms{Base: 60 * ms, Each: 4 * ms, Valid: 3000 * ms}, 24, 8000, false},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, policySize(c.terms), 1, func(t *testing.T, cluster *Cluster) {
				for range 3 {
					submitWide(cluster, c.width, c.cpu, c.gang)
				}
				time.Sleep(wideJobsWait)
				stats := cluster.Stats()
				require.Equal(t, 3, stats.Done)
				calls, repeated := cluster.Policy.Calls()
				require.Zero(t, repeated)
				t.Log(calls, "calls, longest", stats.MaxLatency)
			})
		})
	}
}

// Guards against runners that are asked about again and again though the policy has refused them, while others are approved.
func TestJobsStartThoughMostRunnersAreRefused(t *testing.T) {
	terms := standin.PolicyTerms{Base: 200 * time.Millisecond, Each: 50 * time.Millisecond, Valid: 3 * time.Second}
	runScenario(t, policySize(terms), 1, func(t *testing.T, c *Cluster) {
		c.Policy.Refuse(func(id string) bool { return id[len(id)-3] != '7' }) // i-m7-1 and the like are approved
		submitWide(c, 8, 4000, false)
		time.Sleep(wideJobsWait)
		require.Equal(t, 1, c.Stats().Done)
	})
}

// Guards against a policy service that is called without a pause while it fails, and jobs that don't start once it is back.
func TestPolicyServiceThatFailsIsCalledWithPauses(t *testing.T) {
	terms := standin.PolicyTerms{Base: 50 * time.Millisecond, Each: 5 * time.Millisecond, Valid: 3 * time.Second}
	runScenario(t, policySize(terms), 1, func(t *testing.T, c *Cluster) {
		c.Policy.SetDown(true)
		for range 5 {
			submitWide(c, 4, 4000, false)
		}
		time.Sleep(30 * time.Second)
		calls, _ := c.Policy.Calls()
		require.LessOrEqual(t, calls, 30)
		require.Zero(t, c.Stats().Done)
		c.Policy.SetDown(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, 5, c.Stats().Done)
	})
}
