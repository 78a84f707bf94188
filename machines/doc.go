// Package machines moves machines between pools and takes them through maintenance. For each pool, the daemon that
// schedules it reports how many machines the pool has, needs and can release. One daemon, the coordinator, gives all
// orders for machines.
package machines
