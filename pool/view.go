package pool

import (
	"fmt"
	"time"

	"gypsumlead/backing"
)

// View is the platform's list of instances as one daemon last read it.
type View struct {
	At     time.Time     // when it was read
	Lag    time.Duration // evidence older than this proves nothing
	list   []backing.Instance
	byID   map[string]int
	newest time.Time
}

// NewView indexes a list that was read at a time; it keeps the list.
func NewView(list []backing.Instance, at time.Time, lag time.Duration) View {
	v := View{At: at, Lag: lag, list: list, byID: make(map[string]int, len(list))}
	for i, in := range list {
		v.byID[in.ID] = i
		if in.Seen.After(v.newest) {
			v.newest = in.Seen
		}
	}
	return v
}

// List returns all instances of the view; the caller must not change them.
func (v View) List() []backing.Instance {
	return v.list
}

// Find returns the list's row of an instance.
func (v View) Find(id string) (backing.Instance, bool) {
	i, ok := v.byID[id]
	if !ok {
		return backing.Instance{}, false
	}
	return v.list[i], true
}

// Fresh tells whether the list as a whole is young enough to prove anything.
func (v View) Fresh(now time.Time) bool {
	return now.Sub(v.newest) <= v.Lag
}

// Loss is a member that isn't taken and isn't proved to be well.
type Loss struct {
	Instance string
	Why      string
	Sure     bool // the list is fresh and shows the loss; otherwise the state is unknown
}

// Losses returns the members that count as out without a take.
func Losses(s State, v View, now time.Time) []Loss {
	var out []Loss
	for _, m := range s.Members {
		if _, taken := s.Taken(m.ID); taken {
			continue
		}
		if why := unwell(m, v, now); why != "" {
			out = append(out, Loss{Instance: m.ID, Why: why, Sure: v.Fresh(now)})
		}
	}
	return out
}

// unwell says why the member isn't proved to be in service; an empty text means that it is well.
func unwell(m Member, v View, now time.Time) string {
	in, ok := v.Find(m.ID)
	if m.Seen.After(in.Seen) {
		// The pool's own row knows more than a list that lags behind the return.
		return aged(m.Seen, v.Lag, now)
	}
	if !ok {
		return "not in the platform's list"
	}
	if in.State != backing.StateLive {
		return string(in.State)
	}
	return aged(in.Seen, v.Lag, now)
}

// aged says that evidence is too old, or nothing.
func aged(seen time.Time, lag time.Duration, now time.Time) string {
	if now.Sub(seen) <= lag {
		return ""
	}
	return fmt.Sprintf("not seen since %s", seen.UTC().Format(time.TimeOnly))
}

// Back tells whether the instance of t is seen well under another boot than the one taken.
func Back(t Take, v View, now time.Time) (backing.Instance, bool) {
	in, ok := v.Find(t.Instance)
	if !ok || in.State != backing.StateLive || now.Sub(in.Seen) > v.Lag {
		return in, false
	}
	// A lagging list may still show the boot before the taken one, which was heard of earlier.
	return in, in.Boot != t.Boot && in.Seen.After(t.Seen)
}
