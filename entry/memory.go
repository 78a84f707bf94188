package entry

import (
	"sync"

	"gypsumlead/fault"
)

// serviceShare is the part of the memory that one service may take.
const serviceShare = 2

// memory bounds the bytes of bodies held at once; no service can take more than its share, and
// what the services hold adds up to what is used.
type memory struct {
	limit int64

	mu    sync.Mutex
	used  int64
	taken map[string]int64 // by service
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, taken: map[string]int64{}}
}

// take reserves n bytes for service, if they are to be had.
func (m *memory) take(service string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit || m.taken[service]+n > m.limit/serviceShare {
		return false
	}
	m.used += n
	m.taken[service] += n
	return true
}

// give returns n bytes of service.
func (m *memory) give(service string, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.taken[service] -= n
	left := m.taken[service]
	if left == 0 {
		delete(m.taken, service)
	}
	if left < 0 || m.used < left {
		return fault.New(fault.Breach, "memory for bodies: service %s holds %d bytes of %d", service, left, m.used)
	}
	return nil
}

// lease is what one request holds of the memory.
type lease struct {
	memory  *memory
	service string
	held    int64
}

// grow makes the lease n bytes larger, if they are to be had.
func (l *lease) grow(n int) bool {
	if !l.memory.take(l.service, int64(n)) {
		return false
	}
	l.held += int64(n)
	return true
}

// free returns everything.
func (l *lease) free() error {
	if l.held == 0 {
		return nil
	}
	n := l.held
	l.held = 0
	return l.memory.give(l.service, n)
}
