package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNext(t *testing.T) {
	three := []Candidate{{Machine: "m1", LongRunning: 2}, {Machine: "m2"}, {Machine: "m3", LongRunning: 1}}
	evacuating := []Candidate{{Machine: "m1", Evacuating: true}, {Machine: "m2", Evacuating: true}, {Machine: "m3"}}
	for _, tc := range []struct {
		name       string
		pool       Pool
		candidates []Candidate
		remaining  time.Duration
		want       []string
	}{
		{"idle: start immediately, fewest long-running tasks first", Pool{Size: 8}, three, 20 * time.Second, []string{"m2", "m3"}},
		{"busy with enough time: wait", Pool{Size: 8, Busy: true}, three, 20 * time.Second, nil},
		{"busy without time to wait: start", Pool{Size: 8, Busy: true}, three, 16 * time.Second, []string{"m2", "m3"}},
		{"time limit near: half of the pool", Pool{Size: 8, Busy: true}, three, 7 * time.Second, []string{"m2", "m3", "m1"}},
		{"evacuating machines count towards the limit", Pool{Size: 8}, evacuating, 20 * time.Second, nil},
		{"no candidates", Pool{Size: 8}, nil, 20 * time.Second, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, c := range Next(tc.pool, tc.candidates, tc.remaining) {
				got = append(got, c.Machine)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

func TestRowStages(t *testing.T) {
	var r Row
	next := r.With("m1", Claimed).With("m2", Done).With("m3", Gone)
	require.Empty(t, r.Machines) // With does not change its receiver
	require.Equal(t, 1, next.Down())
	require.False(t, next.AllFinished([]string{"m1", "m2"}))
	require.True(t, next.With("m1", Done).AllFinished([]string{"m1", "m2", "m3"}))
	b, err := next.Encode()
	require.NoError(t, err)
	decoded, err := DecodeRow(b)
	require.NoError(t, err)
	require.Equal(t, next, decoded)
	require.JSONEq(t, `{"machines":{"m1":"claimed","m2":"done","m3":"left"}}`, string(b))
}

// A wave must not take half of the free machines down at once while a queue's peak needs them, and must still end in time.
func TestMaxDown(t *testing.T) {
	for _, tc := range []struct {
		name       string
		unfinished int
		remaining  time.Duration
		short      bool
		want       int
	}{
		{"no pool is short: all that the operator allows", 189, 25 * time.Second, false, 73},
		{"short, with time: as many as end in time", 189, 24 * time.Second, true, 48},
		{"short, little is left: at least two", 3, 24 * time.Second, true, 2},
		{"short, the time limit is near", 100, 12 * time.Second, true, 73},
		{"the time limit has passed", 10, -time.Second, true, 73},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, MaxDown(73, tc.unfinished, tc.remaining, 2*time.Second, tc.short))
		})
	}
}
