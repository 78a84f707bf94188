// Package sched schedules the tasks of one pool of runners: which task starts on which runner, and which runs are
// stopped, slowed down or moved. It does no I/O: it takes events and the current time and returns orders.
package sched
