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

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// The instances' own keys. Below instancePrefix each instance registers under a lease; leaderKey names the instance that reads
// the targets' entries for all; below mirrorPrefix it writes what the others have to know of the targets.
const (
	ownPrefix      = "hickorynotch/"
	instancePrefix = ownPrefix + "instances/"
	leaderKey      = ownPrefix + "leader"
	mirrorPrefix   = ownPrefix + "targets/"
)

const (
	// instanceTTL is the time after which a silent instance is forgotten. Peers notice earlier by themselves, so renewals can
	// be few: 80 instances renew 24 times a second in all, at a tenth of a call each.
	instanceTTL   = 10 * time.Second
	instanceRenew = instanceTTL / 3
	// settlePerInstance is the time for each instance of the fleet for which changes are collected before the next wait, because
	// each wait is a call. It is bounded by minimumSettle and a share of the bound for draining targets.
	settlePerInstance = 25 * time.Millisecond
	minimumSettle     = 120 * time.Millisecond
	settleShare       = 2.5
	// minimumWait and maximumWait bound the time that a call waits for changes, and callsPerSecond the rate of such calls that
	// the fleet makes without changes. A connection that went silent is found by its probes, and a version that was missed by
	// the messages of peers.
	minimumWait    = 8 * time.Second
	maximumWait    = 28 * time.Second
	callsPerSecond = 3
	// noticeTimeout is the time without a notice of the leader after which the store is read again, and noticeCheck the time
	// between two looks. Leaders send a notice each second.
	noticeTimeout = 2 * time.Second
	noticeCheck   = 500 * time.Millisecond
	// changePatience is the time that a change may take beyond the collection of changes.
	changePatience = 700 * time.Millisecond
)

// Fleet keeps what the instances tell each other through the store: who they are, who reads the targets' entries, and what it
// found.
type Fleet struct {
	store   OwnStore
	self    Instance
	timers  *timer.Service
	log     *event.Log
	health  health
	changed chan struct{}
	again   chan struct{}
	onView  func(View)
	// drainBound is the time within which a draining target gets no new requests.
	drainBound time.Duration

	mu             sync.Mutex
	known          bool // the view has been read and is being kept
	revision       uint64
	instances      map[string]Instance
	leader         leader
	leaderRevision uint64
	targets        map[string]*directory.Target
	mirrorRevision uint64
	// seen is the revision up to which the mirror is known.
	seen    uint64
	noticed time.Time
	// wanted is the newest revision that a notice named, and behindSince when it was first found to be newer than seen.
	wanted      uint64
	behindSince time.Time
}

// View is what is known of the fleet.
type View struct {
	Instances []Instance
	// Leader is the name of the instance that reads the targets' entries, empty if there is none. LeaderRevision is that of its
	// key, 0 if the key does not exist.
	Leader         string
	LeaderRevision uint64
	// Targets is the mirror of the targets' entries, nil if no leader vouches for it.
	Targets *directory.Directory
	// Mirror is what the mirror holds, whether a leader vouches for it or not.
	Mirror *directory.Directory
	// Revision is that of the newest change of the mirror.
	Revision uint64
	// Known is false if the view cannot be kept up to date.
	Known bool
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithFleetLog sets the log.
func WithFleetLog(log *event.Log) FleetOption {
	return func(f *Fleet) { f.log = log }
}

// OnView sets the function that is called with each new view.
func OnView(onView func(View)) FleetOption {
	return func(f *Fleet) { f.onView = onView }
}

// WithDrainBound sets the time within which a draining target gets no new requests.
func WithDrainBound(bound time.Duration) FleetOption {
	return func(f *Fleet) { f.drainBound = bound }
}

// NewFleet returns a keeper for the instance self.
func NewFleet(store OwnStore, self Instance, timers *timer.Service, options ...FleetOption) *Fleet {
	f := &Fleet{
		store: store, self: self, timers: timers, onView: func(View) {},
		changed: make(chan struct{}, 1), again: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(f)
	}
	f.health = health{timers: timers, log: func() *event.Log { return f.log }, part: "Fleet"}
	f.reset()

	return f
}

func (f *Fleet) reset() {
	f.instances = make(map[string]Instance)
	f.targets = make(map[string]*directory.Target)
	f.leader, f.leaderRevision, f.mirrorRevision = leader{}, 0, 0
}

// View returns what is known of the fleet.
func (f *Fleet) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{
		Instances: slices.SortedFunc(maps.Values(f.instances), func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }),
		Leader:    f.leader.Name, LeaderRevision: f.leaderRevision, Revision: f.mirrorRevision, Known: f.known,
	}
	v.Mirror = directory.New(slices.Collect(maps.Values(f.targets)))
	if f.leader.Name != "" && f.leader.Synced {
		v.Targets = v.Mirror
	}

	return v
}

