// Package directory holds what an instance knows of the targets: where each one is and whether it takes work.
//
// A Directory is immutable. The control part replaces it when an entry changes:
//
//	d := directory.New(targets)
//	for _, t := range d.Service("catalogue-07") {
//		// t.Address serves a replica of shard 7
//	}
package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Target is one registered back-end process.
type Target struct {
	// ID names one start of the process. A process that starts again under its ID has another Started.
	ID      string
	Service string
	Address netip.AddrPort
	// AvailabilityZone and Region place the target; they may be empty.
	AvailabilityZone string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Draining targets finish their work and take no new requests.
	Draining bool
	// Warmup is how much longer the target is slow after its start.
	Warmup time.Duration
	// Started is when the process started; zero if it is not known.
	Started time.Time
}

// Same reports whether two entries describe the same process with the same state. Warmup is left out, because it changes with
// each report.
func (t *Target) Same(other *Target) bool {
	return t.ID == other.ID && t.Service == other.Service && t.Address == other.Address &&
		t.AvailabilityZone == other.AvailabilityZone && t.Slots == other.Slots && t.Draining == other.Draining &&
		t.Started.Equal(other.Started)
}

// Directory is an immutable set of targets.
type Directory struct {
	byID      map[string]*Target
	byService map[string][]*Target
}

// New returns a Directory of the given targets. The last of several targets with the same ID counts.
func New(targets []*Target) *Directory {
	d := &Directory{byID: make(map[string]*Target, len(targets)), byService: make(map[string][]*Target)}
	for _, t := range targets {
		d.byID[t.ID] = t
	}
	for _, t := range d.byID {
		d.byService[t.Service] = append(d.byService[t.Service], t)
	}
	for _, of := range d.byService {
		slices.SortFunc(of, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}

	return d
}

// Target returns the target with this ID.
func (d *Directory) Target(id string) (*Target, bool) {
	t, ok := d.byID[id]

	return t, ok
}

// Service returns the targets of a service, ordered by ID.
func (d *Directory) Service(name string) []*Target {
	return d.byService[name]
}

// Len returns the number of targets.
func (d *Directory) Len() int { return len(d.byID) }

// All calls yield for each target until it returns false.
func (d *Directory) All(yield func(*Target) bool) {
	for _, t := range d.byID {
		if !yield(t) {
			return
		}
	}
}
