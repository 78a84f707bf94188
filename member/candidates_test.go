package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// testMembers returns the Members of a daemon of the given weight that knows other daemons, all just heard of.
func testMembers(self Node, others []Node, now *time.Time, candidates int) *Members {
	m := New(nil, self, zap.NewNop(), func() time.Time { return *now }, func() int { return candidates }, func() {})
	m.lastContact, m.contactSince = *now, *now
	for i, n := range others {
		m.nodes[n.Name] = nodeRow{n, int64(i + 1), *now}
	}
	return m
}

// fleet returns daemons of six data centres, of which the first large ones of each have a weight of 0.8, the others 0.2.
func fleet(perCentre, large int) []Node {
	var nodes []Node
	for c := range 6 {
		for i := range perCentre {
			weight := 0.2
			if i < large {
				weight = 0.8
			}
			nodes = append(nodes, Node{Name: fmt.Sprintf("%c-%02d", 'a'+c, i), Centre: fmt.Sprintf("c%d", c), Weight: weight})
		}
	}
	return nodes
}

// Every daemon reads every frequent heartbeat: their number must not grow with the fleet.
func TestFrequentHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	for _, perCentre := range []int{16, 50, 170} {
		nodes := fleet(perCentre, 3)
		now := time.Unix(1_800_000_000, 0)
		frequent := map[string]int{}
		for i, self := range nodes {
			others := append(append([]Node{}, nodes[:i]...), nodes[i+1:]...)
			if m := testMembers(self, others, &now, 12); !m.updateFrequency() {
				frequent[self.Centre]++
				require.InDelta(t, 0.8, self.Weight, 0, "the largest ones lead")
			}
		}
		require.Equal(t, map[string]int{"c0": 2, "c1": 2, "c2": 2, "c3": 2, "c4": 2, "c5": 2}, frequent, "%d daemons a data centre", perCentre)
	}
}

func TestSmallFleetIsAllCandidates(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := fleet(1, 1)
	m := testMembers(nodes[0], nodes[1:], &now, 6)
	require.False(t, m.updateFrequency())
}

// When the candidates are gone, others take their place as soon as their heartbeats have timed out.
func TestOthersBecomeCandidatesWhenTheseAreGone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := fleet(4, 2)
	for i := range nodes {
		nodes[i].Infrequent = nodes[i].Weight < 0.5
	}
	small := nodes[2]
	m := testMembers(small, append(append([]Node{}, nodes[:2]...), nodes[3:]...), &now, 12)
	require.True(t, m.updateFrequency())
	now = now.Add(HeartbeatTimeout + time.Millisecond)
	m.lastContact = now
	require.False(t, m.updateFrequency(), "all that were to lead first are silent")
	require.Empty(t, m.Candidates())
}

// A daemon with infrequent heartbeats must not be taken for dead, nor be given services while it may be.
func TestInfrequentHeartbeatsAreNotTakenForDeath(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rare := Node{Name: "rare", Boot: "1", Weight: 0.2, Infrequent: true}
	m := testMembers(Node{Name: "self", Weight: 0.8}, []Node{rare}, &now, 1)
	now = now.Add(rareInterval + HeartbeatTimeout)
	m.lastContact = now
	require.False(t, m.Gone("rare", "1"))
	require.Empty(t, m.Candidates())
	now = now.Add(rareTimeout)
	m.lastContact = now
	require.True(t, m.Gone("rare", "1"))
}

func TestLeaderHasFrequentHeartbeats(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	nodes := fleet(4, 2)
	m := testMembers(nodes[3], append(append([]Node{}, nodes[:3]...), nodes[4:]...), &now, 12)
	require.True(t, m.updateFrequency())
	m.SetLedServices(map[string]int{"s": 1})
	require.False(t, m.updateFrequency())
}
