package control

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// departureRetention is the time for which a target that has left is remembered. It is longer than any copy of the store is old.
	departureRetention = 2 * time.Minute
	// maxDepartures is the maximum number of departures that are remembered.
	maxDepartures = 1 << 13
)

// departures remembers the targets that have left the directory. If the store comes back from an older copy, the registry lists such a
// target again although the target has not written its entry.
type departures map[string]*departure

// departure is a target that has left.
type departure struct {
	started time.Time
	at      time.Time
	// listed is set once the registry lists the target again, with the given sequence.
	listed   bool
	sequence int64
}

// record remembers the targets of the directory before that are not in the directory after.
func (d departures) record(before, after *directory.Directory, now time.Time) {
	for id, departed := range d {
		if _, ok := after.Target(id); ok || now.Sub(departed.at) > departureRetention {
			delete(d, id)
		}
	}
	for t := range before.All {
		if _, ok := after.Target(t.ID); !ok && len(d) < maxDepartures {
			d[t.ID] = &departure{started: t.Started, at: now}
		}
	}
}

// admits reports whether a listed target can be used: it has not left, is another process, or has written its entry since it is listed
// again.
func (d departures) admits(t *directory.Target) bool {
	departed := d[t.ID]
	switch {
	case departed == nil || !departed.started.Equal(t.Started):
		return true
	case !departed.listed:
		departed.listed, departed.sequence = true, t.Sequence

		return false
	default:
		return t.Sequence != departed.sequence
	}
}

// reconcile returns the listed targets that can be used. A target that drains does not become ready again, whatever an older entry says, and
// one that leaves by its own word drains.
func (d departures) reconcile(listed []*directory.Target, current *directory.Directory, leaving leavers) []*directory.Target {
	admitted := make([]*directory.Target, 0, len(listed))
	for _, t := range listed {
		if !d.admits(t) {
			continue
		}
		if leaving.has(t) || drains(current, t) {
			t = asDraining(t)
		}
		admitted = append(admitted, t)
	}

	return admitted
}

// filterMirror returns the targets of a mirror that can be used, parts of which may be older than the current directory.
func (d departures) filterMirror(mirror, current *directory.Directory) []*directory.Target {
	filtered := make([]*directory.Target, 0, mirror.Len())
	for t := range mirror.All {
		if departed := d[t.ID]; departed != nil && departed.started.Equal(t.Started) {
			continue
		}
		if known, ok := current.Target(t.ID); ok && known.Started.After(t.Started) {
			t = known
		} else if drains(current, t) {
			t = asDraining(t)
		}
		filtered = append(filtered, t)
	}

	return filtered
}

// drains reports whether the directory has the target's process as draining.
func drains(d *directory.Directory, t *directory.Target) bool {
	known, ok := d.Target(t.ID)

	return ok && known.Draining && known.Started.Equal(t.Started)
}

func asDraining(t *directory.Target) *directory.Target {
	if t.Draining {
		return t
	}
	draining := *t
	draining.Draining = true

	return &draining
}
