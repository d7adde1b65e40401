package entry

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/polling"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// joinTime is the time that a new instance has to join before it polls all targets itself, as one that is alone does. It
	// covers a seed that does not answer.
	joinTime = 3 * time.Second
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

// owners returns the instances that may own targets. With the variants that have no owners there is none but this one.
func (e *Entry) owners() []instance.Instance {
	if e.settings.Limit == LimitOwner {
		return e.members.Live()
	}

	return e.alone
}
