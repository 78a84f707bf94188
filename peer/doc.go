// Package peer is the sessions between daemons: yamux over TCP, protobuf requests and answers, and pings by which each end knows that the other still works.
package peer
