package control

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// leaderTTL is the TTL of the leader's lease, after which another instance takes over. The sum of leaderTTL, leaderInterval and
	// the time that a change takes to reach all instances has to stay below the shortest drain bound, 3 s.
	leaderTTL = 1500 * time.Millisecond
	// leaderInterval is the interval at which the leader renews its lease and reads the registry of targets.
	leaderInterval = 500 * time.Millisecond
	// noticeIntervalTicks is the number of ticks, one each leaderInterval, between two notices of the leader, and between two of
	// its reads of the configuration.
	noticeIntervalTicks = 2
	// campaignDelayPerRank is the difference in campaign delay between instances of adjacent ranks. It is longer than a change
	// takes to reach all instances, so that the next in rank sees the new leader before it campaigns.
	campaignDelayPerRank = 25 * time.Millisecond
	// mirrorTimeout is how long an instance waits for a new leader to synchronize the mirror before it reads the registry itself.
	mirrorTimeout = 600 * time.Millisecond
	// startupPeriod is the time after its start during which an instance campaigns after a random delay instead of one by rank.
	startupPeriod = 3 * time.Second
	// suspectDelay is the campaign delay of an instance whose calls to the store have failed, in addition to the delay by rank. One that was
	// not cut off, if there is one, campaigns before it, and knows that the store was not away.
	suspectDelay = (standbyCount + 1) * campaignDelayPerRank
	// maximumCampaignDelay is the upper bound of the campaign delay by rank, and of the random delay.
	maximumCampaignDelay = 800 * time.Millisecond
)

// Leadership elects one instance of the fleet as leader, which reads the registry of targets and mirrors it for the others. The
// others can long-poll the mirror because it changes only when a target does, whereas each heartbeat changes the registry.
//
// While there is no mirror that a leader has synchronized, each instance reads the registry itself.
type Leadership struct {
	fleet                *Fleet
	targets              *Targets
	store                KeyValueStore
	timers               *timer.Service
	log                  *event.Log
	readInterval         time.Duration
	started              time.Time
	readConfiguration    func(ctx context.Context) error
	configurationVersion func() uint64
	notify               func(ctx context.Context, n Notice)
	// registryReadAt is when this instance last read the registry of targets without leading.
	registryReadAt time.Time
	// mirrorRevision is the revision that the mirror had at registryReadAt, or the one that this instance has adopted since then.
	mirrorRevision uint64
	// rejected are the changes that the store has rejected. They are kept over terms, so that they do not end each term that begins.
	rejected rejections
	// limitsCold reports whether the requests to the cold targets of a service are limited.
	limitsCold func(service string) bool
}

// LeadershipOption configures a Leadership.
type LeadershipOption func(*Leadership)

// WithConfiguration makes a leader also read the configuration, and include the version in force in its notices.
func WithConfiguration(c *Configuration) LeadershipOption {
	return func(l *Leadership) {
		l.readConfiguration = c.Check
		l.limitsCold = c.limitsCold
		l.configurationVersion = func() uint64 {
			if t := c.Current(); t != nil {
				return t.Version()
			}

			return 0
		}
	}
}

// WithNotify sets the function that sends a leader's notices to the other instances. It must not block for longer than
// leaderInterval, because the leader calls it between two renewals of its lease.
func WithNotify(notify func(ctx context.Context, n Notice)) LeadershipOption {
	return func(l *Leadership) { l.notify = notify }
}

// NewLeadership returns the component that makes an instance campaign, lead or follow. While there is no synchronized mirror, the
// instance reads the registry of targets once each readInterval.
func NewLeadership(
	fleet *Fleet, targets *Targets, store KeyValueStore, timers *timer.Service, readInterval time.Duration, log *event.Log,
	options ...LeadershipOption,
) *Leadership {
	l := &Leadership{
		fleet: fleet, targets: targets, store: store, timers: timers, log: log, readInterval: readInterval, started: timers.Now(),
		rejected:             make(rejections),
		limitsCold:           func(string) bool { return false },
		readConfiguration:    func(context.Context) error { return nil },
		configurationVersion: func() uint64 { return 0 },
		notify:               func(context.Context, Notice) {},
	}
	for _, option := range options {
		option(l)
	}
	targets.reader.Unseen = time.Duration(unseenFraction * float64(fleet.drainBound))

	return l
}

