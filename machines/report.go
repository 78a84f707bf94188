package machines

// Report is what a pool has and wants.
type Report struct {
	Service  string
	Want     int            // machines that it should have
	Machines []string       // that take work, or soon will
	Offers   []string       // that are empty and may be moved elsewhere
	Ready    []ReadyMachine // that are empty and may have their maintenance
}

// Reply is what the master answers to a report.
type Reply struct {
	Known bool // whether the master has looked at the machines yet
	Short int  // machines that pools want and that are not free
	Floor int  // machines that a pool keeps while none is short
}

// ReadyMachine is a machine that a wave may take down now.
type ReadyMachine struct {
	Machine string
	Wave    int64
}
