package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// compose returns the gossip for the named instance. What is wrongly believed of it comes first, so that it can refute.
func (m *Membership) compose(to string) peer.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.gossip(to, nil)
}

// composeReply returns the gossip that answers received. It corrects first what the sender knows less well.
func (m *Membership) composeReply(received peer.Gossip) peer.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	var corrections []instance.Instance
	for _, u := range received.Updates {
		if known := m.members[u.Name]; known != nil && known.Supersedes(u) {
			corrections = append(corrections, known.Instance)
		}
	}

	return m.gossip(received.Self.Name, corrections)
}

// composeProbe returns the gossip of a ping. A member that is not alive gets only what is believed of it: most such pings are
// lost, and the news on them would count as told. Another one is also told of members that are left of a zone that is mostly
// gone, so that its reply corrects what this instance has missed.
func (m *Membership) composeProbe(to string) peer.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.members[to]; known != nil && known.State != instance.Alive {
		return peer.Gossip{Self: m.self, Revision: m.currentRevision(), Updates: []instance.Instance{known.Instance}}
	}

	return m.gossip(to, m.left(maxLeft, m.timers.Now()))
}

// left returns up to n members that are left of zones that are mostly gone, and did not answer since. The caller holds mu.
func (m *Membership) left(n int, now time.Time) []instance.Instance {
	gone := m.gone(now)
	if len(gone) == 0 {
		return nil
	}

	return m.sample(n, func(known *member) bool {
		since, ok := gone[known.AvailabilityZone]

		return ok && known.State == instance.Alive && known.answered.Before(since)
	})
}

// gossip returns the gossip for the named instance with some updates first. The caller holds mu.
func (m *Membership) gossip(to string, first []instance.Instance) peer.Gossip {
	gossip := peer.Gossip{Self: m.self, Revision: m.currentRevision()}
	if known := m.members[to]; known != nil && known.State != instance.Alive {
		gossip.Updates = append(gossip.Updates, known.Instance)
	}
	gossip.Updates = append(gossip.Updates, first[:min(len(first), peer.MaxUpdates-len(gossip.Updates))]...)
	now := m.timers.Now()
	pending := make([]*update, 0, len(m.news))
	for name, u := range m.news {
		switch {
		case now.Sub(u.since) >= newsAge:
			delete(m.news, name)
		case name != to && !slices.Contains(gossip.Updates, u.Instance):
			pending = append(pending, u)
		}
	}
	slices.SortFunc(pending, func(a, b *update) int {
		return cmp.Or(a.sent-b.sent, cmp.Compare(a.order, b.order))
	})
	limit := m.repeats()
	for _, u := range pending {
		if len(gossip.Updates) >= peer.MaxUpdates {
			break
		}
		gossip.Updates = append(gossip.Updates, u.Instance)
		u.sent++
		if u.sent >= limit {
			delete(m.news, u.Name)
		}
	}

	return gossip
}

// take merges the gossip of another instance.
func (m *Membership) take(gossip peer.Gossip) {
	now := m.timers.Now()
	m.mu.Lock()
	m.apply(gossip.Self, now, false)
	for _, u := range gossip.Updates {
		m.apply(u, now, false)
	}
	m.finish(gossip.Self, gossip.Revision)
}

// finish ends a merge that the caller began by locking mu, and tells others of its result.
func (m *Membership) finish(from instance.Instance, revision uint64) {
	changed := m.changed
	m.changed = nil
	higher := revision > m.currentRevision()
	m.mu.Unlock()

	if len(changed) > 0 && m.onChange != nil {
		m.onChange(changed)
	}
	if higher && m.onRevision != nil {
		m.onRevision(from, revision)
	}
}

func (m *Membership) currentRevision() uint64 {
	if m.revision == nil {
		return 0
	}

	return m.revision()
}

// apply merges one statement. A table accuses no one of having failed: after a partition each side has failed the other,
// and taking that over would fail live members before they can refute. The caller holds mu.
func (m *Membership) apply(u instance.Instance, now time.Time, fromTable bool) {
	if u.Name == m.self.Name {
		m.refute(u)

		return
	}
	known := m.members[u.Name]
	if fromTable {
		switch {
		case u.State == instance.Suspect:
			u.State = instance.Alive
		case u.State == instance.Failed && (known == nil || usable(known.State)):
			if known != nil && known.State == instance.Alive && u.Supersedes(known.Instance) {
				m.probeFirst(u.Name)
			}

			return
		}
	}
	if known == nil {
		m.add(u, now)

		return
	}
	if !u.Supersedes(known.Instance) {
		return
	}
	if u.State == instance.Failed && (known.State == instance.Alive || known.hearsay) && m.losses(u, now, instance.Failed) < manyLosses {
		m.doubt(known, u, now)

		return
	}
	m.set(known, u, now)
}

