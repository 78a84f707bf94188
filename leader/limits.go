package leader

import "time"

// Timeouts, intervals and limits of a leader.
const (
	LeaseGrace          = 6500 * time.Millisecond // a leader that the store does not answer continues for this long after its last heartbeat has timed out, and so do leases of runners
	lateOrders          = 12 * time.Second        // after which an order that wasn't answered isn't executed any more
	clockSlack          = 500 * time.Millisecond  // added to computed end times, for a runner's clock and orders in transit
	callTimeout         = 2 * time.Second         // for a call to the store; a slow store takes several hundred milliseconds
	restoreTimeout      = 20 * time.Second        // for loading the state of earlier leaders, which takes many calls one after the other
	restoreCallTimeout  = 4 * time.Second         // for each of them; three are made at the same time
	restorePageRows     = 100                     // rows that one of them loads, so that a slow link carries them in time
	confirmInterval     = 2 * time.Second         // after the last sign that the lease is still this leader's, until it is read
	confirmRetryDelay   = 500 * time.Millisecond  // after a reading of it that failed
	slowCommit          = 700 * time.Millisecond  // a commit that takes longer may never be answered; a slow store takes some 400 ms
	storeRetryInterval  = 100 * time.Millisecond  // between attempts of a call to the store
	pollWait            = time.Second             // how long a runner holds a poll open until a run ends
	pollSlack           = 700 * time.Millisecond  // added to the wait for the timeout of a poll
	pollInterval        = 15 * time.Millisecond   // between polls of a runner, so that runs that end together are in one answer
	pollRetryInterval   = 250 * time.Millisecond  // after an unanswered poll
	maxCommitWait       = 300 * time.Millisecond  // longest delay of a poll until the ends of the last one are stored
	orderTimeout        = 600 * time.Millisecond  // for an order to a runner; allows for many round trips
	startTime           = 500 * time.Millisecond  // from the decision to start a task until it has started: an order and its way
	countFreshness      = 2 * time.Second         // of the last reading of the inbox, for counts of pending jobs, which may be 2 s old
	formerTimeout       = 600 * time.Millisecond  // for reading which services have jobs of a queue, for a number of pending jobs
	idleInterval        = 200 * time.Millisecond  // between plans, and between checks for changes to commit, without an event
	minPlanInterval     = 5 * time.Millisecond    // between plans, so that events in this time are planned together
	planShare           = 3                       // the pause between plans is at least this many times as long as the last plan took
	maxInboxLoads       = 16                      // jobs that other daemons stored, loaded from the store at the same time
	finishedSlack       = 30 * time.Second        // for which finished jobs are kept beyond the time for which callers may ask for their state
	forgetInterval      = 5 * time.Second         // between removals of finished jobs
	maxBatchJobs        = 40                      // jobs in one transaction
	maxStartEntries     = 50                      // transaction entries that new jobs leave to the progress of jobs whose starts wait
	maxGatesAhead       = 16                      // gates of queues that are opened at a change of the configuration; the others when a job needs them
	maxBatchGates       = 8                       // queues of the jobs in one transaction; each takes an entry
	maxBatchBytes       = 400 << 10               // of these jobs' rows
	maxTxBytes          = 700 << 10               // of all rows of a transaction; the store accepts 1 MB, and its encoding adds a third
	entriesPerJob       = 2                       // transaction entries for each job: its condition and its row, or two rows to delete
	fixedEntries        = 2 + shardCount          // transaction entries for the lease row's condition, the lease row and the rows of the runners
	MaxRowBytes         = 48 << 10                // of a row's value; the store accepts 64 KB, and its encoding adds a third
	maxConcurrentOrders = 2                       // orders sent to one runner at the same time
)
