// Package logs writes a daemon's log as JSON lines without ever holding the daemon up: what the reader doesn't take is dropped and counted.
package logs
