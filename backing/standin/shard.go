package standin

import (
	"slices"
	"sync"

	"gypsumlead/backing"
)

// shard is a part of the table's rows with the sorted list of their keys.
type shard struct {
	mu   sync.Mutex
	rows map[string]backing.Row
	keys []string
}

func (s *shard) get(key string) backing.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[key]
	r.Key = key
	return r
}

// put writes a row of a locked shard.
func (s *shard) put(r backing.Row) {
	if _, ok := s.rows[r.Key]; !ok {
		i, _ := slices.BinarySearch(s.keys, r.Key)
		s.keys = slices.Insert(s.keys, i, r.Key)
	}
	s.rows[r.Key] = r
}

// drop removes a row of a locked shard.
func (s *shard) drop(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	delete(s.rows, key)
	i, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, i, i+1)
}

// from returns the sorted keys of a locked shard that don't sort before prefix and sort after the key after.
func (s *shard) from(prefix, after string) []string {
	i, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && after >= prefix {
		i++
	}
	return s.keys[i:]
}