// doubt makes a suspicion of a failure that came without one. It may come from the other side of a partition that has just
// ended, so the member gets the time to refute, or is asked at once when it is the only one. The caller holds mu.
func (m *Membership) doubt(known *member, u instance.Instance, now time.Time) {
	if known.hearsay {
		return
	}
	only := m.losses(u, now, instance.Suspect) == 0
	u.State = instance.Suspect
	m.set(known, u, now)
	known.hearsay = true
	if only {
		known.deadline = now
	}
}

// refute raises the incarnation when another instance says something about this one that is not so. The caller holds mu.
func (m *Membership) refute(u instance.Instance) {
	if u.Incarnation < m.self.Incarnation || u == m.self {
		return
	}
	if u.Incarnation == m.self.Incarnation && u.State < m.self.State {
		return
	}
	m.self.Incarnation = min(u.Incarnation+1, instance.MaxIncarnation)
	m.log.Log(event.MemberRefuting, "State", u.State, "Incarnation", m.self.Incarnation)
	m.announce()
	m.urgent = urgentMessages
}

// announce spreads the state of this instance. The caller holds mu.
func (m *Membership) announce() {
	m.tell(m.self, m.timers.Now())
	m.changed = append(m.changed, m.self)
	m.renew()
}

// add puts an unknown instance into the table. An unknown instance that is already gone is not remembered: the
// instances that saw it go remember it, and passing the memory on would keep it for ever. The caller holds mu.
func (m *Membership) add(u instance.Instance, now time.Time) {
	if !usable(u.State) {
		return
	}
	if len(m.members) >= m.limit-1 && !m.evict() {
		m.dropped++
		m.log.Log(event.MembersFull, "Instance", u.Name)

		return
	}
	known := &member{}
	m.members[u.Name] = known
	m.set(known, u, now)
}

