package control

import (
	"context"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/retention"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// missingTargetGrace is how long after an outage of the store a target stays in the directory although its entry is missing.
	// Entries may expire during the outage; live targets register again within about 2 s of the store's recovery.
	missingTargetGrace = 2300 * time.Millisecond
	// unseenFraction is the fraction of the drain bound for which a target is kept after the registry last had it, if its entry may have
	// expired in an outage that only a lost leader has seen. Each instance drops it by its own clock, so that the rest only has to cover requests
	// that are on their way.
	unseenFraction = 0.9
	// leaseProof is the age of the leader's last read from which its lease would have ended if the store had not been away for all. The
	// lease is renewed at most one interval later than the registry is read.
	leaseProof = leaderTTL + 2*leaderInterval
)

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
	// reader knows until when missing targets are kept.
	reader retention.Reader
	// hadTargets is set once the directory had a target. retained is the number of missing ones in it.
	hadTargets bool
	retained   int
	faultCount int
	departures departures
	leaving    leavers
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
		reader:  retention.Reader{Policy: retention.Policy{Return: missingTargetGrace, LeaseProof: leaseProof}},
	}
	for _, option := range options {
		option(t)
	}
	t.health = storeHealth{timers: timers, log: func() *event.Log { return t.log }, component: "Targets"}

	return t
}

// Current returns the directory that is in use.
func (t *Targets) Current() *directory.Directory { return t.current }

// Adopt replaces the directory by one that another instance has read at a time, zero if that is not known. Missing targets stay as long as this
// instance itself would keep them.
func (t *Targets) Adopt(d *directory.Directory, readAt time.Time) {
	now := t.timers.Now()
	missing := 0
	kept := make([]*directory.Target, 0, d.Len())
	for told := range d.All {
		if told.Absence.Missing {
			missing++
			known, ok := t.current.Target(told.ID)
			if !ok {
				// One that this instance has dropped, or never had, does not come back before it is registered.
				if t.hadTargets {
					continue
				}
				known = &directory.Target{}
			}
			absence := retention.Adopt(known.Absence, told.Absence, t.reader.ReadAt(), now)
			if !t.reader.Keeps(absence, readAt, now) {
				continue
			}
			told = withAbsence(told, absence)
		}
		kept = append(kept, told)
	}
	if missing > 0 {
		d = directory.New(kept)
	}
	t.replace(d)
}

// replace replaces the directory.
func (t *Targets) replace(d *directory.Directory) {
	t.departures.record(t.current, d, t.timers.Now())
	t.current = d
	t.hadTargets = t.hadTargets || d.Len() > 0
	t.logRetained()
	t.onAdopted(d)
}

// withAbsence returns a target with a different absence.
func withAbsence(t *directory.Target, a directory.Absence) *directory.Target {
	if t.Absence == a {
		return t
	}
	changed := *t
	changed.Absence = a

	return &changed
}

// AdoptMirror adds what a mirror says to the directory. Parts of the mirror may be older than what this instance has read, so that targets that
// it lacks stay until the next read, and those that are missing there are as this instance knows them.
func (t *Targets) AdoptMirror(mirror *directory.Directory) {
	var added []*directory.Target
	for m := range mirror.All {
		known, ok := t.current.Target(m.ID)
		switch {
		case ok:
			added = append(added, withAbsence(m, known.Absence))
		case !m.Absence.Missing:
			added = append(added, m)
		}
	}
	t.replace(directory.New(t.addMissing(t.departures.filterMirror(directory.New(added), t.current),
		func(old *directory.Target) (directory.Absence, bool) { return old.Absence, true })))
}

// Seed fills an empty directory with the targets that the fleet knew before this process started. As after an outage, targets that
// are missing from the registry stay in use for missingTargetGrace, because entries may have expired while all instances and the
// store were down.
func (t *Targets) Seed(d *directory.Directory) {
	if t.hadTargets || d.Len() == 0 {
		return
	}
	t.reader.Seed(t.timers.Now())
	t.Adopt(d, time.Time{})
}

