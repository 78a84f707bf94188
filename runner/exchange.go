package runner

import (
	"sync/atomic"

	"gypsumlead/fault"
)

const triesLimit = 3 // attempts of one request in all

// exchange is one request on its way. Unless it is idempotent it is handed to the kernel at
// most once, and it ends as not run only if it was never handed over.
type exchange struct {
	req   *Request
	tries int
	sent  int         // attempts of which a byte was handed to the kernel
	spent atomic.Bool // the body was read, and a part of it can't be read again
	last  error       // of the newest attempt that had an upstream
	tried *upstream   // by that attempt
}

// begin checks that one more attempt is allowed.
func (x *exchange) begin() error {
	if x.sent > 0 && !x.req.Idempotent {
		return fault.New(fault.Breach, "%s %s would be sent a second time", x.req.Method, x.req.URL.Path)
	}
	x.tries++
	return nil
}

// attempted turns the error of one attempt into a breach if it calls not run what was sent.
func (x *exchange) attempted(touched bool, err error) error {
	if touched && fault.AnswerTo(fault.KindOf(err)).Outcome == fault.NotRun {
		return fault.Wrap(fault.Breach, err, "an attempt of %s %s was sent and is called not run", x.req.Method, x.req.URL.Path)
	}
	return err
}

// again tells whether a failed attempt may be followed by another.
func (x *exchange) again(budget *retryBudget) bool {
	if x.tries >= triesLimit || x.spent.Load() {
		return false
	}
	if x.sent == 0 {
		return true
	}
	return x.req.Idempotent && x.req.replayable() && budget.spend()
}

// fail returns what the caller is told: err, unless an earlier attempt may have run.
func (x *exchange) fail(err error) error {
	if x.sent > 0 && fault.AnswerTo(fault.KindOf(err)).Outcome == fault.NotRun {
		err = fault.Wrap(fault.Broken, x.last, "sent before, and it can't be sent again: %v", err)
	}
	return x.check(err)
}

// check turns an error that contradicts what was sent into a breach.
func (x *exchange) check(err error) error {
	outcome := fault.AnswerTo(fault.KindOf(err)).Outcome
	if x.sent > 0 && outcome == fault.NotRun {
		return fault.Wrap(fault.Breach, err, "%s %s was sent %d times and is called not run", x.req.Method, x.req.URL.Path, x.sent)
	}
	if x.sent > 1 && !x.req.Idempotent {
		return fault.Wrap(fault.Breach, err, "%s %s was sent %d times", x.req.Method, x.req.URL.Path, x.sent)
	}
	return err
}
