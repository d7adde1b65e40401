package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/polling"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// joinTime is the time that a new instance has to join before it polls all targets itself, as one that is alone does. It
	// covers a seed that does not answer.
	joinTime = 3 * time.Second
	// listEvery is the time between two reads of the platform's list, which lags by seconds itself.
	listEvery = 5 * time.Second
)

// runPoll polls the targets that this instance owns, at once after a new configuration was adopted or another instance's
// targets were taken over.
func (e *Entry) runPoll(ctx context.Context) error {
	ticks := e.timers.Subscribe(polling.Period)
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
		case <-e.poller.Changed():
		}
	}
}

// poll polls once. The first time it also learns what the other instances know, and counts as done when the targets are known.
func (e *Entry) poll(ctx context.Context) {
	active, ok := e.keeper.Current()
	if !ok {
		return
	}
	if e.kept != active.Revision {
		e.poller.Keep(polling.Replicas(active, e.settings.AvailabilityZone))
		e.kept = active.Revision
	}
	if e.polled.Load() {
		e.poller.Poll(ctx)

		return
	}
	if !e.members.Joined() && len(e.members.Live()) < 2 && e.timers.Since(e.started) < joinTime {
		return
	}
	if e.poller.CatchUp(ctx) {
		e.polled.Store(true)
		e.log.Log(event.InstanceReady, "Revision", active.Revision, "Targets", e.poller.Counts().Targets)
	}
}

// runList reads the platform's list of leaving targets.
func (e *Entry) runList(ctx context.Context) error {
	ticks := e.timers.Subscribe(listEvery)
	defer ticks.Stop()
	available := true
	for {
		listed, err := e.platform.List(ctx)
		switch {
		case err == nil:
			e.markLeaving(listed)
		case available && ctx.Err() == nil:
			e.log.Log(event.ListUnavailable, "Error", err)
		}
		available = err == nil
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
	}
}

func (e *Entry) markLeaving(listed []platform.Listed) {
	var leaving []netip.AddrPort
	for _, l := range listed {
		if l.Kind == platform.Target && l.State == platform.Leaving {
			leaving = append(leaving, l.Address)
		}
	}
	e.catalog.MarkLeaving(leaving)
}

// listedPeers returns the peer addresses of the instances on the platform's list.
func (e *Entry) listedPeers(ctx context.Context) ([]netip.AddrPort, error) {
	listed, err := e.platform.List(ctx)
	if err != nil {
		return nil, err
	}
	var peers []netip.AddrPort
	for _, l := range listed {
		if l.Kind == platform.EntryInstance && l.State == platform.Live && l.Address != e.settings.Peer {
			peers = append(peers, l.Address)
		}
	}

	return peers, nil
}

// owners returns the instances that may own targets. With the variants that have no owners there is none but this one.
func (e *Entry) owners() []instance.Instance {
	if e.settings.Limit == LimitOwner {
		return e.members.Live()
	}

	return e.alone
}
