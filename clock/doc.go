// Package clock provides a steady clock that also counts the time during which the machine was suspended.
package clock
