package journal

import (
	"iter"

	"gypsumlead/record"
)

// Typed is a record type T by its pointer.
type Typed[T any] interface {
	*T
	record.Record
}

// Live yields the records of T's kind in force, sorted by name; those that can't be read are left out.
func Live[T any, P Typed[T]](s *State) iter.Seq2[record.Envelope, T] {
	return func(yield func(record.Envelope, T) bool) {
		var zero T
		for _, e := range s.List(P(&zero).Kind()) {
			var r T
			if record.Decode(e, P(&r)) == nil && !yield(e, r) {
				return
			}
		}
	}
}

// Find returns the record of T's kind and the given name in force, and whether there is one that can be read.
func Find[T any, P Typed[T]](s *State, name string) (T, bool) {
	var r T
	e, ok := s.Get(record.Key{Kind: P(&r).Kind(), Name: name})
	return r, ok && record.Decode(e, P(&r)) == nil
}
