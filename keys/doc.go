// Package keys is mutual TLS between daemons, and TLS of the operators' interface, from files that may be replaced while the daemon runs.
package keys
