package app

import (
	"context"
	"sync"
)

// teller queues the boots that peers are to be told of; what is queued twice is told once.
type teller struct {
	mu   sync.Mutex
	news map[string]string // boot by instance
	kick chan struct{}
}

func newTeller() *teller {
	return &teller{news: map[string]string{}, kick: make(chan struct{}, 1)}
}

func (t *teller) tell(id, boot string) {
	t.mu.Lock()
	t.news[id] = boot
	t.mu.Unlock()
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

func (t *teller) take() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.news
	t.news = map[string]string{}
	return news
}

// runTeller tells the peers of leaving boots until ctx ends.
func (a *App) runTeller(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.teller.kick:
		}
		for id, boot := range a.teller.take() {
			a.peers.spreadLeave(ctx, id, boot)
		}
	}
}
