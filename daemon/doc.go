// Package daemon assembles one daemon of the fleet: it accepts callers' jobs and leads some of the services of the
// users' platform.
package daemon
