package entry

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/polling"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// joinTime is the time for which a new instance that knows no peer waits to join the fleet. After it, the instance polls all
	// targets itself, as a single instance must. The time is long enough to try another seed if one does not answer.
	joinTime = 3 * time.Second
)

// runPoll polls the targets that this instance owns. It does so once every polling.Period, and immediately when a configuration
// was adopted or when this instance became the owner of more targets.
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
		case <-e.pollRequested:
		case <-e.poller.Changed():
		}
	}
}

// poll polls the targets once, if a configuration is known. Until the instance has a report from every target that responds, poll
// also fetches the reports of the other instances. After that, the targets count as known, and the instance can become ready.
func (e *Entry) poll(ctx context.Context) {
	active, ok := e.keeper.Current()
	if !ok {
		return
	}
	if e.polledRevision != active.Revision {
		e.poller.Keep(polling.Replicas(active, e.settings.AvailabilityZone))
		e.polledRevision = active.Revision
	}
	if e.targetsKnown.Load() {
		e.poller.Poll(ctx)

		return
	}
	if !e.members.Joined() && len(e.members.Live()) < 2 && e.timers.Since(e.started) < joinTime {
		return
	}
	if e.poller.CatchUp(ctx) {
		e.targetsKnown.Store(true)
		e.log.Log(event.InstanceReady, "Revision", active.Revision, "Targets", e.poller.Counts().Targets)
	}
}

// owners returns the instances among which the dispatcher divides the ownership of targets. With a limit other than LimitOwner
// that is this instance alone, which therefore sends all its attempts to the targets directly.
func (e *Entry) owners() []instance.Instance {
	if e.settings.Limit == LimitOwner {
		return e.members.Live()
	}

	return e.selfOnly
}
