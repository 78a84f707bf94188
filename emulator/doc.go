// Package emulator runs whole daemons against the stand-in of the users' platform, in one process: it makes the load, the operator's wishes and the faults of a day, and reports the promises that were broken. In a testing/synctest bubble a day takes seconds.
package emulator
