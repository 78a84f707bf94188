// Package logs writes a daemon's log as JSON lines and never blocks the daemon: lines that the reader is too slow for
// are dropped and counted.
package logs
