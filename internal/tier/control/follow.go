package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

const (
	// standbyCount is the number of instances that long-poll the leader's key although they follow the leader. One of them takes over
	// as soon as the leader's lease has ended, so the others need not watch it.
	standbyCount = 3
	// staleTimeout is the age of the leader's last read of the store from which the other instances probe the store themselves. They
	// begin one after the other, staleSpacing apart, because the store usually fails for all.
	staleTimeout = 1500 * time.Millisecond
	staleSpacing = 50 * time.Millisecond
	// probeInterval is the interval at which an instance checks whether it has to probe the store.
	probeInterval = 200 * time.Millisecond
	// successorDelay and successorDelayPerInstance determine how long, beyond the time of a lease, an instance that has lost its leader
	// waits for the notice of the next one, before it reads the leader's key itself.
	successorDelay            = 150 * time.Millisecond
	successorDelayPerInstance = 15 * time.Millisecond
	// followRetryDelay is the delay after which a leader that could not be followed is tried again.
	followRetryDelay = 4 * time.Second
	// stableSession is the duration from which a session that ends counts as a lost connection and is opened again at once.
	stableSession = time.Second
	// recentFailure is the age up to which a failed call means that the store may just have recovered from an outage.
	recentFailure = 4 * time.Second
	// electionTimeout is how long an instance without a leader waits for one before it reads the store itself.
	electionTimeout = 1500 * time.Millisecond
)

// Following connects a Fleet to the other instances, so that it can follow the leader instead of reading the store itself. The
// function fields must be set.
type Following struct {
	// Follow passes the updates of the leader at an address to receive, until ctx is done, the leader ends the session or receive
	// fails.
	Follow func(ctx context.Context, address netip.AddrPort, r *FollowRequest, receive func(*Update) error) error
	// Version returns the version of the configuration in force, 0 if there is none.
	Version func() uint64
	// FirstStart is set if the whole fleet starts for the first time. Otherwise the instance reads all keys when it starts, because
	// callers may already be waiting for it.
	FirstStart bool
	// OnConfiguration is called with a configuration that the leader passes on, and OnVersion with the version that
	// the leader has and the time since the leader knew it to be the stored one.
	OnConfiguration func(*StoredConfiguration)
	OnVersion       func(version uint64, age time.Duration)
}

// WithFollowing makes the instance follow the leader. While it does, only the leader and a few standbys read the store.
func WithFollowing(following *Following) FleetOption {
	return func(f *Fleet) { f.follow = following }
}

// mode is where an instance gets the state of the fleet from.
type mode int

const (
	// searching is the mode while no leader is known. The store is read only to find one.
	searching mode = iota
	// following is the mode in which the leader passes on all state, and also while its successor is awaited.
	following
	// direct is the mode in which the instance reads the store and registers itself there, because it cannot follow a leader.
	direct
	// leading is the mode of the leader.
	leading
)

// searchStep is the next call to the store of an instance that follows no leader. It starts with findLeader, or with readAll if callers
// may already be waiting, and returns to findLeader after each failure. Whenever a leader is known that can be followed, it is.
type searchStep int

const (
	// findLeader reads the leader's key.
	findLeader searchStep = iota
	// awaitElection long-polls the leader's key while there is no leader.
	awaitElection
	// readAll reads all keys, and pollAll long-polls them.
	readAll
	pollAll
)

// followState is the part of a Fleet that concerns the leader that is followed. Fleet.mu guards it.
type followState struct {
	mode        mode
	modeChanged chan struct{} // closed when mode changes
	leaving     bool          // this instance stops, so the leader must not list it
	// highestTerm is the highest term of a leader that was followed. Leaders of earlier terms are not followed.
	highestTerm uint64
	// failedLeader is the revision of the leader's key when its leader could not be followed. It is tried again at retryAt.
	failedLeader uint64
	retryAt      time.Time
	// storeReadAt is when the last leader, which may have been this instance, read the store and had passed on what it read. storeFailedAt is
	// when a call of this instance last failed.
	storeReadAt   time.Time
	storeFailedAt time.Time
	// updatedAt is when the last update of a leader arrived.
	updatedAt time.Time
	// limitReports is what this instance reports to the leader. reportedAt is when it last sent that, zero while there is nothing to report.
	limitReports []ratelimit.Report
	reportedAt   time.Time
	// leavingReports are the targets that this instance reports as leaving. reportsChanged is closed when there are new ones.
	leavingReports []*directory.Target
	reportsChanged chan struct{}
	// zonesPassedOn is set once the leader has passed on the evacuated zones in the current session. offered is a configuration that it has
	// passed on and that is not in force before the zones are known.
	zonesPassedOn bool
	offered       *StoredConfiguration
	// onReplaced, if not nil, ends the term of this instance. It is called once another instance, successor, has begun a later one.
	onReplaced func()
	successor  Notice
}

