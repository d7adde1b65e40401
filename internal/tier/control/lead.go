package control

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// leaderTTL is the TTL of the leader's lease, after which another instance takes over. The sum of leaderTTL, leadPeriod and the
	// time that a change takes to reach all instances has to stay below the shortest drain bound, 3 s.
	leaderTTL = 1500 * time.Millisecond
	// leadPeriod is the interval at which the leader renews its lease and reads the registry of targets.
	leadPeriod = 500 * time.Millisecond
	// noticeTurns is the number of leadPeriods between two notices, and between two reads of the configuration by the leader.
	noticeTurns = 2
	// rankDelay is the difference in campaign delay between instances of adjacent ranks. It is longer than a change takes to reach
	// all instances, so that the next in rank sees the new leader before it campaigns.
	rankDelay = 25 * time.Millisecond
	// mirrorGrace is how long an instance waits for a new leader to synchronize the mirror before it reads the registry itself.
	mirrorGrace = 600 * time.Millisecond
	// startSpread is the time after its start during which an instance campaigns after a random delay instead of one by rank.
	startSpread = 3 * time.Second
	// maxRankDelay is the upper bound of the campaign delay by rank, and of the random delay.
	maxRankDelay = 800 * time.Millisecond
)

// Leadership elects one instance of the fleet as leader, which reads the registry of targets and mirrors it for the others. The
// others can long-poll the mirror because it changes only when a target does, whereas each heartbeat changes the registry.
//
// While there is no mirror that a leader has synchronized, each instance reads the registry itself.
type Leadership struct {
	fleet   *Fleet
	targets *Targets
	store   OwnStore
	timers  *timer.Service
	log     *event.Log
	period  time.Duration
	started time.Time
	check   func(ctx context.Context) error
	version func() uint64
	notify  func(ctx context.Context, n Notice)
}

// LeadershipOption configures a Leadership.
type LeadershipOption func(*Leadership)

// WithConfiguration makes a leader also read the configuration, and include the active version in its notices.
func WithConfiguration(c *Configuration) LeadershipOption {
	return func(l *Leadership) {
		l.check = c.Check
		l.version = func() uint64 {
			if t := c.Current(); t != nil {
				return t.Version()
			}

			return 0
		}
	}
}

// WithNotify sets the function that sends a leader's notices to the other instances. It must not block for longer than leadPeriod,
// because the leader calls it between two renewals of its lease.
func WithNotify(notify func(ctx context.Context, n Notice)) LeadershipOption {
	return func(l *Leadership) { l.notify = notify }
}

// NewLeadership returns the component that makes an instance campaign, lead or follow. While there is no synchronized mirror, the
// instance reads the registry of targets at intervals of period.
func NewLeadership(
	fleet *Fleet, targets *Targets, store OwnStore, timers *timer.Service, period time.Duration, log *event.Log,
	options ...LeadershipOption,
) *Leadership {
	l := &Leadership{
		fleet: fleet, targets: targets, store: store, timers: timers, log: log, period: period, started: timers.Now(),
		check:   func(context.Context) error { return nil },
		version: func() uint64 { return 0 },
		notify:  func(context.Context, Notice) {},
	}
	for _, option := range options {
		option(l)
	}

	return l
}

// Run campaigns, leads or follows until ctx is done.
func (l *Leadership) Run(ctx context.Context) error {
	l.await(ctx, mirrorGrace)
	for ctx.Err() == nil {
		view := l.fleet.View()
		if view.Known {
			l.targets.Seed(view.Mirror)
		}
		switch {
		case view.Known && view.Leader == "":
			l.campaign(ctx, view)
			if l.fleet.View().Leader != "" {
				l.await(ctx, mirrorGrace)
			}
		case view.Known && view.Targets != nil:
			l.targets.Adopt(view.Targets)
			select {
			case <-l.fleet.changed:
			case <-ctx.Done():
			}
		default:
			// The view is out of date, or the leader has not synchronized the mirror yet.
			period := l.period
			if err := l.targets.Read(ctx); err != nil {
				period = minimumBackoff + rand.N(maximumBackoff)
			}
			l.await(ctx, period)
		}
	}

	return ctx.Err()
}

