// Package standin emulates the users' platform in one process: the table store, runners, machines and the operator,
// over a network whose links can be cut. It injects that platform's faults and records every violation of an invariant
// that it observes.
package standin
