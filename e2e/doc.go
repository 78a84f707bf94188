// Package e2e holds the end-to-end tests: the daemons, the stand-ins and the operators' verbs as separate processes on loopback.
package e2e
