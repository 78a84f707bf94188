// Package clock is a steady clock that also counts the time for which the machine was suspended.
package clock
