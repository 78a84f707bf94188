package leader

import (
	"maps"
	"slices"
	"time"

	"gypsumlead/work"
)

// isolationRetry is the time after which a part of a commit that the store has refused by itself is tried again.
const isolationRetry = 30 * time.Second

// commitPart is a part that a commit can do without: an intent, the progress of a job, or else the rows of the runners.
type commitPart struct {
	intent *intent
	job    work.ID
}

// runnersPart stands for the rows of the runners.
var runnersPart = commitPart{}

// isolation finds the parts of a commit that the store refuses for their content, by committing ever smaller groups of them.
// Those that it refuses by themselves are left out, so that they don't hold up the others.
type isolation struct {
	groups  [][]commitPart           // to be committed by themselves, the next one last
	refused map[commitPart]time.Time // refused by themselves, with the time of the next try
}

func newIsolation() isolation { return isolation{refused: map[commitPart]time.Time{}} }

// next returns the parts of which the next commit is to consist, or nil if it may have all but the refused ones.
func (i *isolation) next(now time.Time) []commitPart {
	if len(i.groups) > 0 {
		return i.groups[len(i.groups)-1]
	}
	for part, at := range i.refused {
		if !now.Before(at) {
			i.groups = append(i.groups, []commitPart{part})
			return i.groups[0]
		}
	}
	return nil
}

// active reports whether groups are to be committed by themselves.
func (i *isolation) active() bool { return len(i.groups) > 0 }

// done handles a commit of the next group that took effect, or has nothing left to commit.
func (i *isolation) done() {
	if !i.active() {
		return
	}
	for _, part := range i.pop() {
		delete(i.refused, part)
	}
}

// handleRefusal handles the refusal of a commit with the given parts. It returns the part that was refused by itself, and false
// if there were several or none.
func (i *isolation) handleRefusal(now time.Time, parts []commitPart) (commitPart, bool) {
	if i.active() {
		i.pop()
	}
	if len(parts) == 0 {
		return commitPart{}, false
	}
	if len(parts) == 1 {
		i.refused[parts[0]] = now.Add(isolationRetry)
		return parts[0], true
	}
	half := len(parts) / 2
	i.groups = append(i.groups, slices.Clone(parts[half:]), slices.Clone(parts[:half]))
	return commitPart{}, false
}

func (i *isolation) pop() []commitPart {
	last := i.groups[len(i.groups)-1]
	i.groups = i.groups[:len(i.groups)-1]
	return last
}

// filter returns which parts the next commit may have.
func (i *isolation) filter(now time.Time) func(commitPart) bool {
	only := i.next(now)
	if only == nil {
		refused := maps.Clone(i.refused)
		return func(part commitPart) bool {
			_, ok := refused[part]
			return !ok
		}
	}
	return func(part commitPart) bool { return slices.Contains(only, part) }
}
