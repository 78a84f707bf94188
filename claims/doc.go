// Package claims keeps what the daemons share about machines: the platform's list of machines, and one claim row
// per machine. The row names the daemon that may give the machine orders, and its version is the fencing token of
// those orders.
package claims
