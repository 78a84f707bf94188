//go:build !linux

package runner

import (
	"syscall"
)

// limitUnacknowledged does nothing where the kernel has no such limit for one socket.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error {
	return nil
}
