package daemon

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/peer"
	"gypsumlead/peer/wire"
)

// A peer must not get calls made that are not of the table store.
func TestCarrierRefusesOtherCalls(t *testing.T) {
	for _, path := range []string{"/gypsumlead/rows-tx", "/gypsumlead/rows-getx", "/gypsumlead/rows-get/../machine-move", "//gypsumlead/rows-get"} {
		_, err := (&Daemon{}).handleStoreCall(t.Context(), &wire.StoreCall{Method: http.MethodGet, Path: path})
		require.Error(t, err, path)
	}
}

// Calls of many rejected daemons must not all go through one carrier, nor to another data centre without need.
func TestCarriersAreNearAndSpread(t *testing.T) {
	first := map[string]int{}
	for i := range 1000 {
		order := carrierOrder(fmt.Sprint("d", i), "c2", []peer.Identity{{Instance: "e1", Centre: "c1"}, {Instance: "e2", Centre: "c2"}, {Instance: "e3", Centre: "c2"}})
		require.Equal(t, "e1", order[2])
		first[order[0]]++
	}
	require.InDelta(t, first["e2"], first["e3"], 150)
}
