package control

import (
	"context"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// missingTargetGrace is how long after an outage of the store a target stays in the directory although its entry is missing.
// Entries may expire during the outage; live targets register again within about 2 s of the store's recovery.
const missingTargetGrace = 2300 * time.Millisecond

// Listed is the result of listing the registry of targets.
type Listed struct {
	Targets []*directory.Target
	// Generation is the generation of the store that was read.
	Generation uint64
	// Faults has an error for each entry that is not a valid target.
	Faults []error
}

// TargetSource lists the registry of targets. List fails with ErrIncomplete if it needs more time than it has. The function field must be set
// before the first use.
type TargetSource struct {
	List func(ctx context.Context) (Listed, error)
}

// Targets maintains the directory of targets. It is not safe for concurrent use.
type Targets struct {
	source    TargetSource
	timers    *timer.Service
	log       *event.Log
	onAdopted func(*directory.Directory)
	health    storeHealth
	current   *directory.Directory
	// recoveredAt is when the last outage of the store ended, or when the directory was seeded. Zero if neither has happened.
	recoveredAt time.Time
	retainEnd   time.Time // see retainUntil
	faultCount  int
	departures  departures
	leaving     leavers
	// generation is that of the store when this instance last read the registry, if it has done so.
	generation uint64
	hasRead    bool
}

// TargetsOption configures a Targets.
type TargetsOption func(*Targets)

// WithTargetsLog sets the event log.
func WithTargetsLog(log *event.Log) TargetsOption {
	return func(t *Targets) { t.log = log }
}

// NewTargets returns a Targets whose directory is empty until the first Read, Seed or Adopt. The callback onAdopted receives each
// new directory.
func NewTargets(
	source TargetSource, timers *timer.Service, onAdopted func(*directory.Directory), options ...TargetsOption,
) *Targets {
	t := &Targets{source: source, timers: timers, onAdopted: onAdopted, current: directory.New(nil), departures: make(departures),
		leaving: make(leavers),
	}
	for _, option := range options {
		option(t)
	}
	t.health = storeHealth{timers: timers, log: func() *event.Log { return t.log }, component: "Targets"}

	return t
}

// Current returns the directory that is in use.
func (t *Targets) Current() *directory.Directory { return t.current }

// Adopt replaces the directory by one that another instance has read.
func (t *Targets) Adopt(d *directory.Directory) {
	t.departures.record(t.current, d, t.timers.Now())
	t.current = d
	t.onAdopted(d)
}

// AdoptMirror adds what a mirror says to the directory. Parts of the mirror may be older than what this instance has read, so that targets that
// it lacks stay until the next read.
func (t *Targets) AdoptMirror(mirror *directory.Directory) {
	t.Adopt(directory.New(t.retainMissing(t.departures.filterMirror(mirror, t.current))))
}

// Seed fills an empty directory with the targets that the fleet knew before this process started. As after an outage, targets that
// are missing from the registry stay in use for missingTargetGrace, because entries may have expired while all instances and the
// store were down.
func (t *Targets) Seed(d *directory.Directory) {
	if t.current.Len() > 0 || d.Len() == 0 {
		return
	}
	t.recoveredAt = t.timers.Now()
	t.Adopt(d)
}

// expectMissing makes the next reads treat missing targets as after an outage, which this instance has seen without reading the
// registry itself.
func (t *Targets) expectMissing() { t.recoveredAt = t.timers.Now() }

// retainUntil makes the reads before a time keep targets that are missing. It is called by a new leader: while there was none, entries
// may have expired in an outage of the store that only the previous leader has seen. A missing target was still registered when that
// leader last read the registry, so keeping it for less than the drain bound since then breaks no bound.
func (t *Targets) retainUntil(end time.Time) { t.retainEnd = end }

// Read lists the registry once and replaces the directory by the result.
func (t *Targets) Read(ctx context.Context) error {
	err := t.read(ctx)
	// A registry that takes several reads is no outage, in which entries expire.
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrIncomplete) {
		t.health.recordFailure(err)
	}

	return err
}

func (t *Targets) read(ctx context.Context) error {
	ctx, cancel := t.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := t.source.List(ctx)
	if err != nil {
		return err
	}
	now := t.timers.Now()
	if outageStart := t.health.recordSuccess(); !outageStart.IsZero() {
		t.recoveredAt = now
	}
	if t.hasRead && listed.Generation != t.generation {
		// Targets that registered after the copy was made write their entries again.
		t.log.Log(event.StoreRestored, "Part", "Targets", "Generation", listed.Generation, "Before", t.generation)
		t.recoveredAt = now
	}
	t.generation, t.hasRead = listed.Generation, true
	t.logFaults(listed.Faults)
	targets := t.departures.reconcile(listed.Targets, t.current, t.leaving)
	if !t.recoveredAt.IsZero() && now.Sub(t.recoveredAt) < missingTargetGrace || now.Before(t.retainEnd) {
		targets = t.retainMissing(targets)
	}
	t.Adopt(directory.New(targets))

	return nil
}

// retainMissing adds the targets of the last directory whose entries are missing, because these may have expired during the outage.
// A target whose address is registered under another ID is not added.
func (t *Targets) retainMissing(listed []*directory.Target) []*directory.Target {
	present := directory.New(listed)
	addresses := make(map[string]bool, len(listed))
	for _, l := range listed {
		addresses[l.Address.String()] = true
	}
	for old := range t.current.All {
		if _, ok := present.Target(old.ID); !ok && !addresses[old.Address.String()] {
			listed = append(listed, old)
		}
	}

	return listed
}

// logFaults logs the number of invalid entries and the first error whenever that number changes.
func (t *Targets) logFaults(faults []error) {
	if len(faults) != t.faultCount && len(faults) > 0 {
		t.log.Log(event.TargetRejected, "Entries", len(faults), "Error", faults[0])
	}
	t.faultCount = len(faults)
}
