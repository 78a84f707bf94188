// Package entry is the callers' side of the daemon: it admits their requests, hands them to the runners and answers each with exactly one outcome.
package entry
