package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/fleet/membership"
	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	simulatedRegions       = 3
	simulatedZonesInRegion = 3
	// pushRound is the simulated time of one push or request of a record. It is above the 24 ms of a round trip between
	// regions and the time to send a record of 1 MB at 1 Gbit/s.
	pushRound = 50 * time.Millisecond
	// roundsInStep is the number of such rounds between two steps of membership.
	roundsInStep = int(membership.Step / pushRound)
)

var errCut = errors.New("no answer")

// simulatedNode is an instance without sockets.
type simulatedNode struct {
	members *membership.Membership
	keeper  *configuration.Keeper
	spread  *configuration.Spread
	self    instance.Instance
	zone    int
	down    bool
	// pending says that the spread was woken.
	pending atomic.Bool
	// failed is the number of members that this instance failed although they ran and could be reached.
	failed int
}

func (n *simulatedNode) region() int { return n.zone / simulatedZonesInRegion }

// simulation is a fleet with in-memory calls on one fake clock. A call takes no simulated time.
type simulation struct {
	clock   *clockwork.FakeClock
	timers  *timer.Service
	seed    uint64
	nodes   []*simulatedNode // also those that were replaced
	byPeer  map[netip.AddrPort]*simulatedNode
	started int
	// cut reports whether calls between two instances fail, and noStore whether an instance does not reach the store.
	cut      func(a, b *simulatedNode) bool
	noStore  func(n *simulatedNode) bool
	revision uint64
	pushes   atomic.Int64
	asked    atomic.Int64 // records sent on request
	lost     atomic.Int64 // calls that failed
}

func simulatedZones() (zones []zone.Zone) {
	for z := range simulatedRegions * simulatedZonesInRegion {
		zones = append(zones, zone.Zone(fmt.Sprintf("region%d-zone%d", z/simulatedZonesInRegion, z%simulatedZonesInRegion)))
	}

	return zones
}

func newSimulation(size int, seed uint64) *simulation {
	clock := clockwork.NewFakeClock()
	s := &simulation{
		clock: clock, timers: timer.New(timer.WithClock(clock)), seed: seed,
		byPeer: make(map[netip.AddrPort]*simulatedNode),
	}
	s.heal()
	for i := range size {
		s.start(i % (simulatedRegions * simulatedZonesInRegion))
	}

	return s
}

func (s *simulation) heal() {
	s.cut = func(_, _ *simulatedNode) bool { return false }
	s.noStore = func(*simulatedNode) bool { return false }
}

// addressOf returns the address of the n-th instance.
func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7000)
}

// start adds an instance under a new name and address.
func (s *simulation) start(z int) {
	n := &simulatedNode{zone: z, self: instance.Instance{
		// Names are as long as those that platforms give to processes.
		Name:             fmt.Sprintf("hickorynotch-%06x-%04d", s.seed&0xffffff, s.started),
		AvailabilityZone: simulatedZones()[z],
		Peer:             addressOf(s.started + 1),
		Incarnation:      uint64(s.clock.Now().UnixMilli()),
	}}
	s.started++
	n.keeper = configuration.NewKeeper(n.self.AvailabilityZone,
		func(_, _ json.RawMessage) (contract.Configuration, error) { return contract.Configuration{}, nil },
		configuration.WithOnAdopt(func(configuration.Active) { n.pending.Store(true) }))
	n.members = membership.New(n.self, s.timers, s.memberCalls(n),
		membership.WithSeed(s.seed),
		membership.WithSeeds(addressOf(1), addressOf(2), addressOf(3)),
		membership.WithRevision(n.keeper.Revision, func(from instance.Instance, revision uint64) {
			n.spread.Behind(from, revision)
			n.pending.Store(true)
		}),
		membership.WithOnChange(func(changed []instance.Instance) { s.judge(n, changed) }))
	n.spread = configuration.NewSpread(n.self, n.keeper, s.timers, s.spreadCalls(n), n.members.Live, s.seed)
	s.nodes = append(s.nodes, n)
	s.byPeer[n.self.Peer] = n
}

// judge counts failures of members that run and can be reached.
func (s *simulation) judge(n *simulatedNode, changed []instance.Instance) {
	for _, i := range changed {
		if other := s.byPeer[i.Peer]; i.State == instance.Failed && other != nil && !other.down && !s.cut(n, other) {
			n.failed++
		}
	}
}

// reach returns the instance at the address unless it or the way to it is down.
func (s *simulation) reach(from *simulatedNode, to netip.AddrPort) (*simulatedNode, error) {
	other := s.byPeer[to]
	if other == nil || other.down || s.cut(from, other) {
		s.lost.Add(1)

		return nil, errCut
	}

	return other, nil
}

