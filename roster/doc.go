// Package roster is a daemon's view of the platform's list of instances, with what it has learned sooner of instances that are leaving.
package roster
