package relay

import "time"

// Timing of the choice between direct and relayed calls to the store.
const (
	silenceLimit  = 250 * time.Millisecond // beyond the wait that a call asks for; then the store is probed
	probeTimeout  = 500 * time.Millisecond // of a direct probe; with silenceLimit, a leader's heartbeat is relayed before it is overdue
	probeInterval = 500 * time.Millisecond // between direct probes while calls are relayed
	probeRetry    = time.Second            // between direct probes while there is no carrier
	askTimeout    = 250 * time.Millisecond // of a question to a carrier; a store that is slow for everybody takes longer
	askInterval   = time.Second            // in which maxAsked questions may be asked
	maxAsked      = 3
	maxRejections = 2                       // consecutive rejected calls after which the store is probed
	servedWithin  = 1500 * time.Millisecond // a carrier must have made a call within this time that was answered: two heartbeats of a candidate
)

// routeMode is how calls to the store are made.
type routeMode int

const (
	modeDirect   routeMode = iota // on this daemon's own connections
	modeRejected                  // likewise, though the store seems to reject this daemon: no carrier has been found yet
	modeRelayed                   // through a carrier
)

// route decides how calls to the store are made. Its methods are the events; all times are given.
type route struct {
	mode       routeMode
	carrier    string        // through which calls are relayed
	doubted    bool          // the carrier failed a call and must be asked again
	probed     bool          // the store has not answered a direct probe in this rejection
	rejections int           // consecutive direct calls that the store rejected
	servedFrom time.Time     // start of the latest direct call that the store answered
	failedFrom time.Time     // start of the latest direct call that it rejected or left unanswered
	rejectedAt time.Time     // when it last rejected one
	nextProbe  time.Time     // earliest time of the next direct probe
	askedSince time.Time     // begin of the present askInterval
	asked      int           // questions to carriers in it
	since      time.Time     // since when calls have been relayed
	total      time.Duration // time in mode relayed before since
}

// served notes that the store answered a direct call.
func (r *route) served(started time.Time) {
	if started.After(r.servedFrom) {
		r.servedFrom = started
	}
	if started.Before(r.failedFrom) {
		return // the call was sent before the store began to reject this daemon
	}
	r.rejections = 0
	if r.mode == modeRejected {
		r.mode = modeDirect
	}
}

// rejected notes that the store rejected a direct call. The store is probed after maxRejections, unless it has just
// answered a probe: it may reject the calls of one partition only.
func (r *route) rejected(started, now time.Time) {
	if r.servedFrom.After(started) {
		return // a later call was served
	}
	r.rejections++
	r.rejectedAt = now
	r.failedAfter(started)
	if r.mode == modeDirect && r.rejections >= maxRejections && !now.Before(r.nextProbe) {
		r.doubt(now)
	}
}

// silent notes that a direct call has been without an answer for longer than expected. The store is probed, unless it
// has answered a later call or, as a slow store does, a recent probe.
func (r *route) silent(started, now time.Time) {
	if r.mode != modeDirect || !r.servedFrom.Before(started) || now.Before(r.nextProbe) {
		return
	}
	r.failedAfter(started)
	r.doubt(now)
}

func (r *route) failedAfter(started time.Time) {
	if started.After(r.failedFrom) {
		r.failedFrom = started
	}
}

// doubt begins a rejection; a direct probe is due at once.
func (r *route) doubt(now time.Time) {
	r.mode, r.probed, r.nextProbe = modeRejected, false, now
}

// probeIn returns the time until the next direct probe is due, and false if none is needed.
func (r *route) probeIn(now time.Time) (time.Duration, bool) {
	return r.nextProbe.Sub(now), r.mode != modeDirect
}

// probeEnded notes the result of a direct probe. It reports whether calls are direct again that were relayed.
func (r *route) probeEnded(answered bool, started, now time.Time) bool {
	if !answered {
		r.probed = true
		r.rejectedAt = now
		r.failedAfter(started)
		r.nextProbe = started.Add(probeRetry)
		if r.mode == modeRelayed {
			r.nextProbe = started.Add(probeInterval)
		}
		return false
	}
	wasRelayed := r.mode == modeRelayed
	if wasRelayed {
		r.total += now.Sub(r.since)
	}
	r.mode, r.carrier, r.doubted, r.rejections = modeDirect, "", false, 0
	r.servedFrom, r.nextProbe = started, started.Add(probeRetry)
	return wasRelayed
}

// askIn returns the time until carriers are to be asked, and false if they needn't be.
func (r *route) askIn(now time.Time) (time.Duration, bool) {
	wanted := (r.mode == modeRejected && r.probed) || (r.mode == modeRelayed && r.doubted)
	if r.asked < maxAsked {
		return 0, wanted
	}
	return r.askedSince.Add(askInterval).Sub(now), wanted
}

// askBegins notes that a round of questions begins and returns how many may be asked.
func (r *route) askBegins(now time.Time) int {
	if now.Sub(r.askedSince) >= askInterval {
		r.askedSince, r.asked = now, 0
	}
	return maxAsked - r.asked
}

// askEnded notes the result of a round of questions: how many were asked, and the carrier found, or "". It reports
// whether the carrier has changed.
func (r *route) askEnded(asked int, carrier string, now time.Time) bool {
	r.asked += asked
	if carrier == "" {
		r.asked = maxAsked // the others are asked in the next interval
	}
	if r.mode == modeDirect {
		return false // the store has answered meanwhile
	}
	r.doubted = false
	if carrier == r.carrier {
		return false
	}
	switch {
	case carrier == "":
		r.total += now.Sub(r.since)
		r.mode, r.nextProbe = modeRejected, now
	case r.mode == modeRejected:
		r.mode, r.since, r.nextProbe = modeRelayed, now, now.Add(probeInterval)
	}
	r.carrier = carrier
	return true
}

// carrierFailed notes that a carrier refused a call, or that its answer shows that the store doesn't serve it.
func (r *route) carrierFailed(carrier string) {
	r.doubted = r.doubted || (r.mode == modeRelayed && r.carrier == carrier)
}

// serves reports whether the store serves this daemon's direct calls, so that it may be a carrier. After a rejection it
// is none for a while: a rate limit that all daemons meet is no reason to relay calls. Nor is it one after it was
// frozen, until a new call is answered: the calls that it finds waiting then are out of date.
func (r *route) serves(now time.Time) bool {
	return r.mode == modeDirect && r.rejections == 0 && now.Sub(r.servedFrom) < servedWithin && now.Sub(r.rejectedAt) > askInterval
}

// relayedFor returns the time spent in mode relayed.
func (r *route) relayedFor(now time.Time) time.Duration {
	if r.mode == modeRelayed {
		return r.total + now.Sub(r.since)
	}
	return r.total
}