// UsesStore reports whether this instance has to read the store itself and be registered there, because it does not follow a leader.
// The channel is closed when that may have changed.
func (f *Fleet) UsesStore() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.follow == nil || f.mode == direct || f.mode == leading, f.modeChanged
}

// Feed returns what this instance passes on to the instances that follow it while it leads.
func (f *Fleet) Feed() *Feed { return f.feed }

func (f *Fleet) setMode(m mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != m {
		f.mode = m
		close(f.modeChanged)
		f.modeChanged = make(chan struct{})
	}
}

func (f *Fleet) currentMode() mode {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.mode
}

// setInstances replaces the listed instances while this instance leads.
func (f *Fleet) setInstances(instances []Instance) {
	f.mu.Lock()
	clear(f.instances)
	for _, i := range instances {
		f.instances[i.Name] = i
	}
	f.mu.Unlock()
	f.publishView()
}

// leave makes the leader stop listing this instance, which stops.
func (f *Fleet) leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.feed.leave(f.self.Name)
	f.refresh()
}

// beginTerm and endTerm make this instance the source of the fleet's state, and end that. onReplaced is called if another instance has begun a
// later term. The registry was last read at readAt.
func (f *Fleet) beginTerm(term uint64, targets []Entry, readAt time.Time, onReplaced func()) {
	f.feed.begin(term, f.self, append(targets, f.evacuationEntries()...), readAt)
	f.mu.Lock()
	f.leader, f.leaderRevision = syncedLeader(f.self.Name, f.self.Peer, term), term
	f.highestTerm = max(f.highestTerm, term)
	f.onReplaced, f.successor = onReplaced, Notice{}
	f.mu.Unlock()
	f.setMode(leading)
	f.passOnEvacuation()
	f.refresh()
}

// renewTerm goes on with the term under a later revision of the leader's key, which the leader has written again.
func (f *Fleet) renewTerm(term uint64) {
	f.feed.renew(term)
	f.mu.Lock()
	f.leader, f.leaderRevision = syncedLeader(f.self.Name, f.self.Peer, term), term
	f.highestTerm = max(f.highestTerm, term)
	f.mu.Unlock()
}

// syncedLeader returns the value of the leader's key with the given revision, once the mirror is up to date.
func syncedLeader(name string, peer netip.AddrPort, revision uint64) leader {
	generation, _ := SplitRevision(revision)

	return leader{Name: name, Synced: true, Peer: peer, Generation: generation}
}

func (f *Fleet) endTerm() {
	f.feed.end()
	mirror, readAt := f.feed.confirmed()
	f.mu.Lock()
	f.targets, f.storeReadAt = make(map[string]*directory.Target, len(mirror)), readAt
	for k := range mirror {
		f.apply(&mirror[k], nil)
	}
	f.onReplaced = nil
	if n := f.successor; n.Leader > f.highestTerm {
		f.leader, f.leaderRevision = syncedLeader(n.Name, n.Peer, n.Leader), n.Leader
	}
	f.mu.Unlock()
	if f.currentMode() == leading {
		f.setMode(searching)
	}
	f.refresh()
}

// runFollowing is Run for an instance that follows the leader if it can.
func (f *Fleet) runFollowing(ctx context.Context) error {
	backoff := newBackoff(f.timers)
	step := readAll
	if f.follow.FirstStart {
		step = findLeader
	}
	for ctx.Err() == nil {
		if f.currentMode() == leading {
			f.watchRegistrations(ctx, backoff)
			step = findLeader

			continue
		}
		if l, term, ok := f.leaderToFollow(); ok {
			if f.followLeader(ctx, l, term) {
				// Only the connection may have been lost.
				continue
			}
			if f.currentMode() == following {
				f.awaitSuccessor(ctx)
			}
			step = findLeader

			continue
		}
		step = f.search(ctx, step, backoff)
	}

	return ctx.Err()
}

