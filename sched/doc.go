// Package sched decides what runs where in one pool of runners: which task starts on which runner, what is stopped, slowed or moved. It is pure: events and the time come in, orders come out.
package sched
