package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/leader"
	"gypsumlead/sleep"
)

const (
	strandedInterval = 30 * time.Second // between readings of which services have jobs, while one of them isn't configured
	strandedRetry    = 2 * time.Second  // after a reading that failed
	strandedTimeout  = 2 * time.Second  // for such a reading
)

// runStranded keeps track of the stranded services: those that have left the configuration and still have jobs. Their jobs stay where
// they are, so such a service is led until it has none. The store is asked at the start, and once a service has left.
func (d *Daemon) runStranded(ctx context.Context) error {
	sleep.ForOrWake(ctx, startupDelay, nil)
	for ctx.Err() == nil {
		if !d.members.IsCandidate() || d.operatorState.Config() == nil {
			sleep.ForOrWake(ctx, strandedRetry, nil)
			continue
		}
		if err := d.findStranded(ctx); err != nil {
			d.log.Warn("cannot read which services have jobs", zap.Error(err))
			sleep.ForOrWake(ctx, strandedRetry, nil)
			continue
		}
		d.awaitStranded(ctx)
	}
	return nil
}

// awaitStranded waits until the stranded services have to be found out anew.
func (d *Daemon) awaitStranded(ctx context.Context) {
	d.mu.Lock()
	none := len(d.stranded) == 0
	d.mu.Unlock()
	if !none {
		sleep.ForOrWake(ctx, strandedInterval, d.serviceLeft)
		return
	}
	select {
	case <-d.serviceLeft:
	case <-ctx.Done():
	}
}

// findStranded reads which services have jobs, and releases the leases of services that neither are configured nor have any.
func (d *Daemon) findStranded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, strandedTimeout)
	defer cancel()
	withJobs, err := leader.ServicesWithJobs(ctx, d.store)
	if err != nil {
		return err
	}
	configured := d.services()
	stranded := slices.DeleteFunc(withJobs, func(service string) bool { return slices.Contains(configured, service) })
	d.mu.Lock()
	if !slices.Equal(d.stranded, stranded) {
		d.log.Info("services without configuration have jobs", zap.Strings("services", stranded))
	}
	d.stranded = stranded
	d.mu.Unlock()
	var idle []*leader.Leader
	for _, l := range d.localLeaders() {
		if !slices.Contains(configured, l.Service()) && !slices.Contains(stranded, l.Service()) {
			idle = append(idle, l)
		}
	}
	d.releaseLeases(idle)
	d.wakeElections()
	return nil
}

// noteServices has the stranded services found out anew if a service has left the configuration.
func (d *Daemon) noteServices() {
	services := d.services()
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.ContainsFunc(d.configured, func(service string) bool { return !slices.Contains(services, service) }) {
		sleep.Wake(d.serviceLeft)
	}
	d.configured = services
}

// servicesToServe returns the names of the services that need a leader: the configured and the stranded ones. The caller holds d.mu.
func (d *Daemon) servicesToServe() []string {
	services := d.services()
	for _, service := range d.stranded {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}
