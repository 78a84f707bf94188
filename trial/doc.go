// Package trial plays a load on the scheduler on virtual time, under a way of deciding, so that ways can be compared on the same seeds and loads.
package trial
