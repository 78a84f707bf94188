package cache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
)

// All waves were withdrawn while the history was lost, and nobody heard of it.
func TestEmptySnapshotIsAChange(t *testing.T) {
	changes := 0
	o := NewOperatorState(nil, zap.NewNop(), time.Now, applyWithin, func() { changes++ })
	key := platform.RowKey{Table: platform.TableOperator, Key: "wave/1"}
	o.apply([]platform.Row{{RowKey: key, Version: 1, Value: []byte(`{"Wave":1,"Machines":["m0"],"DurationS":9,"Cap":1}`)}}, false)
	require.Len(t, o.Waves(), 1)
	require.Equal(t, 1, changes)
	o.apply(nil, true)
	require.Empty(t, o.Waves())
	require.Equal(t, 2, changes)
	o.apply(nil, false)
	require.Equal(t, 2, changes, "a page of changes without a row is none")
}