// leaderToFollow returns the known leader and the revision of its key, unless it could not be followed just now.
func (f *Fleet) leaderToFollow() (l leader, term uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, term = f.leader, f.leaderRevision
	ok = l.Name != "" && l.Name != f.self.Name && l.Peer.IsValid() &&
		(term != f.failedLeader || !f.timers.Now().Before(f.retryAt))

	return l, term, ok
}

// recordStoreFailure records that a call to the store failed. storeFailedRecently reports whether one failed so recently that entries
// of targets may have expired during an outage. If a leader has read the registry since, the store was not away, or the leader knows.
func (f *Fleet) recordStoreFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailedAt = f.timers.Now()
}

func (f *Fleet) storeFailedRecently() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.storeFailedAt.After(f.storeReadAt) && f.timers.Since(f.storeFailedAt) < recentFailure
}

// targetsConfirmedAt returns when the leader last read the registry of targets, as far as this instance knows. The mirror in the store does not
// say so: the leader may be unable to write it.
func (f *Fleet) targetsConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.storeReadAt
}

// maximumTargetsAge returns the time after which this instance reads the registry of targets itself if no leader has.
func (f *Fleet) maximumTargetsAge() time.Duration { return maximumAge(f.drainBound) }

// hasView reports whether the view was read since the start.
func (f *Fleet) hasView() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.upToDate
}

// followLeader follows a leader until the session ends. It reports whether the session was stable, so that it should be opened again.
func (f *Fleet) followLeader(ctx context.Context, l leader, term uint64) (stable bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-f.refreshCh:
			close(interrupted)
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	f.mu.Lock()
	request := &FollowRequest{Instance: f.self, Register: !f.leaving, Leader: term, Version: f.follow.Version()}
	request.Reports, request.Suspects, request.Leaving = f.reportsToSend, f.suspectReports, f.currentLeaving
	f.zonesPassedOn = false
	f.mu.Unlock()
	var began time.Time
	err := f.follow.Follow(ctx, l.Peer, request, func(u *Update) error {
		if began.IsZero() {
			began = f.timers.Now()
			f.log.Log(event.LeaderFollowed, "Leader", l.Name, "Term", u.Term)
			go f.watchLeader(ctx, u.Term)
		}

		return f.receive(l, u)
	})
	select {
	case <-interrupted:
		// The leader has changed, or this instance leads or stops.
		return true
	default:
	}
	if !began.IsZero() {
		f.log.Log(event.LeaderLost, "Leader", l.Name, "Term", term, "After", f.timers.Since(began), "Error", err)
	}
	if ctx.Err() != nil || !began.IsZero() && f.timers.Since(began) >= stableSession && !errors.Is(err, ErrNotLeader) {
		return true
	}
	f.mu.Lock()
	f.failedLeader, f.retryAt = f.leaderRevision, f.timers.Now().Add(followRetryDelay/2+rand.N(followRetryDelay))
	f.mu.Unlock()

	return false
}

// receive applies an update of the leader to the view.
func (f *Fleet) receive(l leader, u *Update) error {
	f.mu.Lock()
	if u.Term < f.highestTerm {
		f.mu.Unlock()

		return Error.New("the leader's term %d is over, because term %d has begun", u.Term, f.highestTerm)
	}
	f.updatedAt = f.timers.Now()
	if u.Term > f.highestTerm || f.mode != following {
		f.highestTerm = u.Term
		f.leader, f.leaderRevision = syncedLeader(l.Name, l.Peer, u.Term), u.Term
	}
	f.upToDate = true
	if u.Changes != nil {
		known := f.targets
		if u.Changes.Reset {
			clear(f.instances)
			f.targets = make(map[string]*directory.Target, len(known))
			clear(f.limits)
			f.targetsKnown = true
		}
		for i := range u.Changes.Entries {
			f.apply(&u.Changes.Entries[i], known)
		}
	}
	// The targets that have become missing were registered when the registry was last read before this update.
	f.storeReadAt = f.updatedAt.Add(-u.StoreAge)
	f.mu.Unlock()
	f.setMode(following)
	f.health.recordSuccess()
	// The evacuated zones come into force before a configuration does, with which this instance may begin to serve.
	if u.Changes != nil {
		f.publishView()
	}
	if offered := f.offerable(u.Configuration); offered != nil {
		f.follow.OnConfiguration(offered)
	}
	age := u.ConfigurationAge
	if !f.vouches() {
		age = unbounded
	}
	f.follow.OnVersion(u.Version, age)

	return nil
}

