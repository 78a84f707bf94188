package job

// State is where a task stands.
type State string

// The states of a task.
const (
	Waiting    State = "waiting"    // has no try that can be running
	Live       State = "live"       // its try is to be started or runs
	Throttling State = "throttling" // is to be slowed down
	Slow       State = "slow"       // acknowledged that it is slowed down
	Saving     State = "saving"     // is to be checkpointed and to leave its worker
	Stopping   State = "stopping"   // is to be stopped
	Off        State = "off"        // acknowledged its stop; the last report isn't read yet
	Lost       State = "lost"       // its worker is silent; the try ends with its lease
	Done       State = "done"
	Dropped    State = "dropped" // given up or cancelled
)

// Input is what can happen to a task.
type Input string

// The inputs of a task.
const (
	Place    Input = "place"    // a try is decided on
	Throttle Input = "throttle" // slowing down is decided on
	Slowed   Input = "slowed"   // the worker acknowledged the throttle
	Save     Input = "save"     // checkpointing is decided on
	Stop     Input = "stop"     // stopping is decided on
	Acked    Input = "acked"    // the worker acknowledged the stop
	Silence  Input = "silence"  // the worker isn't heard of
	Heard    Input = "heard"    // the try is reported as running
	Finish   Input = "finish"   // the try is reported as done
	End      Input = "end"      // the try ended and another may follow
	Drop     Input = "drop"     // no other try may follow
)

// transitions has a row for each state; an input that isn't in the row is a breach.
var transitions = map[State]map[Input]State{
	Waiting:    {Place: Live, Drop: Dropped},
	Live:       {Throttle: Throttling, Save: Saving, Stop: Stopping, Silence: Lost, Heard: Live, Finish: Done, End: Waiting, Drop: Dropped},
	Throttling: {Slowed: Slow, Save: Saving, Stop: Stopping, Silence: Lost, Heard: Throttling, Finish: Done, End: Waiting, Drop: Dropped},
	Slow:       {Save: Saving, Stop: Stopping, Silence: Lost, Heard: Slow, Finish: Done, End: Waiting, Drop: Dropped},
	Saving:     {Stop: Stopping, Silence: Lost, Heard: Saving, Finish: Done, End: Waiting, Drop: Dropped},
	Stopping:   {Acked: Off, Silence: Lost, Heard: Stopping, Finish: Done, End: Waiting, Drop: Dropped},
	Off:        {Finish: Done, End: Waiting, Drop: Dropped, Heard: Off},
	Lost:       {Heard: Live, Stop: Stopping, Finish: Done, End: Waiting, Drop: Dropped},
	Done:       {},
	Dropped:    {},
}

// holds tells whether a task in state s holds its guaranteed size on a worker.
func (s State) holds() bool {
	switch s {
	case Live, Throttling, Slow, Saving, Stopping, Lost:
		return true
	}
	return false
}

// runs tells whether a task in state s goes on until somebody acts.
func (s State) runs() bool {
	return s == Live || s == Throttling || s == Slow
}
