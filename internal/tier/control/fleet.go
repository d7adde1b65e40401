package control

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/decision/retention"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

// Keys that the instances write themselves. Each instance registers below instancePrefix with a lease. leaderKey names the leader,
// the one instance that reads the registry of targets for the whole fleet and mirrors it below mirrorPrefix for the others.
const (
	ownPrefix      = "hickorynotch/"
	instancePrefix = ownPrefix + "instances/"
	leaderKey      = ownPrefix + "leader"
	mirrorPrefix   = ownPrefix + "targets/"
)

const (
	// instanceTTL is the time after which the registration of an instance that does not follow the leader expires without a renewal.
	// Peers detect a failed instance earlier by themselves, so renewals can be rare.
	instanceTTL           = 10 * time.Second
	instanceRenewInterval = instanceTTL / 3
	// After a change, the next long poll is delayed by batchDelayPerInstance times the number of instances, so that one call
	// fetches several changes. The delay is at most the drain bound divided by batchDelayDivisor, but never less than
	// minimumBatchDelay.
	batchDelayPerInstance = 25 * time.Millisecond
	minimumBatchDelay     = 120 * time.Millisecond
	batchDelayDivisor     = 2.5
	// minimumPollTime and maximumPollTime bound the duration of a long poll. In between, it is chosen such that the whole fleet
	// makes fleetPollsPerSecond long polls a second while nothing changes. Long polls need not be short to detect failures:
	// keep-alive probes detect a dead connection, and messages of peers reveal a version that was missed.
	minimumPollTime     = 8 * time.Second
	maximumPollTime     = 28 * time.Second
	fleetPollsPerSecond = 3
	// noticeTimeout is the time without a notice from the leader after which the store is read again. It is checked each
	// noticeCheckInterval. A leader sends at least one notice a second to each instance that does not follow it.
	noticeTimeout       = 2 * time.Second
	noticeCheckInterval = 500 * time.Millisecond
	// changeTimeout is how long a change that a notice announced may take to arrive, in addition to the delay of the next long
	// poll, before the store is read again.
	changeTimeout = 700 * time.Millisecond
)

// Fleet keeps the view of the fleet up to date: the registered instances, the leader, and the leader's mirror of the registry of
// targets. It follows the leader if it can, and otherwise watches the keys of the instances in the store.
type Fleet struct {
	store       KeyValueStore
	self        Instance
	timers      *timer.Service
	log         *event.Log
	health      storeHealth
	viewChanged chan struct{}
	refreshCh   chan struct{}
	onView      func(View)
	feed        *Feed
	suspects    *quarantine.List
	// follow is nil if this instance never follows the leader.
	follow *Following
	// drainBound is the time within which all instances have to stop sending requests to a target that drains.
	drainBound time.Duration

	mu             sync.Mutex
	upToDate       bool   // the view has been read, and the store has not failed since
	revision       uint64 // the next long poll returns the changes after this revision
	instances      map[string]Instance
	leader         leader
	leaderRevision uint64
	targets        map[string]*directory.Target
	limits         map[string]ratelimit.Limit
	targetsKnown   bool // targets is the complete mirror
	mirrorRevision uint64
	// seenRevision is the revision up to which all changes of the mirror have been received. Unlike revision it never decreases.
	seenRevision uint64
	// lastNotice is when the last notice arrived, or when its absence last caused a refresh.
	lastNotice time.Time
	// announcedRevision is the newest revision in the last notice. behindSince is when it was first found to be newer than the
	// view, or when it last caused a refresh. It is zero if the view has caught up.
	announcedRevision uint64
	behindSince       time.Time

	evacuated evacuationState
	// needsZones is set if the evacuated zones are read with the configuration.
	needsZones bool
	// passingOn serializes the changes of the evacuated zones in the feed, and publishing the calls of onView, so that an older state never
	// replaces a newer one.
	passingOn, publishing sync.Mutex

	// suspectsChanged is closed when this instance has changed a record of suspects itself.
	suspectsChanged chan struct{}

	followState
}

