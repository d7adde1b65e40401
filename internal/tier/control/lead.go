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
	// leaderTTL is the time after which another instance leads if the leader is silent. With leadPeriod and the way of a change
	// to all instances it has to stay below the shortest bound for draining targets, 3 s.
	leaderTTL = 1500 * time.Millisecond
	// leadPeriod is the time between two reads of the targets' entries by the leader.
	leadPeriod = 500 * time.Millisecond
	// noticeTurns is the number of periods between two notices, and between two reads of the configuration by the leader.
	noticeTurns = 2
	// rankDelay is the pause between the tries of two instances to lead. It is longer than a change needs to reach all.
	rankDelay = 25 * time.Millisecond
	// mirrorGrace is how long an instance waits for the mirror of a new leader before it reads the entries itself.
	mirrorGrace = 600 * time.Millisecond
	// startSpread is the age up to which an instance tries to lead after a random pause.
	startSpread = 3 * time.Second
	// maxRankDelay bounds the pause of the last instance.
	maxRankDelay = 800 * time.Millisecond
)

// Leadership makes one instance of the fleet read the targets' entries and mirror them for the others. The mirror changes only
// when a target does, while the entries change with each heartbeat, so that the others can wait for changes.
//
// While no leader vouches for the mirror, each instance reads the entries itself.
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

// WithConfiguration makes a leader read the configuration as well, and tell its version in its notices.
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

// WithNotify sets the function by which a leader sends notices to the other instances. It must not block for longer than the
// period of the leader.
func WithNotify(notify func(ctx context.Context, n Notice)) LeadershipOption {
	return func(l *Leadership) { l.notify = notify }
}

// NewLeadership returns the part of an instance that leads or follows. The period is that of reads without a leader.
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

// Run leads or follows until ctx ends.
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
			// The store cannot be followed, or the leader has only begun.
			period := l.period
			if err := l.targets.Read(ctx); err != nil {
				period = minimumBackoff + rand.N(maximumBackoff)
			}
			l.await(ctx, period)
		}
	}

	return ctx.Err()
}

// await waits for d, or until a leader vouches for the mirror or there is none.
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

// campaign tries to lead after a delay by rank, and leads if no other instance was earlier.
func (l *Leadership) campaign(ctx context.Context, view View) {
	delay := min(time.Duration(rank(view.Instances, l.fleet.self))*rankDelay, maxRankDelay)
	if l.timers.Since(l.started) < startSpread {
		// All instances may have started at the same moment, and know few others yet.
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

// lead takes the leadership, and mirrors the entries until it is lost.
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
			// The lease is not renewed for another period if the store does not answer, so that another instance may lead.
			l.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

			continue
		}
		if err := t.sync(ctx, true); err != nil {
			return err
		}
	}
}

// term is one time of leadership. Its key fences the writes: they fail once another instance leads.
type term struct {
	*Leadership
	lease    Lease
	revision uint64
	// mirrored is the revision of the last change of the mirror, told what the last notice said, in the given turn.
	mirrored uint64
	told     Notice
	toldTurn int
	turn     int
	// written is the mirror as this term knows it.
	written map[string]mirrored
}

// tell sends a notice if something has changed, and once in noticeTurns in any case.
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

// begin takes the key of the leader and brings the mirror up to date.
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
			// A value that cannot be used differs from any target and is written anew, or removed.
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

// claim writes the key of the leader.
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
		// The lease may still last for another period.
		t.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

		return nil
	}

	return err
}

// sync writes what differs between the mirror and the directory.
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

// end gives the leadership back.
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

// rank orders the instances by how soon they try to lead: strong ones first, equal ones by a hash of the name.
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
