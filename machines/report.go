package machines

// Report is what a pool has and wants.
type Report struct {
	Service  string
	Want     int      // machines that it should have
	Machines []string // that take work, or soon will
	Offers   []string // that are empty and may be moved elsewhere
	Ready    []Ready  // that are empty and may have their maintenance
}

// Ready is a machine that a wave may take down now.
type Ready struct {
	Machine string
	Wave    int64
}
