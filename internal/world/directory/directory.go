// Package directory indexes the registered targets by ID and by service, with their addresses, capacities and drain states.
//
// A Directory is immutable. The control package builds a new one each time it has read the registry of targets:
//
//	d := directory.New(targets)
//	for _, t := range d.Service("catalogue-07") {
//		// t.Address is the address of a replica of shard 7
//	}
package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Target is the registry entry of one back-end process.
type Target struct {
	// ID identifies the process in the registry. A process that restarts under the same ID has a different Started.
	ID      string
	Service string
	Address netip.AddrPort
	// AvailabilityZone is the zone that the target runs in.
	AvailabilityZone string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is true while the target completes its requests and accepts no new ones.
	Draining bool
	// Warmup is the remaining time for which the target is slow after its start.
	Warmup time.Duration
	// Sequence changes each time the target writes its entry.
	Sequence int64
	// Started is the start time of the process, or zero if the registry entry does not contain it.
	Started time.Time
	// Absence is set if the entry is missing from the registry.
	Absence Absence
}

// Same reports whether t and other are equal in all fields but Warmup and Sequence, which change each time a target updates its entry, and
// Absence, which is no part of the entry.
func (t *Target) Same(other *Target) bool {
	return t.ID == other.ID && t.Service == other.Service && t.Address == other.Address &&
		t.AvailabilityZone == other.AvailabilityZone && t.Slots == other.Slots && t.Draining == other.Draining &&
		t.Started.Equal(other.Started)
}

// warmupTolerance is the difference in the time left that two readings of it have because they were written and read at different delays.
const warmupTolerance = 300 * time.Millisecond

// ColdLonger reports whether t, an entry of the same process that was read a time after another one, says a later end of its warm-up than the other
// one does: the target has become cold again.
func (t *Target) ColdLonger(earlier *Target, after time.Duration) bool {
	return t.Sequence != earlier.Sequence && t.Warmup > max(earlier.Warmup-after, 0)+warmupTolerance
}

// Directory is an immutable set of targets.
type Directory struct {
	byID      map[string]*Target
	byService map[string][]*Target
}

// New returns a Directory of the given targets. If several targets have the same ID, the last one is used.
func New(targets []*Target) *Directory {
	d := &Directory{byID: make(map[string]*Target, len(targets)), byService: make(map[string][]*Target)}
	for _, t := range targets {
		d.byID[t.ID] = t
	}
	for _, t := range d.byID {
		d.byService[t.Service] = append(d.byService[t.Service], t)
	}
	for _, ofService := range d.byService {
		slices.SortFunc(ofService, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}

	return d
}

// Target returns the target with the given ID, and whether there is one.
func (d *Directory) Target(id string) (*Target, bool) {
	t, ok := d.byID[id]

	return t, ok
}

// Service returns the targets of a service, ordered by ID. The slice is shared and must not be modified.
func (d *Directory) Service(name string) []*Target {
	return d.byService[name]
}

// Len returns the number of targets.
func (d *Directory) Len() int { return len(d.byID) }

// All is an iterator over all targets, in no particular order.
func (d *Directory) All(yield func(*Target) bool) {
	for _, t := range d.byID {
		if !yield(t) {
			return
		}
	}
}