// await waits for at most d. It returns earlier once the view shows a synchronized mirror, or that there is no leader.
func (l *Leadership) await(ctx context.Context, d time.Duration) {
	until := l.timers.Now().Add(d)
	for ctx.Err() == nil {
		left := l.timers.Until(until)
		if left <= 0 {
			return
		}
		l.pause(ctx, left)
		if view := l.fleet.View(); view.Known && (view.Targets != nil || view.Leader == "") {
			return
		}
	}
}

// pause waits for d or until the view changes.
func (l *Leadership) pause(ctx context.Context, d time.Duration) {
	select {
	case <-l.timers.After(d):
	case <-l.fleet.changed:
	case <-ctx.Done():
	}
}

// campaign waits for a delay by rank and then runs for leader. If it wins, it leads until the leadership ends.
func (l *Leadership) campaign(ctx context.Context, view View) {
	delay := min(time.Duration(rank(view.Instances, l.fleet.self))*rankDelay, maxRankDelay)
	if l.timers.Since(l.started) < startSpread {
		// If all instances have just started, each knows few others, so that the ranks of many are equal.
		delay = rand.N(maxRankDelay)
	}
	select {
	case <-l.timers.After(delay + rand.N(rankDelay/2)):
	case <-ctx.Done():
		return
	}
	if view = l.fleet.View(); !view.Known || view.Leader != "" {
		return
	}
	err := l.lead(ctx)
	if err != nil && ctx.Err() == nil && !errors.Is(err, ErrConflict) {
		l.log.Log(event.LeadershipEnded, "Error", err)
	}
	if err != nil {
		l.pause(ctx, minimumBackoff+rand.N(minimumBackoff))
	}
}

// lead acquires the leadership and mirrors the registry of targets until the leadership is lost.
func (l *Leadership) lead(ctx context.Context) (err error) {
	t := &term{Leadership: l, revision: l.fleet.View().LeaderRevision}
	defer func() { t.end(ctx, err) }()
	if err := t.begin(ctx); err != nil {
		return err
	}
	l.log.Log(event.LeadershipBegan, "Revision", t.revision)
	ticks := l.timers.Subscribe(leadPeriod)
	defer ticks.Stop()
	for {
		t.tell(ctx)
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := t.renew(ctx); err != nil {
			return err
		}
		t.turn++
		if t.turn%noticeTurns == 0 {
			if err := l.check(ctx); err != nil {
				l.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)
			}
		}
		if err := l.targets.Read(ctx); err != nil {
			// Stay leader. If the store does not answer the renewals either, the lease expires and another instance can take over.
			l.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

			continue
		}
		if err := t.sync(ctx, true); err != nil {
			return err
		}
	}
}

// term is one term of leadership. The revision of the leader's key is the fencing token of all writes to the mirror: they fail once
// another instance leads.
type term struct {
	*Leadership
	lease    Lease
	revision uint64
	// mirrored is the revision of this term's last change of the mirror.
	mirrored uint64
	// told is the last notice that was sent, and toldTurn the turn in which it was sent. Turns count the periods of this term.
	told     Notice
	toldTurn int
	turn     int
	// written is the stored mirror, by ID of the target.
	written map[string]mirrored
}

// tell sends a notice if its content has changed or if the last one is noticeTurns old.
func (t *term) tell(ctx context.Context) {
	n := Notice{Leader: t.revision, Version: t.version(), Mirror: t.mirrored}
	if n == t.told && t.turn-t.toldTurn < noticeTurns {
		return
	}
	t.told, t.toldTurn = n, t.turn
	t.notify(ctx, n)
}

func (t *term) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := t.timers.WithTimeout(ctx, callTimeout)
	defer cancel()

	return f(ctx)
}

