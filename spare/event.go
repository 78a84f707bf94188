package spare

// Event is what the lender learns: Observe, Began or Moved.
type Event interface{ event() }

// Observe is a pool's state as its holder sees it; a pool observed for the first time joins.
type Observe struct {
	Pool  string
	Have  int     // instances that belong to it, those on their way out included
	Lent  int     // of those, whose home is the spare pool; read when the pool joins
	Out   int     // instances out for causes other than these moves
	Limit int     // of its availability budget on instances out
	Asked float64 // instances' worth of demand, served or not
}

// Began is a move under way that an earlier holder of the duty began.
type Began struct {
	From, To string
}

// Moved is the end of one move: the instance serves in the pool To.
type Moved struct {
	From, To string
}

func (Observe) event() {}
func (Began) event()   {}
func (Moved) event()   {}

// Effect is what has to be done: Move.
type Effect interface{ effect() }

// Move takes one instance out of From, drains and reboots it, and puts it into To.
type Move struct {
	From, To string
	Why      string
}

func (Move) effect() {}
