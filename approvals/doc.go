// Package approvals makes a daemon's calls to the platform's policy service: one at a time, the most urgent first, with timeouts by
// the terms that the service states, and with a pause between calls while it fails.
package approvals