// begin acquires the leader's key, brings the mirror up to date and then marks it as synchronized.
func (t *term) begin(ctx context.Context) error {
	return t.call(ctx, func(ctx context.Context) (err error) {
		if t.lease, _, err = t.store.Grant(ctx, leaderTTL); err != nil {
			return err
		}
		if t.revision, err = t.claim(ctx, t.revision, false); err != nil {
			return err
		}
		if err = t.targets.Read(ctx); err != nil {
			return err
		}
		entries, _, err := t.store.List(ctx, mirrorPrefix)
		if err != nil {
			return err
		}
		t.written = make(map[string]mirrored, len(entries))
		for i := range entries {
			// An invalid value decodes to the zero value, which equals no target, so that sync overwrites or deletes the key.
			m, _ := take[mirrored](t.log, &entries[i])
			t.written[entries[i].Key[len(mirrorPrefix):]] = m
		}
		if err = t.sync(ctx, false); err != nil {
			return err
		}
		t.revision, err = t.claim(ctx, t.revision, true)

		return err
	})
}

// claim writes the leader's key if its revision is still the expected one, and returns the new revision.
func (t *term) claim(ctx context.Context, expected uint64, synced bool) (uint64, error) {
	value, err := json.Marshal(leader{Name: t.fleet.self.Name, Synced: synced})
	if err != nil {
		return 0, err
	}

	return t.store.Commit(ctx, Transaction{
		Expect: map[string]uint64{leaderKey: expected},
		Puts:   []Put{{Key: leaderKey, Value: value, Lease: t.lease}},
	})
}

func (t *term) renew(ctx context.Context) error {
	err := t.call(ctx, func(ctx context.Context) error { return t.store.Renew(ctx, t.lease) })
	if err != nil && !errors.Is(err, ErrLeaseEnded) {
		// The lease may still be valid at the next renewal.
		t.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

		return nil
	}

	return err
}

// sync writes the differences between the directory of targets and the stored mirror, in transactions of at most MaxChanges. If
// bounded is set, each transaction gets a timeout of its own; otherwise the deadline of ctx applies.
func (t *term) sync(ctx context.Context, bounded bool) error {
	var changes Transaction
	next := make(map[string]mirrored)
	flush := func() error {
		changes.Expect = map[string]uint64{leaderKey: t.revision}
		commit := func(ctx context.Context) error {
			revision, err := t.store.Commit(ctx, changes)
			if err == nil {
				t.mirrored = revision
			}

			return err
		}
		var err error
		if bounded {
			err = t.call(ctx, commit)
		} else {
			err = commit(ctx)
		}
		changes = Transaction{}

		return err
	}
	add := func() error {
		if len(changes.Puts)+len(changes.Deletes)+1 < MaxChanges {
			return nil
		}

		return flush()
	}
	for target := range t.targets.Current().All {
		m := mirror(target)
		next[target.ID] = m
		old, ok := t.written[target.ID]
		if ok && target.Same(old.target(target.ID)) {
			next[target.ID] = old

			continue
		}
		value, err := json.Marshal(m)
		if err != nil {
			return err
		}
		changes.Puts = append(changes.Puts, Put{Key: mirrorPrefix + target.ID, Value: value})
		if err := add(); err != nil {
			return err
		}
	}
	for id := range t.written {
		if _, ok := next[id]; ok {
			continue
		}
		changes.Deletes = append(changes.Deletes, mirrorPrefix+id)
		if err := add(); err != nil {
			return err
		}
	}
	if len(changes.Puts)+len(changes.Deletes) > 0 {
		if err := flush(); err != nil {
			return err
		}
	}
	t.written = next

	return nil
}

// end revokes the lease, if there is one that has not expired, so that another instance can take over immediately.
func (t *term) end(ctx context.Context, err error) {
	if t.lease == 0 || errors.Is(err, ErrLeaseEnded) {
		return
	}
	ctx, cancel := t.timers.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := t.store.End(ctx, t.lease); err != nil && !errors.Is(err, ErrLeaseEnded) {
		t.log.Log(event.LeadershipEnded, "Error", err)
	}
}

// rank returns the position of self in the order in which instances campaign: those with more processor share first, and by a hash
// of the name among equals.
func rank(instances []Instance, self Instance) int {
	n := 0
	for _, i := range instances {
		if i.Processor > self.Processor || i.Processor == self.Processor && hash(i.Name) < hash(self.Name) {
			n++
		}
	}

	return n
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))

	return h.Sum64()
}
