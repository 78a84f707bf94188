package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	writeTimeout  = 2 * time.Second // a session whose peer accepts no data for this long is closed
	openTimeout   = 5 * time.Second
	acceptBacklog = 64 // streams that the other end has opened and that are not yet served
)

// yamuxConfig returns the configuration of sessions. The library's keep-alive is off: a ping must be answered by the
// other daemon's request handler, not only by something between the two ends.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = openTimeout
	c.StreamCloseTimeout = openTimeout
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard // this package logs the end of a session once
	return c
}
