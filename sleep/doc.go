// Package sleep provides sleeps that the end of a context or a wake-up interrupts.
package sleep
