// Package maintenance decides the order in which the machines of the operator's maintenance waves are evacuated and
// taken down. It has no side effects.
package maintenance
