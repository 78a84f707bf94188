package api

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/audit"
)

func TestConcerns(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inputs []audit.Input
		want   bool
	}{
		{"placed here", audit.Facts("tasks", "0@w1 1@w2"), true},
		{"placed elsewhere", audit.Facts("tasks", "0@w2 1@w11"), false},
		{"displaced here", audit.Facts("worker", "w1"), true},
		{"displaced elsewhere", audit.Facts("worker", "w12"), false},
		{"something else of that name", audit.Facts("team", "w1"), false},
		{"nothing", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, concerns(audit.Entry{Inputs: tc.inputs}, "w1"))
		})
	}
}
