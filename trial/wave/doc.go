// Package wavetrial measures maintenance waves on virtual time: roll-out time, capacity in use, and the cost of deciding.
package wavetrial
