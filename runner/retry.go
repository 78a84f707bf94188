package runner

import (
	"sync"
)

const (
	retryShare = 0.1  // of the requests may be sent again
	retryBurst = 10.0 // requests that may be sent again at once
)

// retryBudget keeps repeated sends to a share of the requests, so that retries can't amplify a flood.
type retryBudget struct {
	open   bool // no bound
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(open bool) *retryBudget {
	return &retryBudget{open: open, tokens: retryBurst}
}

// earn counts one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// spend takes one repeated send, if there is any left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
