// Package maintenance decides the order in which the machines of the operator's maintenance waves are emptied and taken down. It is pure.
package maintenance
