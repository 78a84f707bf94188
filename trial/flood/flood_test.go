package flood

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

const (
	leastKept  = 0.95
	mostDelay  = 2.0
	testWarmUp = time.Second
	testLength = 2 * time.Second
	testTimes  = 2
)

func plan(site, design, load string) Plan {
	return Plan{Seed: 1, Site: site, Design: design, Flood: load, Times: testTimes, Warm: testWarmUp, Length: testLength}
}

func try(t *testing.T, p Plan) Line {
	t.Helper()
	l, err := p.Try()
	require.NoError(t, err)
	return l
}

func TestFloodTakesNothingFromTheOthers(t *testing.T) {
	t.Parallel()
	for _, site := range []string{"peachtree", "tarjeta"} {
		for _, load := range []string{floodLeast, floodMost} {
			t.Run(site+"/"+load, func(t *testing.T) {
				t.Parallel()
				l := try(t, plan(site, designShare, load))
				for _, k := range l.Kinds {
					require.Equal(t, k.Refused, k.Told, "refused without Retry-After")
					if k.Floods {
						require.Positive(t, k.Refused)
						continue
					}
					require.GreaterOrEqual(t, k.Kept, leastKept, "%+v", k)
					require.LessOrEqual(t, k.Ratio, mostDelay, "%+v", k)
				}
			})
		}
	}
}

func TestFirstComeLosesTheOthers(t *testing.T) {
	t.Parallel()
	for _, load := range []string{floodLeast, floodMost} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			p := plan("peachtree", designFirst, load)
			p.Length = 3 * testLength // longer than what its queue holds
			p.Times = 1
			l := try(t, p)
			require.Less(t, l.Kept, leastKept)
			require.Greater(t, l.Ratio, mostDelay)
		})
	}
}

func TestBurstsInTurnAreServed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		site, design string
		served       bool
	}{
		{"peachtree", designShare, true},
		{"peachtree", designSplit, false},
	}
	for _, c := range cases {
		t.Run(c.site+"/"+c.design, func(t *testing.T) {
			t.Parallel()
			st, err := siteOf(c.site)
			require.NoError(t, err)
			p := plan(c.site, c.design, floodTurns)
			p.Length = 5*burstLength - testWarmUp
			tallies, _, err := p.one(st, false)
			require.NoError(t, err)
			least := 1.0
			for _, y := range tallies {
				least = min(least, y.share())
			}
			require.Equal(t, c.served, least >= leastKept, "least served share %.3f", least)
		})
	}
}

func TestRunPrintsOneLine(t *testing.T) {
	args := []string{"-seed", "7", "-flood", "most", "-warm", "0s", "-length", "500ms", "-times", "1"}
	var one, two bytes.Buffer
	require.NoError(t, Run(args, &one))
	require.NoError(t, Run(args, &two))
	require.Equal(t, one.String(), two.String(), "the same seed gives the same line")
	var l Line
	require.NoError(t, json.Unmarshal(one.Bytes(), &l))
	require.EqualValues(t, 7, l.Seed)
	require.Len(t, l.Kinds, 10)
	for _, bad := range [][]string{{"-site", "x"}, {"-design", "x"}, {"-flood", "x"}, {"-none"}} {
		require.True(t, fault.Is(Run(bad, &bytes.Buffer{}), fault.Invalid), bad)
	}
}
