package control

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// returnGrace is how long a target stays in use that is missing after an outage of the store. Entries of targets that live
// are back within about 2 s of the store's return.
const returnGrace = 2300 * time.Millisecond

// Listed is the targets that are registered in the store.
type Listed struct {
	Targets []*directory.Target
	// Faults are the entries that name no target, with the reason.
	Faults []error
}

// TargetSource lists the targets. Function fields are set before the first use.
type TargetSource struct {
	List func(ctx context.Context) (Listed, error)
}

// Targets keeps the directory of targets. It is used by one goroutine.
type Targets struct {
	source  TargetSource
	timers  *timer.Service
	log     *event.Log
	adopted func(*directory.Directory)
	health  health
	current *directory.Directory
	// returned is when the store was back after an outage.
	returned time.Time
	faults   int
}

// TargetsOption configures a Targets.
type TargetsOption func(*Targets)

// WithTargetsLog sets the log.
func WithTargetsLog(log *event.Log) TargetsOption {
	return func(t *Targets) { t.log = log }
}

// NewTargets returns a keeper that hands each new directory to adopted.
func NewTargets(
	source TargetSource, timers *timer.Service, adopted func(*directory.Directory), options ...TargetsOption,
) *Targets {
	t := &Targets{source: source, timers: timers, adopted: adopted, current: directory.New(nil)}
	for _, option := range options {
		option(t)
	}
	t.health = health{timers: timers, log: func() *event.Log { return t.log }, part: "Targets"}

	return t
}

// Current returns the directory in force.
func (t *Targets) Current() *directory.Directory { return t.current }

// Adopt brings a directory into force that another instance has read.
func (t *Targets) Adopt(d *directory.Directory) {
	t.current = d
	t.adopted(d)
}

// Seed takes what the fleet knew of the targets before this process started, if nothing is known yet. Targets that are not listed
// are kept for a while, because entries may have lapsed while all instances and the store were away.
func (t *Targets) Seed(d *directory.Directory) {
	if t.current.Len() > 0 || d.Len() == 0 {
		return
	}
	t.returned = t.timers.Now()
	t.Adopt(d)
}

// Read lists the entries once and brings them into force.
func (t *Targets) Read(ctx context.Context) error {
	err := t.read(ctx)
	if err != nil && ctx.Err() == nil {
		t.health.failed(err)
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
	if lost := t.health.succeeded(); !lost.IsZero() {
		t.returned = now
	}
	t.logFaults(listed.Faults)
	targets := listed.Targets
	if !t.returned.IsZero() && now.Sub(t.returned) < returnGrace {
		targets = t.keepMissing(targets)
	}
	t.current = directory.New(targets)
	t.adopted(t.current)

	return nil
}

// keepMissing adds the targets of the last directory that are not listed. Their entries may have lapsed with the store.
func (t *Targets) keepMissing(listed []*directory.Target) []*directory.Target {
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

// logFaults logs the entries that cannot be used, once for each change of their number.
func (t *Targets) logFaults(faults []error) {
	if len(faults) != t.faults && len(faults) > 0 {
		t.log.Log(event.TargetRejected, "Entries", len(faults), "Error", faults[0])
	}
	t.faults = len(faults)
}