// watchLeader long-polls the leader's key while this instance follows the leader: always if it is a standby, and otherwise once the
// leader has not read the store for some time. It notices that the leader's lease has ended although the leader still sends updates.
func (f *Fleet) watchLeader(ctx context.Context, term uint64) {
	backoff := newBackoff(f.timers)
	ticks := f.timers.Subscribe(probeInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		if !f.watchesLeader() {
			select {
			case <-ticks.C:
			case <-ctx.Done():
			}

			continue
		}
		getCtx, cancel := f.timers.WithTimeout(ctx, callTimeout)
		entry, revision, err := f.store.Get(getCtx, leaderKey)
		cancel()
		for err == nil && f.checkLeader(&entry, term) {
			var changes []Entry
			wait := f.PollTime()
			waitCtx, cancel := f.timers.WithTimeout(ctx, wait+callTimeout)
			changes, revision, err = f.store.Wait(waitCtx, leaderKey, revision, wait)
			cancel()
			if len(changes) > 0 {
				entry = changes[len(changes)-1]
			}
		}
		if err != nil && ctx.Err() == nil {
			f.recordStoreFailure()
			backoff.sleep(ctx)

			continue
		}
		if err == nil {
			// The leader has changed. Another one is followed, or this instance campaigns.
			return
		}
	}
}

// watchesLeader reports whether this instance has to watch the leader's key.
func (f *Fleet) watchesLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	instances := make([]Instance, 0, len(f.instances))
	for name, i := range f.instances {
		if name != f.leader.Name {
			instances = append(instances, i)
		}
	}
	position := rank(instances, f.self)

	return position < standbyCount ||
		f.timers.Since(f.storeReadAt) > staleTimeout+time.Duration(position)*staleSpacing
}

// checkLeader applies the leader's key to the view if it does not belong to the term. It reports whether it does.
func (f *Fleet) checkLeader(entry *Entry, term uint64) bool {
	if !entry.Deleted && entry.Revision == term {
		return true
	}
	f.mu.Lock()
	if f.mode == following && (entry.Deleted || entry.Revision > term) {
		f.apply(entry, f.targets)
	}
	deleted := f.leader.Name == ""
	f.mu.Unlock()
	f.publishView()
	if !deleted {
		f.refresh()
	}

	return false
}

// awaitSuccessor waits for the notice of a new leader after the leader was lost. No other instance can lead before the lease of that leader has
// ended. The instances wait for different times beyond it, so that they do not all read the store if the notice does not come.
func (f *Fleet) awaitSuccessor(ctx context.Context) {
	f.mu.Lock()
	n := len(f.instances)
	f.mu.Unlock()
	if f.watchesLeader() {
		return
	}
	delay := min(successorDelay+time.Duration(n)*successorDelayPerInstance, time.Duration(float64(f.drainBound)/batchDelayDivisor))
	select {
	case <-f.timers.After(leaderTTL + delay/2 + rand.N(max(delay, 1))):
	case <-f.refreshCh:
	case <-ctx.Done():
	}
}

// watchRegistrations keeps the list of the instances that are registered in the store up to date while this instance leads.
func (f *Fleet) watchRegistrations(ctx context.Context, backoff *backoff) {
	stored := make(map[string]Instance)
	revision := uint64(0)
	for ctx.Err() == nil && f.currentMode() == leading {
		wait := f.PollTime()
		call := func(ctx context.Context) ([]Entry, uint64, error) {
			return f.store.Wait(ctx, instancePrefix, revision, wait)
		}
		if revision == 0 {
			clear(stored)
			wait = 0
			call = func(ctx context.Context) ([]Entry, uint64, error) { return f.store.List(ctx, instancePrefix) }
		}
		changes, next, err := pollUntilRefresh(ctx, f.timers, f.refreshCh, wait, call)
		switch {
		case errors.Is(err, errRefresh):
			continue
		case err != nil:
			revision = 0
			if !errors.Is(err, ErrCompacted) {
				backoff.sleep(ctx)
			}

			continue
		}
		backoff.reset()
		revision = max(next, revision)
		for i := range changes {
			name := changes[i].Key[len(instancePrefix):]
			delete(stored, name)
			if instance, ok := decodeEntry[Instance](f.log, &changes[i]); ok {
				stored[name] = instance
			}
		}
		f.feed.setStored(f.self.Name, stored)
		if len(changes) > 0 {
			select {
			case <-f.timers.After(f.batchDelay()):
			case <-ctx.Done():
			}
		}
	}
}
