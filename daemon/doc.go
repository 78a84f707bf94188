// Package daemon assembles one daemon of the fleet on the users' platform: it takes callers' jobs and holds the seats of some services.
package daemon
