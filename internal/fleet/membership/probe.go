package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// kind is a task that a tick begins. At most one of each kind runs at a time.
type kind int

const (
	probing kind = iota
	joining
	syncing
	reconnecting
	spreading
	kinds
)

// Run keeps the view until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	ticks := m.timers.Subscribe(Step)
	defer ticks.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	var free [kinds]chan struct{}
	for i := range free {
		free[i] = make(chan struct{}, 1)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		for _, k := range m.advance() {
			select {
			case free[k] <- struct{}{}:
			default:
				continue
			}
			running.Go(func() {
				defer func() { <-free[k] }()
				m.perform(ctx, k, together)
			})
		}
	}
}

// Tick runs one step of the protocol and returns when its calls have ended, which makes a simulation repeatable. It
// is called every Step. Run does the same without waiting for calls.
func (m *Membership) Tick(ctx context.Context) {
	for _, k := range m.advance() {
		m.perform(ctx, k, inTurn)
	}
}

// together and inTurn run calls that do not depend on each other.
func together(calls ...func()) {
	var running sync.WaitGroup
	for _, call := range calls {
		running.Go(call)
	}
	running.Wait()
}

func inTurn(calls ...func()) {
	for _, call := range calls {
		call()
	}
}

// advance brings the table to the current time and returns the tasks that are due.
func (m *Membership) advance() []kind {
	now := m.timers.Now()
	m.mu.Lock()
	gap := now.Sub(m.ticked)
	paused := !m.ticked.IsZero() && gap > PauseGap
	m.ticked = now
	if paused {
		m.resume(now)
	}
	m.expire(now)
	due := m.due(now)
	if paused {
		m.log.Log(event.InstancePaused, "Gap", gap)
		if m.onPause != nil {
			m.mu.Unlock()
			m.onPause(gap)
			m.mu.Lock()
		}
	}
	m.finish(instance.Instance{}, 0)

	return due
}

// resume forgets what a pause made stale. Suspicions start again, because their refutations may wait unread, and no
// one is probed before this instance has joined again. The caller holds mu.
func (m *Membership) resume(now time.Time) {
	for _, known := range m.members {
		if known.State == instance.Suspect {
			known.deadline = now.Add(m.suspicion())
		}
	}
	m.joined = false
	m.joinAt, m.joinWait = now, Period
}

// due returns the tasks that are due. The caller holds mu.
func (m *Membership) due(now time.Time) (due []kind) {
	m.steps++
	if m.urgent > 0 || len(m.doubted) > 0 {
		due = append(due, spreading)
	}
	alone := !slices.ContainsFunc(m.Live(), func(i instance.Instance) bool { return i.Name != m.self.Name })
	if (!m.joined || alone) && !now.Before(m.joinAt) {
		// Instances that start together spread their further attempts.
		m.joinAt = now.Add(m.joinWait/2 + time.Duration(m.random.Int64N(int64(m.joinWait))))
		m.joinWait = min(2*m.joinWait, maxJoinWait)
		due = append(due, joining)
	}
	if !m.joined {
		return due
	}
	if m.steps%stepsPerPeriod == 0 {
		due = append(due, probing)
	}
	if !now.Before(m.syncAt) && (now.Sub(m.lostAt) >= calm || !now.Before(m.syncBy)) {
		m.syncAt = now.Add(SyncPeriod)
		m.syncBy = m.syncAt.Add(SyncPeriod)
		due = append(due, syncing)
	}
	if !now.Before(m.retryAt) {
		m.retryAt = now.Add(ReconnectPeriod)
		due = append(due, reconnecting)
	}

	return due
}

func (m *Membership) perform(ctx context.Context, k kind, run func(...func())) {
	switch k {
	case probing:
		m.probe(ctx, run)
	case joining:
		m.join(ctx)
	case syncing:
		m.sync(ctx)
	case reconnecting:
		m.reconnect(ctx)
	case spreading:
		m.spread(ctx, run)
	}
}

// next returns the member to probe. Each round visits all members of a zone group in a random order, so that the time
// until a member is probed is bounded.
func (m *Membership) next() (instance.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes++
	// Not every probe, because those in turn carry the news of this zone and the revision of the configuration.
	if m.probes%2 == 0 {
		if i, ok := m.nextLost(m.timers.Now()); ok {
			return i, true
		}
	}
	first, second := &m.own, &m.others
	if m.probes%otherZoneEvery == 0 {
		first, second = second, first
	}
	for _, list := range []*[]string{first, second} {
		if i, ok := m.draw(list, list == &m.own); ok {
			return i, true
		}
	}

	return instance.Instance{}, false
}

// nextLost returns a member that is more likely lost than others: one that is left of a zone that is mostly gone and has not
// answered since, or one to probe first. The caller holds mu.
func (m *Membership) nextLost(now time.Time) (instance.Instance, bool) {
	for _, i := range m.left(1, now) {
		return i, true
	}
	for len(m.first) > 0 {
		name := m.first[len(m.first)-1]
		m.first = m.first[:len(m.first)-1]
		if known := m.members[name]; known != nil && known.State == instance.Alive {
			return known.Instance, true
		}
	}

	return instance.Instance{}, false
}

