package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNext(t *testing.T) {
	three := []Candidate{{Machine: "m1", LongRunning: 2}, {Machine: "m2"}, {Machine: "m3", LongRunning: 1}}
	taken := []Candidate{{Machine: "m1", Evacuating: true}, {Machine: "m2", Evacuating: true}, {Machine: "m3"}}
	for _, tc := range []struct {
		name string
		p    Pool
		list []Candidate
		left time.Duration
		want []string
	}{
		{"calm: at once, what holds least first", Pool{Size: 8}, three, 20 * time.Second, []string{"m2", "m3"}},
		{"busy with time enough: later", Pool{Size: 8, Busy: true}, three, 20 * time.Second, nil},
		{"busy and no more time to wait", Pool{Size: 8, Busy: true}, three, 16 * time.Second, []string{"m2", "m3"}},
		{"nearly over: half of the pool", Pool{Size: 8, Busy: true}, three, 7 * time.Second, []string{"m2", "m3", "m1"}},
		{"those being emptied count", Pool{Size: 8}, taken, 20 * time.Second, nil},
		{"nothing left", Pool{Size: 8}, nil, 20 * time.Second, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, c := range Next(tc.p, tc.list, tc.left) {
				got = append(got, c.Machine)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

func TestRowsStages(t *testing.T) {
	var r Row
	next := r.With("m1", Claimed).With("m2", Done).With("m3", Gone)
	require.Empty(t, r.Machines) // the row before is as it was
	require.Equal(t, 1, next.Down())
	require.False(t, next.AllFinished([]string{"m1", "m2"}))
	require.True(t, next.With("m1", Done).AllFinished([]string{"m1", "m2", "m3"}))
	b, err := next.Encode()
	require.NoError(t, err)
	again, err := DecodeRow(b)
	require.NoError(t, err)
	require.Equal(t, next, again)
	require.JSONEq(t, `{"machines":{"m1":"claimed","m2":"done","m3":"left"}}`, string(b))
}
