// Package peer provides sessions between daemons: yamux over TCP, protobuf requests and responses, and pings by which
// each end detects whether the other still works.
package peer
