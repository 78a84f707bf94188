package spread

import "sync"

// health remembers whether the table answered last time.
type health struct {
	mu  sync.Mutex
	err error
}

func (h *health) note(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

func (h *health) last() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}