// Wait returns how long a call of this fleet waits for changes.
func (f *Fleet) Wait() time.Duration {
	f.mu.Lock()
	n := len(f.instances)
	f.mu.Unlock()

	return min(max(minimumWait, time.Duration(n)*time.Second/callsPerSecond), maximumWait)
}

// settle returns how long changes are collected.
func (f *Fleet) settle() time.Duration {
	f.mu.Lock()
	n := len(f.instances)
	f.mu.Unlock()

	longest := time.Duration(float64(f.drainBound) / settleShare)

	return max(minimumSettle, min(time.Duration(n)*settlePerInstance, longest))
}

// Revision returns that of the newest change of the mirror.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.mirrorRevision
}

// Run keeps the view until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	backoff := newBackoff(f.timers)
	known := false
	for ctx.Err() == nil {
		var err error
		if known {
			err = f.follow(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, errRefresh), errors.Is(err, ErrForgotten):
			known = false
		case err != nil:
			known = false
			f.setUnknown()
			f.health.failed(err)
			backoff.sleep(ctx)
		default:
			known = true
			f.health.succeeded()
			backoff.reset()
		}
	}

	return ctx.Err()
}

func (f *Fleet) setUnknown() {
	f.mu.Lock()
	f.known = false
	f.mu.Unlock()
	f.notify()
}

func (f *Fleet) notify() {
	f.onView(f.View())
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *Fleet) read(ctx context.Context) error {
	ctx, cancel := f.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := f.store.List(ctx, ownPrefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.reset()
	for i := range entries {
		f.apply(&entries[i])
	}
	f.revision, f.known = revision, true
	f.seen = max(f.seen, revision)
	f.mu.Unlock()
	f.notify()

	return nil
}

func (f *Fleet) follow(ctx context.Context) error {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	wait := f.Wait()
	changes, next, err := awaitChange(ctx, f.timers, f.again, wait, func(ctx context.Context) ([]Entry, uint64, error) {
		return f.store.Wait(ctx, ownPrefix, revision, wait)
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	for i := range changes {
		f.apply(&changes[i])
	}
	f.revision = max(next, f.revision)
	f.mu.Unlock()
	if len(changes) == 0 {
		return nil
	}
	f.notify()
	select {
	case <-f.timers.After(f.settle()):
	case <-ctx.Done():
	}

	return nil
}

// awaitChange makes a call that waits for a change. It ends with errRefresh when again delivers.
func awaitChange(
	ctx context.Context, timers *timer.Service, again <-chan struct{}, wait time.Duration,
	call func(ctx context.Context) ([]Entry, uint64, error),
) (changes []Entry, revision uint64, err error) {
	ctx, cancel := timers.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	refreshed := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		select {
		case <-again:
			close(refreshed)
			cancel()
		case <-finished:
		}
	}()
	changes, revision, err = call(ctx)
	close(finished)
	select {
	case <-refreshed:
		return nil, 0, errRefresh
	default:
		return changes, revision, err
	}
}

// apply takes one entry or change into the view. The lock is held.
func (f *Fleet) apply(e *Entry) {
	switch {
	case e.Key == leaderKey:
		f.leader, f.leaderRevision = leader{}, 0
		if !e.Gone {
			// A value that cannot be used names no leader; the next one replaces this revision.
			f.leader, _ = take[leader](f.log, e)
			f.leaderRevision = e.Revision
		}
	case strings.HasPrefix(e.Key, instancePrefix):
		name := strings.TrimPrefix(e.Key, instancePrefix)
		delete(f.instances, name)
		if i, ok := take[Instance](f.log, e); ok {
			f.instances[name] = i
		}
	case strings.HasPrefix(e.Key, mirrorPrefix):
		id := strings.TrimPrefix(e.Key, mirrorPrefix)
		f.mirrorRevision = max(f.mirrorRevision, e.Revision)
		f.seen = max(f.seen, e.Revision)
		delete(f.targets, id)
		if m, ok := take[mirrored](f.log, e); ok {
			f.targets[id] = m.target(id)
		}
	}
}
