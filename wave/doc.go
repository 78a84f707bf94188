// Package wave drives maintenance waves: each instance is taken, drained, rebooted and returned by a state machine whose progress stands in the platform's table.
package wave
