package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/work"
)

const (
	decisionShare  = 50               // the pause between two decisions is at least this many times as long as the last one took:
	cheapDecision  = time.Millisecond // plans are due most when most jobs wait, and a decision then takes longer than a plan
	fleetFreshness = 30 * time.Second // of the list of machines, for refusals; machines are added and removed by operators
)

// Causes of refusals and of tries that are turned down because of one, for the metrics.
const (
	causeFull    = "full"    // the job is certain to miss its late objective
	causeEarlier = "earlier" // the try may be older than a refused one; answered as unknown
	causeCancel  = "cancel"  // the job was cancelled before it was stored
)

// admission is the state on which a leader decides whether to refuse jobs.
type admission struct {
	refused     refusedRows
	causes      map[string]int64
	fleetCPU    int64 // of all machines, which a move may bring
	fleetReadAt time.Time
	decidedAt   time.Time
	took        time.Duration // by the last decision
	reading     bool          // the list of machines is being read
}

func newAdmission() admission {
	return admission{refused: newRefusedRows(), causes: map[string]int64{}}
}

// Refusals returns how many jobs were refused and how many tries were turned down because of a refusal, by cause.
func (l *Leader) Refusals() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.admission.causes)
}

// admit decides on a new submission: it may become a refusal, or replace a refused row. It returns a result and false if a refused
// row keeps the try out.
func (l *Leader) admit(in *intent) (Result, bool) {
	if row, ok := l.admission.refused.byID[in.id]; ok {
		in.version = row.version
		if result, out := l.keptOut(row, in); out {
			return result, false
		}
	}
	now := l.Now()
	if len(l.workspaces) == 0 || !l.leaseConfirmed(now) || !l.pool.MayRefuse(now, in.row.Queue, in.row.Job) || !l.fleetKnown(now) {
		return Result{}, true
	}
	if l.admission.took > cheapDecision && now.Sub(l.admission.decidedAt) < decisionShare*l.admission.took {
		return Result{}, true
	}
	retry, refused := l.pool.Refusal(now, time.Now(), in.id, in.row.Queue, in.row.Job, l.admission.fleetCPU)
	l.admission.decidedAt = l.Now()
	l.admission.took = l.admission.decidedAt.Sub(now)
	if refused {
		in.kind, in.retry = refuseJob, retry
	}
	return Result{}, true
}

// keptOut returns the result of a try that a refused row keeps out, and false if it may replace the row.
func (l *Leader) keptOut(row refusedRow, in *intent) (Result, bool) {
	result, out := row.check(in.row.Job.Workspace, in.seen)
	if out && result.Verdict == Withdrawn {
		l.admission.causes[causeCancel]++
	} else if out {
		l.admission.causes[causeEarlier]++
	}
	return result, out
}

// fleetKnown reports whether the list of machines was read lately. If not, it is read in the background.
func (l *Leader) fleetKnown(now time.Time) bool {
	if l.Machines == nil {
		return true // no machine ever changes its pool
	}
	if !l.admission.fleetReadAt.IsZero() && now.Sub(l.admission.fleetReadAt) < fleetFreshness {
		return true
	}
	if !l.admission.reading && l.group != nil {
		l.admission.reading = true
		l.group.Go(func() error {
			l.readFleet(l.ctx)
			return nil
		})
	}
	return false
}

// readFleet reads the list of machines.
func (l *Leader) readFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	machines, ok := l.Machines(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.reading = false
	if !ok {
		return // read again for the next job
	}
	l.admission.fleetCPU, l.admission.fleetReadAt = 0, l.Now()
	for _, m := range machines {
		l.admission.fleetCPU += m.Room.CPU
	}
}

// refusedStored answers the callers of a job whose refusal is stored.
func (l *Leader) refusedStored(in *intent) {
	l.admission.refused.note(in.id, refusedRow{version: l.leaseVersion, at: in.row.At, refusedAt: l.leaseVersion, cancelled: in.replaced.cancelled})
	l.admission.causes[causeFull]++
	l.Log.Info("job refused", zap.String("job", string(in.id)), zap.String("workspace", in.row.Job.Workspace), zap.Duration("retry", in.retry))
	in.reply(Result{Verdict: Refused, Full: true, Retry: in.retry, Why: "the service can't finish the job in time"})
}

// olderTry returns the result of a try that may be older than a refused one. It claims nothing, and nothing of it is stored.
func olderTry() Result {
	return Result{Verdict: Unknown, Why: "another try of the job was refused, and this one may be older"}
}

// forgetRefused removes the refused rows that no late write of an earlier try, and no repeat, can meet any more.
func (l *Leader) forgetRefused(now time.Time) {
	for id, row := range l.admission.refused.byID {
		if now.Sub(row.at) < refusedTTL || l.writesJobRow(id) {
			continue
		}
		l.admission.refused.forget(id)
		l.intents = append(l.intents, &intent{kind: deleteRefused, id: id, version: row.version})
	}
}

// writesJobRow reports whether a pending intent is to write the row at a job's key.
func (l *Leader) writesJobRow(id work.ID) bool {
	return slices.ContainsFunc(l.intents, func(in *intent) bool { return in.id == id && (in.submission() || in.kind == keepOut) })
}

// pendingSubmission returns the pending submission or refusal of a job, or nil.
func (l *Leader) pendingSubmission(id work.ID) *intent {
	for _, in := range l.intents {
		if in.id == id && in.submission() {
			return in
		}
	}
	return nil
}

// submission reports whether callers wait for the intent's job to be stored.
func (in *intent) submission() bool { return in.kind == storeJob || in.kind == refuseJob }

// answered reports whether callers wait for the intent.
func (in *intent) answered() bool { return in.submission() || in.kind == keepOut }
