package jobtrial

// join adds another pool's result; rates are weighed by the pools' number, quantiles take the worst.
func (r *Result) join(o Result) {
	n := float64(r.Pools)
	r.Used = (r.Used*n + o.Used) / (n + 1)
	r.Useful = (r.Useful*n + o.Useful) / (n + 1)
	r.Pools += o.Pools
	r.Workers += o.Workers
	r.Jobs += o.Jobs
	r.Starts += o.Starts
	r.Urgent.join(o.Urgent)
	r.Amid.join(o.Amid)
	r.Flood.join(o.Flood)
	r.Plain += o.Plain
	r.Low += o.Low
	r.High += o.High
	r.Doubled += o.Doubled
	r.Again += o.Again
	r.Stopped += o.Stopped
	r.Throttle += o.Throttle
	r.Wasted += o.Wasted
	r.Right += o.Right
	r.Wrong += o.Wrong
	r.Missed += o.Missed
	r.Refused += o.Refused
	r.Unfit += o.Unfit
	r.Broken += o.Broken
	r.Caught += o.Caught
	r.Accused += o.Accused
	r.Bytes += o.Bytes
	r.Commits += o.Commits
	r.Rows += o.Rows
	r.Count.Workers += o.Count.Workers
	r.Count.Jobs += o.Count.Jobs
	r.Count.Tries += o.Count.Tries
	r.Count.Waiting += o.Count.Waiting
}

func (l *Latency) join(o Latency) {
	l.Count += o.Count
	l.Late += o.Late
	l.P50 = max(l.P50, o.P50)
	l.P99 = max(l.P99, o.P99)
	l.Max = max(l.Max, o.Max)
}
