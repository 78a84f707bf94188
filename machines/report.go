package machines

// Report is a pool's state and needs, sent to the coordinator.
type Report struct {
	Service  string
	Term     int            // of the pool's leader; 0 in reports of earlier releases
	Want     int            // desired number of machines
	Machines []string       // machines that take work, or will soon
	Offers   []string       // empty machines that may be moved to another pool
	Ready    []ReadyMachine // empty machines that may have their maintenance
}

// Reply is the coordinator's answer to a report.
type Reply struct {
	Known bool // whether the coordinator has evaluated the list of machines yet
	Short int  // machines that pools need beyond the free ones
	Floor int  // machines that a pool keeps while no pool is short
}

// ReadyMachine is a machine that a wave may take down now.
type ReadyMachine struct {
	Machine string
	Wave    int64 // number of the wave
}
