package membership

import (
	"math"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// compose returns the gossip for the named instance. What is wrongly believed of it comes first, so that it can refute.
func (m *Membership) compose(to string) peer.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	gossip := peer.Gossip{Self: m.self, Revision: m.currentRevision()}
	if known := m.members[to]; known != nil && known.State != instance.Alive {
		gossip.Updates = append(gossip.Updates, known.Instance)
	}
	pending := make([]*update, 0, len(m.news))
	for name, u := range m.news {
		if name != to {
			pending = append(pending, u)
		}
	}
	slices.SortFunc(pending, func(a, b *update) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}

		return byName(a.Instance, b.Instance)
	})
	limit := repeatFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
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
			return
		}
	}
	if known == nil {
		m.add(u, now)

		return
	}
	if u.Supersedes(known.Instance) {
		m.set(known, u, now)
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
	m.urgent = true
}

// announce spreads the state of this instance. The caller holds mu.
func (m *Membership) announce() {
	m.news[m.self.Name] = &update{Instance: m.self}
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
	if u.State == instance.Suspect {
		known.deadline = now.Add(m.suspicion())
		known.asked = false
	}
	m.news[u.Name] = &update{Instance: u}
	m.renew()
	if before == u {
		return
	}
	m.changed = append(m.changed, u)

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
	for _, name := range names {
		known := m.members[name]
		switch {
		case known.State == instance.Suspect && !now.Before(known.deadline) && !known.asked && asked < lastQuestions:
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
			m.set(known, next, now)
			m.urgent = true
		}
	}
	m.finish(instance.Instance{}, 0)
}
