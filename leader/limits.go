package leader

import "time"

// Times of a holder.
const (
	LeaseGrace  = 8 * time.Second        // a holder that the store doesn't answer goes on for this long after its last sign of life has lapsed
	clockSlack  = 500 * time.Millisecond // beyond computed ends: a runner's clock, an order on its way
	callLimit   = 2 * time.Second        // for a call to the store; a slow store takes some hundred milliseconds
	loadLimit   = 4 * time.Second        // for reading what earlier holders left: some calls, one after the other
	retryGap    = 100 * time.Millisecond // between two tries of a call to the store
	lookWait    = time.Second            // an answer to a look waits so long for an end
	lookSlack   = 700 * time.Millisecond // beyond that, a look counts as not answered
	lookGap     = 15 * time.Millisecond  // between two looks at a runner: ends of the same moment come in one answer
	lookAgain   = 250 * time.Millisecond // after a look that wasn't answered
	saveWait    = 300 * time.Millisecond // longest that a look waits for the store to have the ends of the last one
	orderLimit  = 600 * time.Millisecond // for an order to a runner; many round trips
	tick        = 200 * time.Millisecond // between two plans where nothing happens
	planGap     = 5 * time.Millisecond   // between two plans: what happens meanwhile is planned together
	keepFinal   = 150 * time.Second      // callers may ask for a job's state for 120 s after its end
	sweepEvery  = 5 * time.Second        // between two looks for jobs that may be forgotten
	batchMost   = 40                     // jobs in one transaction
	batchBytes  = 400 << 10              // of their rows; the store takes 1 MB, and a third comes on top for its form
	entriesEach = 2                      // of a transaction for each job: its condition and its row, or two rows to remove
	entriesOwn  = 2 + shards             // for the seat's condition, its row, and the rows of the runners
	rowMost     = 48 << 10               // bytes of a row; the store takes 64 KB, in its form a third longer
	orderAtOnce = 2                      // orders to one runner at a time
)
