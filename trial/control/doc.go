// Package control measures what control costs a daemon that has nothing to do: bytes on the network, processor time and memory, with real daemons over loopback.
package control
