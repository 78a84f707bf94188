package daemon

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"gypsumlead/settings"
	"gypsumlead/standin"
)

// Once a key that needs a restart differed, each reading of the unchanged file was logged as a change.
func TestReloadLogsEachChangeOnce(t *testing.T) {
	network := standin.NewNetwork()
	core, lines := observer.New(zapcore.InfoLevel)
	conf := settings.Defaults()
	conf.Instance, conf.Store = "e1", netip.MustParseAddrPort("10.0.0.1:80")
	conf.Listen = settings.Listen{
		Callers: netip.MustParseAddrPort("10.1.0.1:1"), Ready: netip.MustParseAddrPort("10.1.0.1:2"), Peers: netip.MustParseAddrPort("10.1.0.1:3"),
	}
	d, err := New(conf, zap.New(core), WithNetwork(network.Dialer(netip.MustParseAddr("10.1.0.1")),
		func(at netip.AddrPort) (net.Listener, error) { return network.Listen(at) }))
	require.NoError(t, err)
	reload := func(conf settings.Settings) int {
		before := lines.Len()
		d.Reload(conf)
		return lines.Len() - before
	}
	require.Zero(t, reload(conf), "unchanged")
	conf.MemoryMB++
	require.Equal(t, 1, reload(conf), "a key that needs a restart")
	require.Zero(t, reload(conf))
	conf.Store = netip.MustParseAddrPort("10.0.0.2:80")
	require.Equal(t, 1, reload(conf), "a key that is applied")
	require.Equal(t, conf.Store, d.settings.Store)
	require.Zero(t, reload(conf))
	conf.MemoryMB--
	require.Equal(t, 1, reload(conf), "back to the key in force")
	require.Zero(t, reload(conf))
}
