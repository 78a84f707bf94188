package entry

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

func TestLimitBoundsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := standin.NewPipes(netip.MustParseAddrPort("10.0.0.1:80"))
		l := Limit(pipes, 2)
		accepted := make(chan interface{ Close() error }, 3)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					close(accepted)
					return
				}
				accepted <- c
			}
		}()
		for range 3 {
			go func() { _, _ = pipes.Dial(t.Context(), "", "") }()
		}
		time.Sleep(time.Second)
		require.Len(t, accepted, 2)
		c := <-accepted
		require.NoError(t, c.Close())
		require.NoError(t, c.Close())
		time.Sleep(time.Second)
		require.Len(t, accepted, 2)
		require.NoError(t, l.Close())
		time.Sleep(time.Second)
	})
}
