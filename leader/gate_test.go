package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// gateOf returns the open gate of a queue at a leader's service.
func gateOf(t *testing.T, l *Leader, q work.Queue) home.Gate {
	gate, err := l.Homes.Open(t.Context(), q)
	require.NoError(t, err)
	return gate
}

// handoffTo returns a Handoff that shares its store with nobody's gates.
func handoffTo(store *platform.Store) *Handoff {
	return NewHandoff(store, home.NewDirectory(store, zap.NewNop()), zap.NewNop(), time.Now)
}

// openGate opens the gate of a queue, so that the next transaction is that of a job.
func openGate(t *testing.T, store *standin.Store, q work.Queue) {
	_, err := home.NewDirectory(newTestStore(t, store), zap.NewNop()).Open(t.Context(), q)
	require.NoError(t, err)
}
