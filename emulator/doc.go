// Package emulator runs complete daemons against the stand-in of the platform in one process. It generates load,
// operator requests and faults, and reports violations of the invariants. In a testing/synctest bubble a scenario takes
// seconds.
package emulator
