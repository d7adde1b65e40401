package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// pollEvery is the time between two status polls of a target. A leaving target must get no new work after a few seconds.
	pollEvery = time.Second
	// pollTimeout bounds one status poll. It is below pollEvery so that polls do not pile up.
	pollTimeout = 800 * time.Millisecond
	// pollAtOnce bounds the polls in flight of one instance.
	pollAtOnce = 32
)

// runPoll asks all targets of the configuration for their status once every pollEvery, and at once after a new configuration
// was adopted, because targets that are not known yet are not used.
func (e *Entry) runPoll(ctx context.Context) error {
	ticks := e.timers.Subscribe(pollEvery)
	defer ticks.Stop()
	for {
		if e.stale.Load() {
			e.refresh(ctx)
		} else {
			e.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		case <-e.adopted:
		}
	}
}

// poll asks every target once. It counts as done when a configuration was known.
func (e *Entry) poll(ctx context.Context) {
	active, ok := e.keeper.Current()
	if !ok {
		return
	}
	var addresses set.Set[netip.AddrPort]
	for _, s := range active.Configuration.Services {
		for _, replica := range s.Replicas {
			addresses.Add(replica.Address)
		}
	}
	e.pollAll(ctx, addresses.Values())
	if ctx.Err() == nil && !e.polled.Swap(true) {
		e.log.Log(event.InstanceReady, "Revision", active.Revision, "Targets", addresses.Len())
	}
}

func (e *Entry) pollAll(ctx context.Context, addresses []netip.AddrPort) {
	var running sync.WaitGroup
	defer running.Wait()
	free := make(chan struct{}, pollAtOnce)
	for _, address := range addresses {
		select {
		case <-ctx.Done():
			return
		case free <- struct{}{}:
		}
		running.Go(func() {
			defer func() { <-free }()
			e.pollOne(ctx, address)
		})
	}
}

// pollOne asks one target. A poll that fails says nothing: attempts decide whether a target is lost.
func (e *Entry) pollOne(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := e.timers.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := e.targets.Status(ctx, address)
	if err != nil {
		return
	}
	e.catalog.Learn(address, report)
	e.links.Learn(address, &report)
}

// owners returns the instances that may own targets. With the variants that have no owners there is none but this one.
func (e *Entry) owners() []instance.Instance {
	if e.settings.Limit == LimitOwner {
		return e.members.Live()
	}

	return e.alone
}
