package runner

import (
	"syscall"
	"time"
)

const (
	optionUserTimeout = 0x12            // TCP_USER_TIMEOUT of tcp(7)
	unackedLimit      = 5 * time.Second // how long sent bytes may stay unacknowledged
)

// limitUnacknowledged makes the kernel give up a connection whose peer acknowledges nothing.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var err error
	ctl := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(unackedLimit.Milliseconds()))
	})
	if ctl != nil {
		return ctl
	}
	return err
}