func (s *simulation) memberCalls(n *simulatedNode) membership.Calls {
	return membership.Calls{
		Ping: func(ctx context.Context, to netip.AddrPort, gossip peer.Gossip) (peer.Gossip, error) {
			other, err := s.reach(n, to)
			if err != nil {
				return peer.Gossip{}, err
			}

			return other.members.HandlePing(ctx, peer.Sender{}, gossip)
		},
		PingRequest: func(ctx context.Context, to netip.AddrPort, u instance.Instance, gossip peer.Gossip) (peer.Gossip, error) {
			other, err := s.reach(n, to)
			if err != nil {
				return peer.Gossip{}, err
			}

			return other.members.HandlePingRequest(ctx, peer.Sender{}, u, gossip)
		},
		Sync: func(ctx context.Context, to netip.AddrPort, table peer.Table) (peer.Table, error) {
			other, err := s.reach(n, to)
			if err != nil {
				return peer.Table{}, err
			}

			return other.members.HandleSync(ctx, peer.Sender{}, table)
		},
	}
}

func (s *simulation) spreadCalls(n *simulatedNode) configuration.PeerCalls {
	return configuration.PeerCalls{
		Push: func(ctx context.Context, to netip.AddrPort, raw []byte) error {
			other, err := s.reach(n, to)
			if err != nil {
				return err
			}
			s.pushes.Add(1)

			return other.spread.HandlePush(ctx, peer.Sender{}, raw)
		},
		Configuration: func(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error) {
			other, err := s.reach(n, to)
			if err != nil {
				return nil, err
			}
			raw, err := other.spread.HandleConfiguration(ctx, peer.Sender{}, have)
			if len(raw) > 0 {
				s.asked.Add(1)
			}

			return raw, err
		},
	}
}

// running returns the instances that run and that accept does not refuse.
func (s *simulation) running(accept func(*simulatedNode) bool) (nodes []*simulatedNode) {
	for _, n := range s.nodes {
		if !n.down && (accept == nil || accept(n)) {
			nodes = append(nodes, n)
		}
	}

	return nodes
}

// round lets the instances that were woken before it push and request records.
func (s *simulation) round(ctx context.Context) {
	s.clock.Advance(pushRound)
	woken := s.running(func(n *simulatedNode) bool { return n.pending.Swap(false) })
	for _, n := range woken {
		n.spread.Flush(ctx)
	}
}

// run advances the fleet until done reports true after a round, and returns the simulated time that passed.
func (s *simulation) run(ctx context.Context, limit time.Duration, done func() bool) (took time.Duration, ok bool) {
	for round := 1; took < limit && ctx.Err() == nil; round++ {
		if done() {
			return took, true
		}
		s.round(ctx)
		took += pushRound
		if round%roundsInStep == 0 {
			for _, n := range s.nodes {
				if !n.down {
					n.members.Tick(ctx)
				}
			}
		}
	}

	return took, done()
}

func never() bool { return false }

// agreed reports whether each of nodes sees exactly as many live instances.
func agreed(nodes []*simulatedNode) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *simulatedNode) bool { return len(n.members.Live()) != len(nodes) })
	}
}

// inForce reports whether the newest revision is in force at each of nodes.
func (s *simulation) inForce(nodes []*simulatedNode) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *simulatedNode) bool { return n.keeper.Revision() < s.revision })
	}
}

// gone reports whether none of nodes uses the victim.
func gone(nodes []*simulatedNode, victim *simulatedNode) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *simulatedNode) bool { return uses(n, victim) })
	}
}

func uses(n, other *simulatedNode) bool {
	_, found := slices.BinarySearchFunc(n.members.Live(), other.self.Name,
		func(i instance.Instance, name string) int {
			switch {
			case i.Name < name:
				return -1
			case i.Name > name:
				return 1
			default:
				return 0
			}
		})

	return found
}

// apply puts a new record into the store. The watching instance of each zone that reaches the store adopts it at once.
func (s *simulation) apply() error {
	s.revision++
	raw, err := json.Marshal(configuration.Record{
		Applied: configuration.Applied{Revision: s.revision, ApplyID: "bench", Operator: "bench", At: s.clock.Now()},
		Base:    json.RawMessage("{}"),
	})
	if err != nil {
		return err
	}
	for z := range simulatedRegions * simulatedZonesInRegion {
		nodes := s.running(func(n *simulatedNode) bool { return n.zone == z })
		members := make([]instance.Instance, 0, len(nodes))
		for _, n := range nodes {
			members = append(members, n.self)
		}
		order := ownership.Rank(configuration.Key, members)
		if len(order) == 0 {
			continue
		}
		if watcher := s.byPeer[order[0].Peer]; !s.noStore(watcher) {
			if _, err := watcher.keeper.Offer(raw, "Store"); err != nil {
				return err
			}
		}
	}

	return nil
}

// load is the traffic of membership over all instances, without framing.
type load struct {
	messages, bytes uint64
}

func (s *simulation) load() (sum load) {
	for _, n := range s.nodes {
		t := n.members.Traffic()
		sum.messages += t.MessagesSent + t.MessagesReceived
		sum.bytes += t.BytesSent + t.BytesReceived
	}

	return sum
}

// falseFailures returns the number of failures of members that ran and could be reached.
func (s *simulation) falseFailures() (count int) {
	for _, n := range s.nodes {
		count += n.failed
	}

	return count
}
