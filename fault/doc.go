// Package fault is the closed list of error kinds and the one table from a kind to the answer that a caller or operator gets.
package fault
