// Package cli is the command line: the daemon, the demo, the trials, and the operators' verbs.
package cli
