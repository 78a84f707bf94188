package holder

import "gypsumlead/clock"

// Evacuate has a runner emptied, or lets it take work again.
func (h *Holder) Evacuate(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Evacuate(runner, on)
	wake(h.kick)
}

// Due tells that a runner will have to become empty soon, or won't any more.
func (h *Holder) Due(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Due(runner, on)
}

// Empty tells whether nothing runs on a runner.
func (h *Holder) Empty(runner string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Empty(runner)
}

// Lasting returns how many tasks that last run on a runner.
func (h *Holder) Lasting(runner string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Lasting(runner)
}

// Load returns how many runners take work and whether the pool is busy.
func (h *Holder) Load() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Load(clock.Now())
}