// View is a snapshot of the fleet's state as this instance knows it.
type View struct {
	Instances []Instance
	// Leader is the name of the instance that reads the registry of targets for the fleet, empty if there is none.
	// LeaderRevision is the revision of the leader's key, 0 if the key does not exist.
	Leader         string
	LeaderRevision uint64
	// Targets is the mirror of the registry of targets if the current leader has synchronized it, otherwise nil.
	Targets *directory.Directory
	// Mirror is the stored mirror, whether or not a leader has synchronized it.
	Mirror *directory.Directory
	// ConfirmedAt is when the registry last had the targets in Mirror that are not missing, as far as a leader has said so, zero if none has.
	ConfirmedAt time.Time
	// Limits are the rate limits of targets, by their IDs, that the leader passes on.
	Limits map[string]ratelimit.Limit
	// Evacuated are the availability zones whose targets must get no requests, in order.
	Evacuated []string
	// Revision is the revision of the newest change of the mirror.
	Revision uint64
	// UpToDate is false before the first read and while the store is unavailable, when the view may be out of date.
	UpToDate bool
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithFleetLog sets the event log.
func WithFleetLog(log *event.Log) FleetOption {
	return func(f *Fleet) { f.log = log }
}

// OnView sets a callback that receives each new view.
func OnView(onView func(View)) FleetOption {
	return func(f *Fleet) { f.onView = onView }
}

// WithDrainBound sets the time within which all instances have to stop sending requests to a target that drains. It limits
// the delay of the next long poll after a change.
func WithDrainBound(bound time.Duration) FleetOption {
	return func(f *Fleet) { f.drainBound = bound }
}

// NewFleet returns the watcher of the fleet's state for the instance self.
func NewFleet(store KeyValueStore, self Instance, timers *timer.Service, options ...FleetOption) *Fleet {
	f := &Fleet{
		store: store, self: self, timers: timers, onView: func(View) {},
		viewChanged: make(chan struct{}, 1), refreshCh: make(chan struct{}, 1),
		suspects: quarantine.NewList(), suspectsChanged: make(chan struct{}),
	}
	for _, option := range options {
		option(f)
	}
	f.health = storeHealth{timers: timers, log: func() *event.Log { return f.log }, component: "Fleet"}
	f.feed = newFeed(timers, f.setInstances)
	f.feed.suspects = f.suspects
	f.suspects.OnObserved(f.suspectsObserved)
	f.modeChanged, f.reportsChanged = make(chan struct{}), make(chan struct{})
	f.reset()

	return f
}

func (f *Fleet) reset() {
	f.instances = make(map[string]Instance)
	f.targets = make(map[string]*directory.Target)
	f.limits = make(map[string]ratelimit.Limit)
	f.leader, f.leaderRevision, f.mirrorRevision, f.targetsKnown = leader{}, 0, 0, false
}

// View returns a snapshot of the fleet's state as this instance knows it.
func (f *Fleet) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{
		Instances: slices.SortedFunc(maps.Values(f.instances), func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }),
		Leader:    f.leader.Name, LeaderRevision: f.leaderRevision, Revision: f.mirrorRevision, UpToDate: f.upToDate,
		ConfirmedAt: f.storeReadAt,
	}
	v.Limits = maps.Clone(f.limits)
	v.Evacuated = f.evacuated.evacuation.Zones
	v.Mirror = directory.New(slices.Collect(maps.Values(f.targets)))
	if f.leader.Name != "" && f.leader.syncedAt(f.leaderRevision) && f.targetsKnown {
		v.Targets = v.Mirror
	}

	return v
}

// PollTime returns the duration of a long poll, which grows with the number of instances.
func (f *Fleet) PollTime() time.Duration {
	f.mu.Lock()
	n := len(f.instances)
	f.mu.Unlock()

	return min(max(minimumPollTime, time.Duration(n)*time.Second/fleetPollsPerSecond), maximumPollTime)
}

// directPollTime is PollTime, but at most until a leader that could not be followed is tried again.
func (f *Fleet) directPollTime() time.Duration {
	wait := f.PollTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follow != nil && f.leader.Name != "" && f.leader.Name != f.self.Name {
		wait = min(wait, max(f.timers.Until(f.retryAt), minimumBatchDelay))
	}

	return wait
}

// batchDelay returns the delay between a change and the next long poll.
func (f *Fleet) batchDelay() time.Duration {
	f.mu.Lock()
	n := len(f.instances)
	f.mu.Unlock()

	upperBound := time.Duration(float64(f.drainBound) / batchDelayDivisor)

	return max(minimumBatchDelay, min(time.Duration(n)*batchDelayPerInstance, upperBound))
}

// Revision returns the revision of the newest change of the mirror.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.mirrorRevision
}

// Run keeps the view up to date until ctx is done.
func (f *Fleet) Run(ctx context.Context) error {
	if f.follow != nil {
		return f.runFollowing(ctx)
	}
	backoff := newBackoff(f.timers)
	canPoll := false
	for ctx.Err() == nil {
		var err error
		if canPoll {
			err = f.longPoll(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, errRefresh), errors.Is(err, ErrCompacted):
			canPoll = false
		case err != nil:
			canPoll = false
			f.markOutOfDate()
			f.health.recordFailure(err)
			backoff.sleep(ctx)
		default:
			canPoll = true
			f.health.recordSuccess()
			backoff.reset()
		}
	}

	return ctx.Err()
}

