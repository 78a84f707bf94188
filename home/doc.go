// Package home keeps which service holds the jobs of a queue. A job is stored in the partition of the service that its queue is
// sent to at that time, and stays there when a later configuration sends the queue to another service. The package decides, for
// all daemons and across their restarts, into which one partition new jobs of a queue may be stored, and which others may
// hold earlier ones.
package home