// Run campaigns, leads or follows until ctx is done.
func (l *Leadership) Run(ctx context.Context) error {
	l.awaitLeader(ctx, mirrorTimeout)
	for ctx.Err() == nil {
		view := l.fleet.View()
		if view.UpToDate {
			l.targets.Seed(view.Mirror)
		}
		switch {
		case l.untilOverdue() <= 0:
			l.readOverdue(ctx)
		case view.UpToDate && view.Leader == "":
			l.campaign(ctx, view)
			if l.fleet.View().Leader != "" {
				l.awaitLeader(ctx, mirrorTimeout)
			}
		case view.UpToDate && view.Targets != nil:
			switch {
			case !l.registryReadAt.After(l.fleet.targetsConfirmedAt()):
				l.targets.Adopt(view.Targets, view.ConfirmedAt)
			case l.fleet.currentMode() == direct && view.Revision > l.mirrorRevision:
				// The leader has written a change since this instance read the registry itself.
				l.mirrorRevision = view.Revision
				l.targets.AdoptMirror(view.Targets)
			}
			l.awaitViewChange(ctx, l.untilOverdue()+rand.N(overdueSpread))
		default:
			// The view is out of date, or the leader has not synchronized the mirror yet.
			interval := l.readInterval
			if err := l.readRegistry(ctx); err != nil {
				interval = retryDelay(err)
			}
			l.awaitLeader(ctx, interval)
		}
	}

	return ctx.Err()
}

// untilOverdue returns the time until a change of the registry may be overdue, because no leader has passed it on.
func (l *Leadership) untilOverdue() time.Duration {
	confirmedAt := l.fleet.targetsConfirmedAt()
	for _, at := range []time.Time{l.registryReadAt, l.started} {
		if at.After(confirmedAt) {
			confirmedAt = at
		}
	}

	return l.fleet.maximumTargetsAge() - l.timers.Since(confirmedAt)
}

// readOverdue reads the registry because no leader has passed it on in time.
func (l *Leadership) readOverdue(ctx context.Context) {
	l.log.Log(event.TargetsUnconfirmed, "Age", l.timers.Since(l.fleet.targetsConfirmedAt()))
	if err := l.readRegistry(ctx); err != nil {
		l.awaitViewChange(ctx, retryDelay(err))
	}
}

// retryDelay returns the time until the registry is read again after a read that failed. One that made progress goes on at once.
func retryDelay(err error) time.Duration {
	if errors.Is(err, ErrIncomplete) {
		return 0
	}

	return minimumBackoff + rand.N(maximumBackoff)
}

// readRegistry reads the registry of targets.
func (l *Leadership) readRegistry(ctx context.Context) error {
	started, mirrorRevision := l.timers.Now(), l.fleet.View().Revision
	l.takeOverTargets()
	err := l.targets.Read(ctx)
	if err == nil {
		l.registryReadAt, l.mirrorRevision = started, mirrorRevision
	}

	return err
}

// takeOverTargets prepares the first read of the registry after other instances have read it.
func (l *Leadership) takeOverTargets() {
	if l.fleet.storeFailedRecently() && !l.registryReadAt.After(l.fleet.targetsConfirmedAt()) {
		l.targets.expectExpired()
	}
	view := l.fleet.View()
	l.targets.takeOver(view.Mirror, view.ConfirmedAt)
}

// awaitLeader waits for at most d. It returns earlier once the view shows a synchronized mirror, or that there is no leader.
func (l *Leadership) awaitLeader(ctx context.Context, d time.Duration) {
	until := l.timers.Now().Add(d)
	for ctx.Err() == nil {
		left := l.timers.Until(until)
		if left <= 0 {
			return
		}
		l.awaitViewChange(ctx, left)
		if view := l.fleet.View(); view.UpToDate && (view.Targets != nil || view.Leader == "") {
			return
		}
	}
}

// awaitViewChange waits for d or until the view changes.
func (l *Leadership) awaitViewChange(ctx context.Context, d time.Duration) {
	l.wait(ctx, d, l.fleet.viewChanged)
}

// wait waits for d or until wake is ready. Meanwhile it drops the missing targets that are not kept any longer.
func (l *Leadership) wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	for until := l.timers.Now().Add(d); ctx.Err() == nil; {
		left := l.timers.Until(until)
		select {
		case <-l.timers.After(min(left, l.targets.untilExpiry())):
			l.targets.expire()
		case <-wake:
			return
		case <-ctx.Done():
			return
		}
		if l.timers.Until(until) <= 0 {
			return
		}
	}
}

