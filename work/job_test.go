package work

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every task of every occurrence takes memory in its leader, and in each leader after that.
func TestJobWithHugeRepeatCountExhaustsMemory(t *testing.T) {
	for _, tc := range []struct {
		name          string
		repeat, count int
		valid         bool
	}{
		{"one occurrence", 0, MaxTasks, true},
		{"as many as are allowed", 1000, MaxTasks / 1000, true},
		{"one task too often", MaxTasks + 1, 1, false},
		{"a step too often", 1001, MaxTasks / 1000, false},
		{"beyond the range of the product", math.MaxInt, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Job{Repeat: tc.repeat, Interval: time.Second, Steps: []Step{{Count: tc.count}}}.Check()
			require.Equal(t, tc.valid, err == nil, "%v", err)
		})
	}
}
