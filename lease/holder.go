package lease

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Terms are the times of a lease, each by the clock of whoever applies it.
type Terms struct {
	Life   time.Duration // a row unchanged for so long may be taken
	Margin time.Duration // by so much earlier the holder stops acting; covers clocks that run at other rates
	Renew  time.Duration // between renewals
	Poll   time.Duration // between looks of a contender
}

// DefaultTerms lets clocks differ in rate by up to a twelfth, and a renewal fail twice.
func DefaultTerms() Terms {
	return Terms{
		Life:   6 * time.Second,
		Margin: 1 * time.Second,
		Renew:  1500 * time.Millisecond,
		Poll:   1 * time.Second,
	}
}

// Holder is one process's part in one duty: at any instant at most one Holder of a duty passes
// Check, as long as no clock stops. It decides only; its times are readings of one monotonic clock.
type Holder struct {
	duty  string
	self  string
	nonce string
	terms Terms

	want    bool
	delay   time.Duration // leaves a free duty to others for so long
	idle    time.Duration // between looks while another holds it
	known   bool          // the row has been seen
	version int64         // of the beat row
	beat    Beat
	seen    time.Time // when the row's version was first seen
	looked  time.Time // when the row was last seen
	look    time.Time // when to look next
	high    int64     // highest epoch seen

	epoch int64     // mine; 0: not held
	until time.Time // end of my lease
	sent  time.Time // when the newest renewal was sent
	seq   int64
	tries []try // writes whose outcome a later look may tell
}

// try is a write that was sent.
type try struct {
	seq  int64
	sent time.Time
}

// NewHolder returns a contender that doesn't want the duty yet; nonce is unique to the process.
func NewHolder(duty, self, nonce string, t Terms) *Holder {
	return &Holder{duty: duty, self: self, nonce: nonce, terms: t, idle: t.Poll}
}

// Want sets whether the duty is wanted, after which delay a free one is taken, and how often to
// look at one that another holds. Giving up a held duty ends it at once for Check.
func (h *Holder) Want(want bool, delay, idle time.Duration) {
	h.want = want
	h.delay = delay
	h.idle = max(idle, h.terms.Poll)
	if soon := h.looked.Add(h.idle); h.known && h.look.After(soon) {
		h.look = soon
	}
	if !want {
		h.until = time.Time{}
		h.tries = nil
	}
}

// Next returns what to do at now; the outcome goes to Looked or Wrote before the next call.
func (h *Holder) Next(now time.Time) Effect {
	if !h.look.After(now) && (!h.known || !h.look.IsZero()) {
		return Look{Key: BeatKey(h.duty)}
	}
	if !h.known {
		return Wait{Until: h.look}
	}
	if h.epoch != 0 {
		return h.keep(now)
	}
	if !h.want {
		return Wait{Until: now.Add(h.idle)}
	}
	// A write on an old look would mostly lose to a renewal and cost the table's budget.
	if h.looked.Before(h.freeAt()) {
		return Wait{Until: h.look}
	}
	return Write{Do: DoAcquire, Ops: h.acquire(now)}
}

// keep renews or gives back what is held.
func (h *Holder) keep(now time.Time) Effect {
	if !h.want {
		return Write{Do: DoRelease, Ops: h.rewrite(Beat{Epoch: h.epoch})}
	}
	if due := h.sent.Add(h.terms.Renew); now.Before(due) {
		return Wait{Until: due}
	}
	h.sent = now
	return Write{Do: DoRenew, Ops: h.rewrite(h.mine(h.epoch, now))}
}

// freeAt returns when the row may be taken as far as it is known: at once where it was handed
// back, else after it stayed unchanged for its life by this process's clock.
func (h *Holder) freeAt() time.Time {
	if h.beat.Holder == "" || h.beat.Nonce == h.nonce {
		return h.seen.Add(h.delay)
	}
	return h.seen.Add(max(h.beat.life(), h.terms.Life)).Add(h.delay)
}

// acquire returns the steps that take the duty under the next epoch.
func (h *Holder) acquire(now time.Time) []backing.Op {
	h.sent = now
	b := h.mine(h.beat.Epoch+1, now)
	return []backing.Op{
		backing.Put{Key: EpochKey(h.duty), IfVersion: h.beat.Epoch, Value: encode(owner{h.self, h.nonce})},
		backing.Put{Key: BeatKey(h.duty), IfVersion: h.version, Value: encode(b)},
	}
}

// rewrite returns the steps that write b under the epoch held.
func (h *Holder) rewrite(b Beat) []backing.Op {
	return []backing.Op{
		backing.Check{Key: EpochKey(h.duty), Version: h.epoch},
		backing.Put{Key: BeatKey(h.duty), IfVersion: h.version, Value: encode(b)},
	}
}