// evict forgets the instance that has been gone for longest and reports whether there was one. The caller holds mu.
func (m *Membership) evict() bool {
	var oldest *member
	for _, known := range m.members {
		if !usable(known.State) && (oldest == nil || known.changed.Before(oldest.changed)) {
			oldest = known
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.members, oldest.Name)
	delete(m.news, oldest.Name)

	return true
}

// set stores and spreads what is newly known. The caller holds mu.
func (m *Membership) set(known *member, u instance.Instance, now time.Time) {
	before := known.Instance
	known.Instance = u
	known.changed = now
	known.hearsay = false
	if u.State == instance.Suspect {
		known.deadline = now.Add(m.suspicion())
		known.asked = false
	}
	m.tell(u, now)
	m.renew()
	if before == u {
		return
	}
	m.changed = append(m.changed, u)
	if u.State == instance.Suspect || u.State == instance.Failed {
		m.lostAt = now
	}
	if u.State == instance.Suspect {
		m.search(u, now)
	}

	about := []any{"Instance", u.Name, "AvailabilityZone", u.AvailabilityZone, "Incarnation", u.Incarnation}
	switch {
	case u.State == instance.Suspect:
		m.log.Log(event.MemberSuspect, about...)
	case u.State == instance.Failed:
		m.log.Log(event.MemberFailed, about...)
	case u.State == instance.Leaving:
		m.log.Log(event.MemberLeft, about...)
	case before.Name == "" || !usable(before.State):
		m.log.Log(event.MemberJoined, about...)
	}
}

// tell makes u news that messages carry. The caller holds mu.
func (m *Membership) tell(u instance.Instance, now time.Time) {
	next := &update{Instance: u, since: now, order: m.random.Uint64()}
	if told := m.news[u.Name]; told != nil && told.State == instance.Suspect && u.State == instance.Failed {
		// Those who were told of the suspicion fail the member without being told.
		next.sent = min(told.sent, m.repeats()/2)
	}
	m.news[u.Name] = next
}

// repeats is the number of messages that carry an update. The caller holds mu.
func (m *Membership) repeats() int {
	return repeatFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// search has another member of the zone of u probed first when one was lost shortly before: a rack or the whole zone may be
// gone. With probes in turn alone, 256 instances took 15 s to find all of 29 lost ones. The caller holds mu.
func (m *Membership) search(u instance.Instance, now time.Time) {
	if m.losses(u, now, instance.Suspect) == 0 {
		return
	}
	for _, i := range m.sample(lossProbes, func(known *member) bool {
		return known.State == instance.Alive && known.AvailabilityZone == u.AvailabilityZone
	}) {
		m.probeFirst(i.Name)
	}
}

// gone returns the zones that lost at least half of their members, and at least manyLosses, shortly before, with the time of
// the first loss. When most of the fleet seems lost, this instance is the one that is cut off, and there are none. The caller
// holds mu.
func (m *Membership) gone(now time.Time) map[zone.Zone]time.Time {
	var sumLost, sumAlive int
	lost, alive := make(map[zone.Zone]int), make(map[zone.Zone]int)
	first := make(map[zone.Zone]time.Time)
	for _, known := range m.members {
		switch {
		case known.State == instance.Alive:
			sumAlive++
			alive[known.AvailabilityZone]++
		case known.State != instance.Leaving && now.Sub(known.changed) < lossWindow:
			sumLost++
			lost[known.AvailabilityZone]++
			if at, ok := first[known.AvailabilityZone]; !ok || known.changed.Before(at) {
				first[known.AvailabilityZone] = known.changed
			}
		}
	}
	maps.DeleteFunc(first, func(z zone.Zone, _ time.Time) bool {
		return sumLost > sumAlive || lost[z] < max(manyLosses, alive[z])
	})

	return first
}

// losses returns how many other members of the zone of u were lost shortly before and have the state at least. The caller
// holds mu.
func (m *Membership) losses(u instance.Instance, now time.Time, least instance.State) (count int) {
	for _, known := range m.members {
		if known.Name != u.Name && known.AvailabilityZone == u.AvailabilityZone &&
			known.State >= least && known.State != instance.Leaving && now.Sub(known.changed) < lossWindow {
			count++
		}
	}

	return count
}

// probeFirst puts a member before those that are probed in turn. The caller holds mu.
func (m *Membership) probeFirst(name string) {
	if !slices.Contains(m.first, name) {
		m.first = append(m.first[max(0, len(m.first)+1-maxFirst):], name)
	}
}

// expire ends suspicions and forgets instances that are long gone. Members that are alive are left out, because sorting all
// names at every step was half of the processor time of membership. The caller holds mu.
func (m *Membership) expire(now time.Time) {
	var names []string
	for name, known := range m.members {
		if known.State != instance.Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	asked := 0
	var gone map[zone.Zone]time.Time
	if len(names) > 0 {
		gone = m.gone(now)
	}
	for _, name := range names {
		known := m.members[name]
		_, isGone := gone[known.AvailabilityZone]
		switch {
		case known.State == instance.Suspect && !now.Before(known.deadline) && !known.asked && asked < lastQuestions && !isGone:
			// A refutation may have been lost, so this instance asks once itself.
			asked++
			known.asked = true
			known.deadline = now.Add(lastWait)
			m.doubted = append(m.doubted, name)
		case known.State == instance.Suspect && !now.Before(known.deadline):
			failed := known.Instance
			failed.State = instance.Failed
			m.set(known, failed, now)
		case !usable(known.State) && now.Sub(known.changed) >= Forget:
			delete(m.members, name)
			delete(m.news, name)
		}
	}
}

// unanswered records that no probe of u was answered and tells others.
func (m *Membership) unanswered(u instance.Instance) {
	now := m.timers.Now()
	m.mu.Lock()
	known := m.members[u.Name]
	if known != nil && known.Incarnation == u.Incarnation {
		next := known.Instance
		switch known.State {
		case instance.Alive:
			next.State = instance.Suspect
			m.doubted = append(m.doubted, u.Name)
		case instance.Leaving:
			// It announced that it leaves, so there is nothing to refute.
			next.State = instance.Failed
		}
		if next.State != known.State {
			if m.losses(next, now, instance.Suspect) >= manyLosses {
				m.urgent = max(m.urgent, 1)
			} else {
				m.urgent = urgentMessages
			}
			m.set(known, next, now)
		}
	}
	m.finish(instance.Instance{}, 0)
}
