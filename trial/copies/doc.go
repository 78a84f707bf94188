// Package copies studies second copies of idempotent requests by criticality, failure probability and load, on virtual time.
package copies
