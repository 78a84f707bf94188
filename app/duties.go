package app

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/journal"
)

const compactEvery = 10 * time.Second

// duties runs the control duties that this daemon holds.
type duties struct {
	common
	platform Platform
	state    *journal.State
}

func (a *App) makeDuties() {
	a.duties = &duties{common: a.common, platform: a.platform, state: a.state}
}

// run steps the duties until ctx ends.
func (d *duties) run(ctx context.Context) error {
	tick := time.NewTicker(compactEvery)
	defer tick.Stop()
	compaction := &journal.Compaction{
		Table:   d.platform.Table,
		Objects: d.platform.Objects,
		State:   d.state,
		Long:    journal.LongDefault,
		Short:   journal.ShortDefault,
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if _, err := compaction.Step(ctx); err != nil {
			d.log.Debug("compact the log", zap.Error(err))
		}
	}
}

// release hands back what this daemon holds.
func (d *duties) release(context.Context) {}

// held names the duties held here.
func (d *duties) held() []string {
	return nil
}
