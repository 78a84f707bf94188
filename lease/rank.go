package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns how many of members come before self for the duty, by rendezvous hashing: every
// daemon that knows the same members ranks them alike, and few ranks change with a member.
func Rank(duty, self string, members []string) int {
	mine := score(duty, self)
	rank := 0
	for _, m := range members {
		s := score(duty, m)
		if m != self && (s > mine || s == mine && m > self) {
			rank++
		}
	}
	return rank
}

func score(duty, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A digest takes every write.
	_, _ = d.WriteString(duty)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// fairShare returns how many duties a daemon holds before it leaves further ones to others.
func fairShare(duties, members int) int {
	members = max(members, 1)
	return (duties+members-1)/members + 1
}

// membersWith returns members with self among them, each once.
func membersWith(self string, members []string) []string {
	ms := append(slices.Clone(members), self)
	slices.Sort(ms)
	return slices.Compact(ms)
}