// takeOver makes this instance read the registry, which other instances have read until a time. mirror is what they passed on.
func (t *Targets) takeOver(mirror *directory.Directory, confirmedAt time.Time) {
	if t.reader.ReadAt().After(confirmedAt) {
		return
	}
	now := t.timers.Now()
	told := make([]*directory.Target, 0, t.current.Len())
	changed := false
	for known := range t.current.All {
		if m, ok := mirror.Target(known.ID); ok && m.Absence.Missing {
			absence := retention.Adopt(known.Absence, m.Absence, t.reader.ReadAt(), now)
			changed = changed || absence != known.Absence
			known = withAbsence(known, absence)
		}
		told = append(told, known)
	}
	if changed {
		t.replace(directory.New(told))
	}
	t.reader.TakeOver(confirmedAt)
}

// expectExpired makes the next reads treat missing targets as after an outage, which this instance has seen without reading the registry
// itself.
func (t *Targets) expectExpired() { t.reader.Return(t.timers.Now()) }

// untilExpiry returns the time until a missing target is dropped without a new read of the registry, unbounded if none is.
func (t *Targets) untilExpiry() time.Duration {
	if t.retained == 0 {
		return unbounded
	}
	left := unbounded
	for known := range t.current.All {
		if at, expires := t.reader.Expires(known.Absence); expires {
			left = min(left, t.timers.Until(at))
		}
	}

	return max(left, 0)
}

// expire drops the missing targets that are dropped without a new read of the registry.
func (t *Targets) expire() {
	if t.untilExpiry() > 0 {
		return
	}
	now := t.timers.Now()
	kept := make([]*directory.Target, 0, t.current.Len())
	for known := range t.current.All {
		if at, expires := t.reader.Expires(known.Absence); !expires || now.Before(at) {
			kept = append(kept, known)
		}
	}
	t.replace(directory.New(kept))
}

// logRetained logs how many targets are missing from the registry and kept whenever that number changes.
func (t *Targets) logRetained() {
	missing, expired, registeredAt := 0, 0, time.Time{}
	for known := range t.current.All {
		if a := known.Absence; a.Missing {
			missing++
			if a.Expired {
				expired++
			}
			if registeredAt.IsZero() || a.RegisteredAt.Before(registeredAt) {
				registeredAt = a.RegisteredAt
			}
		}
	}
	if missing != t.retained {
		t.log.Log(event.TargetsRetained, "Targets", missing, "Before", t.retained, "Expired", expired, "RegisteredAt", registeredAt)
	}
	t.retained = missing
}

// Read lists the registry once and replaces the directory by the result.
func (t *Targets) Read(ctx context.Context) error {
	err := t.read(ctx)
	// A registry that takes several reads is no outage, in which entries expire.
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrIncomplete) {
		t.health.recordFailure(err)
		t.reader.Fail(t.timers.Now())
	}

	return err
}

func (t *Targets) read(ctx context.Context) error {
	ctx, cancel := t.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := t.timers.Now()
	listed, err := t.source.List(ctx)
	if err != nil {
		return err
	}
	now := t.timers.Now()
	t.health.recordSuccess()
	t.reader.Succeed(began, now)
	if t.hasRead && listed.Generation != t.generation {
		// Targets that registered after the copy was made write their entries again.
		t.log.Log(event.StoreRestored, "Part", "Targets", "Generation", listed.Generation, "Before", t.generation)
		t.reader.Return(now)
	}
	t.generation, t.hasRead = listed.Generation, true
	t.logFaults(listed.Faults)
	targets := t.departures.reconcile(listed.Targets, t.current, t.leaving)
	t.replace(directory.New(t.addMissing(targets, func(old *directory.Target) (directory.Absence, bool) {
		return t.reader.Missing(old.Absence, now)
	})))

	return nil
}

// addMissing adds the targets of the directory that are not listed and that decide keeps. One whose address is registered under another ID is
// not added.
func (t *Targets) addMissing(
	listed []*directory.Target, decide func(old *directory.Target) (a directory.Absence, keep bool),
) []*directory.Target {
	present := directory.New(listed)
	addresses := make(map[string]bool, len(listed))
	for _, l := range listed {
		addresses[l.Address.String()] = true
	}
	for old := range t.current.All {
		if _, ok := present.Target(old.ID); ok || addresses[old.Address.String()] {
			continue
		}
		if absence, keep := decide(old); keep {
			listed = append(listed, withAbsence(old, absence))
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
