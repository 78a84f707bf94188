// Package trial simulates a workload on the scheduler in virtual time, so that scheduling strategies can be compared on
// the same seeds and workloads.
package trial
