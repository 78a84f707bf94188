// Package upkeep carries the operator's maintenance waves out: it has machines emptied, keeps at most the allowed number down at once over all daemons, and tells the operator when a wave is completed.
package upkeep
