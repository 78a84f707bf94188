package leader

import (
	"time"

	"go.uber.org/zap"
)

const (
	takeoverLogDelay = 2 * time.Second // a runner that hasn't answered a new leader within this time is logged
	maxLoggedRunners = 8
)

// takeoverLog tells which runners of earlier leaders a new leader waits for.
type takeoverLog struct {
	startedAt time.Time
	logged    bool // the runners that don't answer were logged
	done      bool
}

// logUnresolved logs once which runners have not answered takeoverLogDelay after the acquisition, and once that none is
// waited for any more.
func (l *Leader) logUnresolved(now time.Time, takeover *takeoverLog) {
	if takeover.done || now.Sub(takeover.startedAt) < takeoverLogDelay {
		return
	}
	l.mu.Lock()
	runners, jobs := l.pool.Unresolved()
	l.mu.Unlock()
	switch {
	case len(runners) == 0:
		takeover.done = true
		if takeover.logged {
			l.Log.Info("no inherited runner is waited for any more", zap.Duration("after", now.Sub(takeover.startedAt)))
		}
	case !takeover.logged:
		takeover.logged = true
		var names []string
		for _, r := range runners[:min(len(runners), maxLoggedRunners)] {
			names = append(names, r.ID+" in "+r.Centre)
		}
		l.Log.Warn("inherited runners don't answer; jobs that may run there wait", zap.Int("runners", len(runners)), zap.Strings("first", names), zap.Int("jobs", jobs))
	}
}