// draw takes the next name off list, which it fills again when it is used up. The caller holds mu.
func (m *Membership) draw(list *[]string, own bool) (instance.Instance, bool) {
	for range 2 {
		for len(*list) > 0 {
			name := (*list)[0]
			*list = (*list)[1:]
			if known := m.members[name]; known != nil && known.State != instance.Failed {
				return known.Instance, true
			}
		}
		for _, i := range m.sample(len(m.members), func(known *member) bool {
			return known.State != instance.Failed && (known.AvailabilityZone == m.self.AvailabilityZone) == own
		}) {
			*list = append(*list, i.Name)
		}
	}

	return instance.Instance{}, false
}

// probe pings one member, and through others when it does not answer.
func (m *Membership) probe(ctx context.Context, run func(...func())) {
	u, ok := m.next()
	if !ok {
		return
	}
	began := m.timers.Now()
	if m.ping(ctx, u) {
		return
	}
	m.mu.Lock()
	count := indirectProbes
	if m.losses(u, began, instance.Suspect) >= manyLosses {
		count = 1
	}
	helpers := m.sample(count, func(known *member) bool {
		return known.State == instance.Alive && known.Name != u.Name
	})
	m.mu.Unlock()
	answered := make([]bool, len(helpers))
	calls := make([]func(), 0, len(helpers))
	for i, helper := range helpers {
		calls = append(calls, func() { answered[i] = m.pingThrough(ctx, helper, u) })
	}
	run(calls...)
	// After a pause of this process the timeouts say nothing about the member.
	if slices.Contains(answered, true) || ctx.Err() != nil || m.timers.Since(began) > PauseGap {
		return
	}
	m.unanswered(u)
}

func (m *Membership) ping(ctx context.Context, u instance.Instance) bool {
	return m.pingWith(ctx, u, m.composeProbe(u.Name))
}

func (m *Membership) pingWith(ctx context.Context, u instance.Instance, gossip peer.Gossip) bool {
	ctx, cancel := m.timers.WithTimeout(ctx, PingTimeout)
	defer cancel()
	m.sent(gossip)
	reply, err := m.calls.Ping(ctx, u.Peer, gossip)

	return m.answered(u, reply, err)
}

func (m *Membership) pingThrough(ctx context.Context, helper, u instance.Instance) bool {
	ctx, cancel := m.timers.WithTimeout(ctx, IndirectTimeout)
	defer cancel()
	gossip := m.compose(helper.Name)
	m.sent(gossip)
	reply, err := m.calls.PingRequest(ctx, helper.Peer, u, gossip)

	return m.answered(u, reply, err)
}

// answered merges a reply and reports whether it came from u. Another instance may have taken over the address.
func (m *Membership) answered(u instance.Instance, reply peer.Gossip, err error) bool {
	if err != nil {
		return false
	}
	m.received(reply)
	m.take(reply)
	if reply.Self.Name != u.Name {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.members[u.Name]; known != nil {
		known.answered = m.timers.Now()
	}

	return true
}

// HandlePing answers the ping of another instance.
func (m *Membership) HandlePing(_ context.Context, _ peer.Sender, gossip peer.Gossip) (peer.Gossip, error) {
	m.received(gossip)
	m.take(gossip)
	reply := m.composeReply(gossip)
	m.sent(reply)

	return reply, nil
}

// HandlePingRequest pings u for another instance and returns the reply of u.
func (m *Membership) HandlePingRequest(
	ctx context.Context,
	_ peer.Sender,
	u instance.Instance,
	gossip peer.Gossip,
) (reply peer.Gossip, err error) {
	defer func() { err = Error.Wrap(err) }()

	m.received(gossip)
	m.take(gossip)
	ctx, cancel := m.timers.WithTimeout(ctx, PingTimeout)
	defer cancel()
	own := m.composeProbe(u.Name)
	m.sent(own)
	reply, err = m.calls.Ping(ctx, u.Peer, own)
	if err != nil {
		return peer.Gossip{}, err
	}
	m.received(reply)
	m.take(reply)
	m.sent(reply)

	return reply, nil
}

// Leave announces that this instance leaves. It goes on answering until it stops; others no longer use it.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.self.State = instance.Leaving
	m.self.Incarnation++
	m.announce()
	told := m.sample(leaveMessages, func(known *member) bool { return usable(known.State) })
	m.finish(instance.Instance{}, 0)
	m.pingAll(ctx, told, together)
}

// spread gives urgent news to some members, and asks suspects, which get the first chance to refute.
func (m *Membership) spread(ctx context.Context, run func(...func())) {
	m.mu.Lock()
	var told []instance.Instance
	if m.urgent > 0 {
		told = m.sample(m.urgent, func(known *member) bool {
			return usable(known.State) && !slices.Contains(m.doubted, known.Name)
		})
	}
	for _, name := range m.doubted {
		if doubted := m.members[name]; doubted != nil && doubted.State == instance.Suspect {
			told = append(told, doubted.Instance)
		}
	}
	m.urgent, m.doubted = 0, nil
	m.mu.Unlock()
	m.pingAll(ctx, told, run)
}

func (m *Membership) pingAll(ctx context.Context, members []instance.Instance, run func(...func())) {
	calls := make([]func(), 0, len(members))
	for _, u := range members {
		calls = append(calls, func() { m.ping(ctx, u) })
	}
	run(calls...)
}
