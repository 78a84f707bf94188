// Package member tracks which daemons are live: each daemon writes a row about itself to the platform's store as its
// heartbeat and follows the rows of the others.
package member
