package standin

import (
	"net/http"
	"time"

	"gypsumlead/work"
)

// keyRecord is what the checker knows of a key that a configuration had.
type keyRecord struct {
	workspace   string
	addedAt     time.Time
	withdrawnAt time.Time // zero while the newest configuration has it
}

// KeyUse is a request with a key, and its answer.
type KeyUse struct {
	Key string
	Request
}

// served reports whether the request was handled for its key: it was not refused for it, nor because nothing is known.
func (u KeyUse) served() bool {
	return u.Status != 0 && u.Status != http.StatusUnauthorized && u.Status != http.StatusNotFound && u.Status < http.StatusInternalServerError
}

// KeysInForce records that the store has acknowledged a configuration with these keys; the values are the names of their
// workspaces.
func (c *Checker) KeysInForce(keys map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, workspace := range keys {
		if record, ok := c.keys[key]; !ok || !record.withdrawnAt.IsZero() {
			c.keys[key] = &keyRecord{workspace: workspace, addedAt: now}
		}
	}
	for key, record := range c.keys {
		if _, ok := keys[key]; !ok && record.withdrawnAt.IsZero() {
			record.withdrawnAt = now
		}
	}
}

// KeyAnswered checks the answer to a request on a route that needs a key. It is a violation if the request is served though
// no configuration ever had the key, or, by a daemon in contact with the store, if it is served though the key was withdrawn
// longer ago than ApplyTime, or refused for its key though that has been valid for longer.
func (c *Checker) KeyAnswered(use KeyUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.keys[use.Key]
	refused := use.Status == http.StatusUnauthorized
	c.countKeyUse(record, use, refused)
	switch {
	case !ok && use.served():
		c.addViolation("%s answered %d to a request with the key %q, which no configuration had", use.Daemon, use.Status, use.Key)
	case !ok:
	case !record.withdrawnAt.IsZero() && use.served() && use.must(record.withdrawnAt):
		c.addViolation("%s answered %d to a request of %v with the key %q, withdrawn %v before", use.Daemon, use.Status, use.SentAt.Format(time.TimeOnly), use.Key, use.SentAt.Sub(record.withdrawnAt))
	case record.withdrawnAt.IsZero() && refused && use.must(record.addedAt):
		c.addViolation("%s refused the key %q in a request of %v, valid for %v", use.Daemon, use.Key, use.SentAt.Format(time.TimeOnly), use.SentAt.Sub(record.addedAt))
	}
}

// countKeyUse counts an answer; the caller holds c.mu.
func (c *Checker) countKeyUse(record *keyRecord, use KeyUse, refused bool) {
	switch {
	case use.served():
		c.keyUses.Served++
	case refused && record == nil:
		c.keyUses.Unknown++
	case refused && !record.withdrawnAt.IsZero():
		c.keyUses.Withdrawn++
	}
}

// KeyUses are the numbers of answers to requests with keys.
type KeyUses struct {
	Served    int
	Unknown   int // refused with 401, with a key that no configuration had
	Withdrawn int // refused with 401, with a key that was withdrawn
	Strangers int // told that another workspace's job doesn't exist, or that its ID can't be used
}

// KeyUses returns the numbers so far.
func (c *Checker) KeyUses() KeyUses {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keyUses
}

// StrangerAnswered checks the answer to a request about an accepted job with a valid key of another workspace than the
// job's. It is a violation if the job is shown, cancelled or accepted.
func (c *Checker) StrangerAnswered(id work.ID, method, daemon string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want := http.StatusGone
	if method == http.MethodPost {
		want = http.StatusConflict
	}
	switch {
	case status == want:
		c.keyUses.Strangers++
	case status == 0 || status == http.StatusUnauthorized || status >= http.StatusInternalServerError:
	default:
		c.addViolation("%s answered %d to a %s of job %s with another workspace's key", daemon, status, method, id)
	}
}

// OwnerAnswered checks the answer to a request about the state of a job, by the caller that submitted it. It is a violation if
// the job is said not to exist, and an earlier answer accepted it.
func (c *Checker) OwnerAnswered(id work.ID, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusGone && c.jobs[id].accepted {
		c.addViolation("the caller of the accepted job %s was told that there is none", id)
	}
}
