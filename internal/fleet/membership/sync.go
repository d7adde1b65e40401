package membership

import (
	"context"
	"net/netip"
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// join exchanges tables with up to joinTries seeds until one answers. Members known from before a pause are seeds too.
func (m *Membership) join(ctx context.Context) {
	seeds, complete := m.candidates(ctx)
	for _, seed := range seeds[:min(joinTries, len(seeds))] {
		if m.exchange(ctx, seed) == nil {
			m.mu.Lock()
			m.joined, m.joinWait = true, Period
			m.mu.Unlock()

			return
		}
	}
	if len(seeds) == 0 && complete {
		// This is the first instance of the fleet, as far as settings and list say.
		m.mu.Lock()
		m.joined = true
		m.mu.Unlock()

		return
	}
	m.log.Log(event.JoinFailed, "Seeds", len(seeds))
}

// candidates returns the addresses to join through in a random order, and whether the seed list could be read.
func (m *Membership) candidates(ctx context.Context) (seeds []netip.AddrPort, complete bool) {
	complete = true
	seeds = slices.Clone(m.seeds)
	if m.seedList != nil {
		listed, err := m.seedList(ctx)
		complete = err == nil
		seeds = append(seeds, listed[:min(maxSeeds, len(listed))]...)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.members {
		if usable(known.State) {
			seeds = append(seeds, known.Peer)
		}
	}
	seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == m.self.Peer })
	slices.SortFunc(seeds, netip.AddrPort.Compare)
	seeds = slices.Compact(seeds)
	m.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })

	return seeds, complete
}

// sync exchanges tables with a random member.
func (m *Membership) sync(ctx context.Context) {
	m.mu.Lock()
	chosen := m.sample(1, func(known *member) bool { return usable(known.State) })
	m.mu.Unlock()
	for _, u := range chosen {
		_ = m.exchange(ctx, u.Peer)
	}
}

// reconnect exchanges tables with one address that belongs to no live member: a failed member or a seed.
func (m *Membership) reconnect(ctx context.Context) {
	seeds := slices.Clone(m.seeds)
	if m.seedList != nil {
		if listed, err := m.seedList(ctx); err == nil {
			seeds = append(seeds, listed[:min(maxSeeds, len(listed))]...)
		}
	}
	m.mu.Lock()
	known := map[netip.AddrPort]bool{m.self.Peer: true}
	for _, other := range m.members {
		if other.State == instance.Failed {
			seeds = append(seeds, other.Peer)
		} else {
			known[other.Peer] = true
		}
	}
	seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return known[a] })
	slices.SortFunc(seeds, netip.AddrPort.Compare)
	seeds = slices.Compact(seeds)
	var chosen netip.AddrPort
	if len(seeds) > 0 {
		chosen = seeds[m.random.IntN(len(seeds))]
	}
	m.mu.Unlock()
	if chosen.IsValid() {
		_ = m.exchange(ctx, chosen)
	}
}

// exchange makes the tables of this instance and the one at the address equal. The first call carries only a digest and
// what is believed of the other, so instances with equal tables exchange no members.
func (m *Membership) exchange(ctx context.Context, to netip.AddrPort) error {
	m.mu.Lock()
	table := m.table()
	for _, known := range m.members {
		if known.Peer == to && known.State != instance.Alive {
			table.Members = append(table.Members, known.Instance)
		}
	}
	m.mu.Unlock()
	reply, err := m.swap(ctx, to, table)
	if err != nil {
		return err
	}
	newer, conflicts := m.compare(reply)
	for _, failed := range conflicts {
		// Told of its failure, a member that lives refutes it for all.
		gossip := m.compose(failed.Name)
		gossip.Updates = append([]instance.Instance{failed}, gossip.Updates[:min(len(gossip.Updates), peer.MaxUpdates-1)]...)
		m.pingWith(ctx, failed, gossip)
	}
	if len(newer) == 0 {
		return nil
	}
	m.mu.Lock()
	table = m.table()
	m.mu.Unlock()
	table.Members = newer
	_, err = m.swap(ctx, to, table)

	return err
}

func (m *Membership) swap(ctx context.Context, to netip.AddrPort, table peer.Table) (peer.Table, error) {
	m.sent(table)
	reply, err := m.calls.Sync(ctx, to, table)
	if err != nil {
		return peer.Table{}, err
	}
	m.received(reply)
	m.takeTable(reply)

	return reply, nil
}

// compare returns what this instance knows better than the table of another that differs, and the failures that
// only one of both believes in.
func (m *Membership) compare(reply peer.Table) (newer, conflicts []instance.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.Digest == m.digest() {
		return nil, nil
	}
	theirs := make(map[string]instance.Instance, len(reply.Members)+1)
	for _, i := range reply.Members {
		theirs[i.Name] = i
	}
	theirs[reply.Self.Name] = reply.Self
	for name, known := range m.members {
		their, ok := theirs[name]
		switch {
		case !ok && usable(known.State):
			newer = append(newer, known.Instance)
		case !ok:
		case known.State == instance.Failed && usable(their.State) && known.Supersedes(their):
			conflicts = append(conflicts, known.Instance)
		case their.State == instance.Failed && usable(known.State) && their.Supersedes(known.Instance):
			conflicts = append(conflicts, their)
		case known.Supersedes(their):
			newer = append(newer, known.Instance)
		}
	}
	slices.SortFunc(newer, byName)
	slices.SortFunc(conflicts, byName)
	m.random.Shuffle(len(conflicts), func(i, j int) { conflicts[i], conflicts[j] = conflicts[j], conflicts[i] })

	return newer, conflicts[:min(conflictProbes, len(conflicts))]
}

// table returns a table without members. The caller holds mu.
func (m *Membership) table() peer.Table {
	return peer.Table{Self: m.self, Revision: m.currentRevision(), Digest: m.digest()}
}

func (m *Membership) takeTable(table peer.Table) {
	now := m.timers.Now()
	m.mu.Lock()
	m.apply(table.Self, now, false)
	for _, u := range table.Members {
		m.apply(u, now, true)
	}
	m.finish(table.Self, table.Revision)
}

// HandleSync merges the table of another instance and returns this instance's table, without members when they are equal.
func (m *Membership) HandleSync(_ context.Context, _ peer.Sender, table peer.Table) (peer.Table, error) {
	m.received(table)
	m.takeTable(table)
	m.mu.Lock()
	reply := m.table()
	for name, known := range m.members {
		// The sender learns what is wrongly believed of it even when all else is equal.
		if reply.Digest != table.Digest || (name == table.Self.Name && known.State != instance.Alive) {
			reply.Members = append(reply.Members, known.Instance)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(reply.Members, byName)
	m.sent(reply)

	return reply, nil
}
