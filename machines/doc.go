// Package machines has machines moved between pools and maintained. For each pool the daemon that schedules it reports what it has, wants and can spare; one daemon, the master, gives all orders for machines.
package machines