// markOutOfDate publishes the last view as one that may be out of date.
func (f *Fleet) markOutOfDate() {
	f.mu.Lock()
	f.upToDate = false
	f.mu.Unlock()
	f.publishView()
}

// publishView passes the view to the callback and wakes Leadership.
func (f *Fleet) publishView() {
	f.publishing.Lock()
	f.onView(f.View())
	f.publishing.Unlock()
	select {
	case f.viewChanged <- struct{}{}:
	default:
	}
}

// read replaces the view by the full state in the store.
func (f *Fleet) read(ctx context.Context) error {
	ctx, cancel := f.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := f.store.List(ctx, ownPrefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	known := f.targets
	f.reset()
	for i := range entries {
		f.apply(&entries[i], known)
	}
	f.revision, f.upToDate, f.targetsKnown = revision, true, true
	f.seenRevision = max(f.seenRevision, revision)
	f.mu.Unlock()
	f.publishView()

	return nil
}

// longPoll waits for changes since the last known revision and applies them to the view. After a change it pauses for batchDelay.
func (f *Fleet) longPoll(ctx context.Context) error {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	changed, err := f.pollPrefix(ctx, ownPrefix, revision, f.directPollTime())
	if err != nil || !changed {
		return err
	}
	select {
	case <-f.timers.After(f.batchDelay()):
	case <-ctx.Done():
	}

	return nil
}

// pollPrefix waits for changes of the keys with a prefix since a revision, applies them to the view and publishes it.
func (f *Fleet) pollPrefix(ctx context.Context, prefix string, revision uint64, wait time.Duration) (changed bool, err error) {
	changes, next, err := pollUntilRefresh(ctx, f.timers, f.refreshCh, wait, func(ctx context.Context) ([]Entry, uint64, error) {
		return f.store.Wait(ctx, prefix, revision, wait)
	})
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	for i := range changes {
		f.apply(&changes[i], f.targets)
	}
	f.revision = max(next, f.revision)
	f.mu.Unlock()
	if len(changes) > 0 {
		f.publishView()
	}

	return len(changes) > 0, nil
}

// pollUntilRefresh runs a long poll. When refreshCh delivers a value, it cancels the poll and returns errRefresh.
func pollUntilRefresh(
	ctx context.Context, timers *timer.Service, refreshCh <-chan struct{}, wait time.Duration,
	call func(ctx context.Context) ([]Entry, uint64, error),
) (changes []Entry, revision uint64, err error) {
	ctx, cancel := timers.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	refreshRequested := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		select {
		case <-refreshCh:
			close(refreshRequested)
			cancel()
		case <-finished:
		}
	}()
	changes, revision, err = call(ctx)
	close(finished)
	select {
	case <-refreshRequested:
		return nil, 0, errRefresh
	default:
		return changes, revision, err
	}
}

// apply applies one entry or change to the view. known are the targets that this instance knew before. f.mu must be held.
func (f *Fleet) apply(e *Entry, known map[string]*directory.Target) {
	switch {
	case e.Key == leaderKey:
		f.leader, f.leaderRevision = leader{}, 0
		if !e.Deleted {
			// An invalid value means that there is no leader. Its revision is kept because the next leader has to overwrite it.
			f.leader, _ = decodeEntry[leader](f.log, e)
			f.leaderRevision = e.Revision
		}
	case strings.HasPrefix(e.Key, instancePrefix):
		name := strings.TrimPrefix(e.Key, instancePrefix)
		delete(f.instances, name)
		if i, ok := decodeEntry[Instance](f.log, e); ok {
			f.instances[name] = i
		}
	case e.Key == evacuationKey:
		f.applyEvacuation(e)
	case strings.HasPrefix(e.Key, limitPrefix):
		f.applyLimit(e)
	case strings.HasPrefix(e.Key, suspectPrefix):
		f.applySuspect(e)
	case strings.HasPrefix(e.Key, mirrorPrefix):
		name := strings.TrimPrefix(e.Key, mirrorPrefix)
		f.mirrorRevision = max(f.mirrorRevision, e.Revision)
		f.seenRevision = max(f.seenRevision, e.Revision)
		old := known[name]
		delete(f.targets, name)
		if m, ok := decodeEntry[mirrored](f.log, e); ok {
			f.targets[name] = f.withKnownAbsence(m.target(name), old)
		}
	}
}

// withKnownAbsence returns a target of the mirror with what this instance knows of its absence. old is the target as this instance knew it
// before, nil if it did not. f.mu must be held.
func (f *Fleet) withKnownAbsence(t, old *directory.Target) *directory.Target {
	if !t.Absence.Missing {
		return t
	}
	var known *directory.Absence
	if old != nil {
		known = &old.Absence
	}

	return withAbsence(t, retention.Told(known, t.Absence.Expired, f.storeReadAt, f.timers.Now()))
}
