package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	writeTimeout = 2 * time.Second // a peer that takes nothing for this long is given up
	openTimeout  = 5 * time.Second
	backlog      = 64 // streams opened by the other end and not yet served
)

// yamuxConfig leaves out the library's keep-alive: a ping must be answered by the program, not
// only by whatever stands between the two ends.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = openTimeout
	c.StreamCloseTimeout = openTimeout
	c.AcceptBacklog = backlog
	c.LogOutput = io.Discard // session ends are reported by this package once
	return c
}
