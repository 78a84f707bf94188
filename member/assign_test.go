package member

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAssignDistributesByWeight(t *testing.T) {
	nodes := []Node{{Name: "a", Weight: 0.4}, {Name: "b", Weight: 0.4}, {Name: "c", Weight: 0.8}}
	plan := Assign([]string{"s4", "s1", "s2", "s3"}, nodes)
	count := map[string]int{}
	for _, n := range plan {
		count[n]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 2}, count)
	require.Equal(t, plan, Assign([]string{"s1", "s2", "s3", "s4"}, nodes))
	require.Empty(t, Assign([]string{"s1"}, nil))
}
