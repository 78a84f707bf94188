// Package lease gives each duty to at most one daemon at a time: leases on table rows with fencing epochs.
package lease