// campaign waits for a delay that depends on the rank of this instance and then tries to become leader. If it succeeds, it leads
// until the leadership ends.
func (l *Leadership) campaign(ctx context.Context, view View) {
	delay := min(time.Duration(rank(view.Instances, l.fleet.self))*campaignDelayPerRank, maximumCampaignDelay)
	if l.timers.Since(l.started) < startupPeriod {
		// If all instances have just started, each knows few others, so that the ranks of many are equal.
		delay = rand.N(maximumCampaignDelay)
	}
	if l.fleet.storeFailedRecently() {
		delay += suspectDelay
	}
	if overdueIn := l.untilOverdue(); overdueIn < delay {
		// The registry is read before this instance campaigns.
		l.awaitViewChange(ctx, overdueIn)

		return
	}
	l.wait(ctx, delay+rand.N(campaignDelayPerRank/2), nil)
	if view = l.fleet.View(); ctx.Err() != nil || !view.UpToDate || view.Leader != "" {
		return
	}
	err := l.lead(ctx)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrConflict) {
		l.log.Log(event.LeadershipEnded, "Error", err)
	}
	if err != nil {
		l.awaitViewChange(ctx, minimumBackoff+rand.N(minimumBackoff))
	}
}

// errReplaced ends the term of an instance after another one has begun a later term.
var errReplaced = errors.New("another instance has sent a notice as the leader of a later term")

// lead acquires the leadership and mirrors the registry of targets until the leadership is lost.
func (l *Leadership) lead(ctx context.Context) (err error) {
	t := &term{Leadership: l, id: rand.Uint64(), revision: l.fleet.View().LeaderRevision}
	defer func() { t.resign(ctx, err) }()
	if err := t.acquire(ctx); err != nil {
		l.fleet.feed.end()

		return err
	}
	l.log.Log(event.LeadershipBegan, "Revision", t.revision)
	ctx, replace := context.WithCancelCause(ctx)
	defer replace(nil)
	l.fleet.beginTerm(t.revision, t.mirrorEntries(), l.targets.reader.ReadAt(), func() { replace(errReplaced) })
	defer l.fleet.endTerm()
	l.targets.reader.Leads = true
	defer func() { l.targets.reader.Leads = false }()
	ticks := l.timers.Subscribe(leaderInterval)
	defer ticks.Stop()
	for {
		t.sendNotice(ctx)
		select {
		case <-ticks.C:
		case <-t.expiry():
			l.targets.expire()

			continue
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err := t.renew(ctx); err != nil {
			return err
		}
		if err := t.reconfirm(ctx); err != nil {
			return err
		}
		l.fleet.maintainFeed()
		t.tick++
		if t.tick%noticeIntervalTicks == 0 {
			if err := l.readConfiguration(ctx); err != nil {
				l.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)
			} else {
				l.fleet.feed.announce()
			}
		}
		l.fleet.feed.takeLeaving(l.targets.MarkLeaving)
		if !t.readTargets(ctx) {
			continue
		}
		if t.store.Generation() != t.generation {
			// The mirror is checked first, in the next tick.
			continue
		}
		synced, err := t.updateMirror(ctx)
		if err != nil {
			return err
		}
		if synced {
			l.fleet.feed.confirm(l.targets.reader.ReadAt())
		}
		if err := t.syncSuspects(ctx); err != nil {
			return err
		}
	}
}

// readTargets reads the registry of targets. If that fails, the instance stays leader. If the store does not answer the renewals either, the
// lease expires and another instance can take over.
func (t *term) readTargets(ctx context.Context) (ok bool) {
	err := t.targets.Read(ctx)
	if err == nil {
		return true
	}
	if !errors.Is(err, ErrIncomplete) {
		t.fleet.recordStoreFailure()
	}
	t.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

	return false
}

// expiry returns a channel that is ready when a missing target has to be dropped, nil if there is none.
func (t *term) expiry() <-chan time.Time {
	if t.targets.retained == 0 {
		return nil
	}

	return t.timers.After(t.targets.untilExpiry())
}

// rank returns the position of self in the order in which instances campaign: those with more processor cores first, and by a hash
// of the name among equals.
func rank(instances []Instance, self Instance) int {
	position := 0
	for _, i := range instances {
		if i.Processor > self.Processor || i.Processor == self.Processor && hash(i.Name) < hash(self.Name) {
			position++
		}
	}

	return position
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))

	return h.Sum64()
}