// mine returns a row of this process and remembers when it was sent.
func (h *Holder) mine(epoch int64, now time.Time) Beat {
	h.seq++
	h.tries = append(h.tries, try{h.seq, now})
	return Beat{Epoch: epoch, Holder: h.self, Nonce: h.nonce, Seq: h.seq, Life: h.terms.Life.Milliseconds()}
}

// LookFailed takes in that the row couldn't be read.
func (h *Holder) LookFailed(now time.Time) {
	h.look = now.Add(h.terms.Poll)
}

// Looked takes in the beat row that was read; now is when the answer came.
func (h *Holder) Looked(now time.Time, row backing.Row) error {
	h.look = now.Add(h.idle)
	h.looked = now
	b, err := decodeBeat(row)
	if err != nil {
		return err
	}
	if b.Epoch < h.high {
		h.known = false
		h.lose()
		return fault.New(fault.Breach, "lease of %s: epoch went back from %d to %d", h.duty, h.high, b.Epoch)
	}
	if !h.known || row.Version != h.version {
		h.seen = now
	}
	h.known = true
	h.version = row.Version
	h.beat = b
	h.high = b.Epoch
	h.adopt(now)
	return nil
}

// adopt finds out whether the row is this process's, also where the answer to its write was lost.
func (h *Holder) adopt(now time.Time) {
	if h.beat.Holder == "" || h.beat.Nonce != h.nonce {
		h.lose()
		return
	}
	h.look = time.Time{}
	if h.epoch != h.beat.Epoch {
		h.until = time.Time{}
	}
	h.epoch = h.beat.Epoch
	for _, t := range h.tries {
		if t.seq == h.beat.Seq && h.want {
			h.extend(t.sent)
		}
	}
	h.forget(now)
}

// Wrote takes in the outcome of the Write that Next returned last; now is when the answer came.
func (h *Holder) Wrote(now time.Time, do Do, err error) {
	if err != nil {
		h.missed(now, err)
		return
	}
	h.version++
	h.seen = now
	h.looked = now
	if do == DoRelease {
		h.beat = Beat{Epoch: h.epoch}
		h.lose()
		h.look = now.Add(h.idle)
		return
	}
	if do == DoAcquire {
		h.epoch = h.beat.Epoch + 1
		h.until = time.Time{}
	}
	h.high = h.epoch
	h.beat = Beat{Epoch: h.epoch, Holder: h.self, Nonce: h.nonce, Seq: h.seq, Life: h.terms.Life.Milliseconds()}
	h.look = time.Time{}
	if h.want {
		h.extend(h.sent)
	}
	h.forget(now)
}

// Unsent takes in that the Write that Next returned last was not sent at all.
func (h *Holder) Unsent(now time.Time) {
	h.look = now
}

// missed plans a look, at once where another write came first, else when the store may be well again.
func (h *Holder) missed(now time.Time, err error) {
	h.look = now
	if !fault.Is(err, fault.Conflict) {
		h.look = now.Add(h.terms.Poll / 2)
	}
}

// extend moves the end of the lease to a life after the write that renewed it was sent.
func (h *Holder) extend(sent time.Time) {
	if end := sent.Add(h.terms.Life); end.After(h.until) {
		h.until = end
	}
}

// lose ends the hold.
func (h *Holder) lose() {
	h.epoch = 0
	h.until = time.Time{}
	h.tries = nil
}

// forget drops tries that could extend the lease no more.
func (h *Holder) forget(now time.Time) {
	for len(h.tries) > 0 && now.Sub(h.tries[0].sent) > h.terms.Life {
		h.tries = h.tries[1:]
	}
}

// Check tells, right before an action, whether the duty is held for sure; else its error is of kind fault.Fenced.
func (h *Holder) Check(now time.Time) error {
	if h.Holds(now) {
		return nil
	}
	return fault.New(fault.Fenced, "%s doesn't hold duty %s, or its lease may have ended", h.self, h.duty)
}

// Holds tells whether the duty is held for sure at now.
func (h *Holder) Holds(now time.Time) bool {
	return h.epoch != 0 && h.want && now.Before(h.until.Add(-h.terms.Margin))
}

// Epoch returns the epoch that is held, or 0.
func (h *Holder) Epoch() int64 { return h.epoch }

// Cond returns the step that conditions a transaction on epoch still being the duty's newest.
func Cond(duty string, epoch int64) backing.Op {
	return backing.Check{Key: EpochKey(duty), Version: epoch}
}
