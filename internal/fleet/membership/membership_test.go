package membership_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/membership"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "membership")
}

var (
	zones   = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}
	errLost = errors.New("no answer")
)

type node struct {
	*membership.Membership
	self   instance.Instance
	down   bool // killed or paused
	pauses int
	failed map[string]int // how often this node failed another
}

// fleet is a simulation of instances in one process on one fake clock. Only the seed decides what happens.
type fleet struct {
	clock  *clockwork.FakeClock
	timers *timer.Service
	random *rand.Rand
	seed   uint64
	nodes  []*node
	// lose reports whether a message is lost.
	lose  func(from, to *node) bool
	cross atomic.Int64 // pings to another zone
	same  atomic.Int64 // pings within a zone
}

func newFleet(size int, seed uint64) *fleet {
	GinkgoWriter.Printf("seed %d\n", seed)
	clock := clockwork.NewFakeClock()
	f := &fleet{clock: clock, timers: timer.New(timer.WithClock(clock)), seed: seed, random: rand.New(rand.NewPCG(seed, 1))}
	f.lose = func(*node, *node) bool { return false }
	for i := range size {
		f.nodes = append(f.nodes, f.start(i, i))
	}

	return f
}

func (f *fleet) start(name, address int, options ...membership.Option) *node {
	n := &node{failed: map[string]int{}, self: instance.Instance{
		Name:             fmt.Sprintf("i%03d", name),
		AvailabilityZone: zones[name%len(zones)],
		Peer:             netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(address >> 8), byte(address)}), 7000),
	}}
	calls := membership.Calls{
		Ping: func(ctx context.Context, to netip.AddrPort, g peer.Gossip) (peer.Gossip, error) {
			other := f.at(to)
			if other != nil && other.self.AvailabilityZone == n.self.AvailabilityZone {
				f.same.Add(1)
			} else {
				f.cross.Add(1)
			}
			if other == nil || f.lose(n, other) {
				return peer.Gossip{}, errLost
			}
			reply, err := other.HandlePing(ctx, peer.Sender{}, g)
			if f.lose(other, n) {
				return peer.Gossip{}, errLost
			}

			return reply, err
		},
		PingRequest: func(ctx context.Context, to netip.AddrPort, i instance.Instance, g peer.Gossip) (peer.Gossip, error) {
			other := f.at(to)
			if other == nil || f.lose(n, other) {
				return peer.Gossip{}, errLost
			}
			reply, err := other.HandlePingRequest(ctx, peer.Sender{}, i, g)
			if f.lose(other, n) {
				return peer.Gossip{}, errLost
			}

			return reply, err
		},
		Sync: func(ctx context.Context, to netip.AddrPort, t peer.Table) (peer.Table, error) {
			other := f.at(to)
			if other == nil || f.lose(n, other) || f.lose(other, n) {
				return peer.Table{}, errLost
			}

			return other.HandleSync(ctx, peer.Sender{}, t)
		},
	}
	n.Membership = membership.New(n.self, f.timers, calls, append([]membership.Option{
		membership.WithSeed(f.seed),
		membership.WithSeeds(netip.MustParseAddrPort("10.0.0.0:7000"), netip.MustParseAddrPort("10.0.0.1:7000")),
		membership.WithOnPause(func(time.Duration) { n.pauses++ }),
		membership.WithOnChange(func(changed []instance.Instance) {
			for _, i := range changed {
				if i.State == instance.Failed {
					n.failed[i.Name]++
				}
			}
		}),
	}, options...)...)

	return n
}

func (f *fleet) at(address netip.AddrPort) *node {
	for _, n := range f.nodes {
		if n.self.Peer == address && !n.down {
			return n
		}
	}

	return nil
}

// run advances the fleet, stops early when done reports true, and returns the time taken.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	for taken := time.Duration(0); taken < limit; taken += membership.Step {
		if done() {
			return taken
		}
		f.clock.Advance(membership.Step)
		for _, n := range f.nodes {
			if !n.down {
				n.Tick(context.Background())
			}
		}
	}

	return limit
}

func never() bool { return false }

// agreed reports whether each running node sees exactly the running nodes as live.
func (f *fleet) agreed(among ...*node) func() bool {
	return func() bool {
		if among == nil {
			for _, n := range f.nodes {
				if !n.down {
					among = append(among, n)
				}
			}
		}
		for _, n := range among {
			live := n.Live()
			if len(live) != len(among) {
				return false
			}
			for i, other := range live {
				if other.Name != among[i].self.Name {
					return false
				}
			}
		}

		return true
	}
}

// joined returns a fleet whose members know each other.
func joined(size int, seed uint64) *fleet {
	GinkgoHelper()
	f := newFleet(size, seed)
	f.run(time.Minute, f.agreed())
	Expect(f.agreed()()).To(BeTrue(), "join, seed %d", seed)

	return f
}

func (f *fleet) failures(names ...string) (count int) {
	for _, n := range f.nodes {
		for name, times := range n.failed {
			if len(names) == 0 || name == names[0] {
				count += times
			}
		}
	}

	return count
}

func stateOf(n *node, name string) string {
	for _, i := range n.Members() {
		if i.Name == name {
			return i.State.String()
		}
	}

	return "Forgotten"
}

var seeds = []TableEntry{Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4))}

var _ = Describe("Detection", func() {
	DescribeTable("fails a killed instance everywhere within a bounded time and no other one", func(seed uint64) {
		worst := time.Duration(0)
		for victim := range 8 {
			f := joined(8, seed*100+uint64(victim))
			f.nodes[victim].down = true
			taken := f.run(time.Minute, f.agreed())
			worst = max(worst, taken)
			Expect(f.failures()).To(Equal(f.failures(f.nodes[victim].self.Name)))
		}
		GinkgoWriter.Printf("slowest %v\n", worst)
		Expect(worst).To(BeNumerically("<=", 7*time.Second))
	}, seeds)

	DescribeTable("does not fail live instances when one message in twenty is lost", func(seed uint64) {
		f := joined(8, seed)
		f.lose = func(*node, *node) bool { return f.random.Float64() < 0.05 }
		f.run(5*time.Minute, never)
		Expect(f.failures()).To(BeZero())
	}, seeds)

	DescribeTable("agrees again after a time of heavy loss, in which live instances are failed", func(seed uint64) {
		f := joined(8, seed)
		f.lose = func(*node, *node) bool { return f.random.Float64() < 0.4 }
		f.run(time.Minute, never)
		Expect(f.failures()).NotTo(BeZero())
		f.lose = func(*node, *node) bool { return false }
		f.run(time.Minute, f.agreed())
		Expect(f.agreed()()).To(BeTrue())
	}, seeds)

	DescribeTable("reaches through others an instance whose replies to one member are lost", func(seed uint64) {
		f := joined(8, seed)
		f.lose = func(from, to *node) bool { return from == f.nodes[3] && to == f.nodes[0] }
		f.run(time.Minute, never)
		Expect(f.failures()).To(BeZero())
	}, seeds)

	It("probes another zone with every fourth probe", func() {
		f := joined(9, 5)
		f.same.Store(0)
		f.cross.Store(0)
		f.run(4*time.Minute, never)
		Expect(float64(f.cross.Load()) / float64(f.cross.Load()+f.same.Load())).To(BeNumerically("~", 0.25, 0.01))
	})

	It("costs an instance the same in a fleet of any size, within the 8 KB a second of the control plane", func() {
		rate := func(size int) (messages, bytes float64) {
			f := joined(size, 6)
			f.run(time.Minute, never)
			before := f.nodes[size-1].Traffic()
			f.run(time.Minute, never)
			after := f.nodes[size-1].Traffic()

			return float64(after.MessagesSent-before.MessagesSent+after.MessagesReceived-before.MessagesReceived) / 60,
				float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived) / 60
		}
		few, bytesFew := rate(8)
		many, bytesMany := rate(90)
		GinkgoWriter.Printf("8 instances: %.1f messages, %.0f bytes; 90 instances: %.1f messages, %.0f bytes a second\n", few, bytesFew, many, bytesMany)
		Expect(many).To(BeNumerically("<", 1.5*few))
		Expect(bytesMany).To(BeNumerically("<", 8<<10))
	})
})

var _ = Describe("A pause of the process", func() {
	DescribeTable("makes the instance join again and fail no one", func(seed uint64) {
		f := joined(8, seed)
		paused := f.nodes[2]
		paused.down = true
		f.run(20*time.Second, never)
		Expect(stateOf(f.nodes[0], paused.self.Name)).To(Equal("Failed"))
		paused.down = false
		f.run(time.Minute, f.agreed())
		Expect(f.agreed()()).To(BeTrue())
		Expect(paused.pauses).To(Equal(1))
		Expect(paused.Joined()).To(BeTrue())
		Expect(paused.failed).To(BeEmpty())
		Expect(paused.Self().Incarnation).To(BeNumerically(">", 0), "only a higher incarnation refutes a failure")
	}, seeds)
})

var _ = Describe("A partition between zones", func() {
	DescribeTable("leaves each side its own members, and ends without failing live ones", func(seed uint64) {
		f := joined(8, seed)
		var side, other []*node
		for _, n := range f.nodes {
			if n.self.AvailabilityZone == "Kochi" {
				side = append(side, n)
			} else {
				other = append(other, n)
			}
		}
		f.lose = func(from, to *node) bool {
			return (from.self.AvailabilityZone == "Kochi") != (to.self.AvailabilityZone == "Kochi")
		}
		f.run(2*time.Minute, func() bool { return f.agreed(side...)() && f.agreed(other...)() })
		Expect(f.agreed(side...)()).To(BeTrue())
		Expect(f.agreed(other...)()).To(BeTrue())
		f.run(3*time.Minute, never)

		before := f.failures()
		f.lose = func(*node, *node) bool { return false }
		taken := f.run(2*time.Minute, f.agreed())
		GinkgoWriter.Printf("merged after %v\n", taken)
		Expect(f.agreed()()).To(BeTrue())
		f.run(time.Minute, never)
		Expect(f.failures()).To(Equal(before), "members were failed after the partition ended")
	}, seeds)
})

var _ = Describe("A lost zone", func() {
	DescribeTable("is known to all within the time of a configuration, also after a partition whose news would hold it up", func(seed uint64) {
		f := joined(90, seed)
		f.lose = func(from, to *node) bool { return from.self.AvailabilityZone != to.self.AvailabilityZone }
		f.run(time.Minute, never)
		f.lose = func(*node, *node) bool { return false }
		before := f.failures()
		f.run(time.Minute, f.agreed())
		Expect(f.agreed()()).To(BeTrue())
		Expect(f.failures()).To(Equal(before), "old news failed members that live")

		for _, n := range f.nodes {
			n.down = n.self.AvailabilityZone == "Kochi"
		}
		taken := f.run(time.Minute, f.agreed())
		GinkgoWriter.Printf("known to all after %v\n", taken)
		Expect(taken).To(BeNumerically("<=", 14*time.Second))
	}, seeds[1:2])
})

var _ = Describe("Leaving and coming back", func() {
	It("takes a leaving instance out of use at once, without a suspicion", func() {
		f := joined(8, 7)
		f.nodes[4].Leave(context.Background())
		for _, n := range f.nodes {
			Expect(stateOf(n, "i004")).To(Equal("Leaving"))
			Expect(n.Live()).To(HaveLen(7))
		}
		f.run(3*time.Second, never)
		f.nodes[4].down = true
		f.run(time.Minute, never)
		Expect(stateOf(f.nodes[0], "i004")).To(Equal("Failed"))
		f.run(membership.Forget, never)
		Expect(stateOf(f.nodes[0], "i004")).To(Equal("Forgotten"))
	})

	DescribeTable("takes a restarted instance back under its old name", func(seed uint64) {
		f := joined(8, seed)
		f.nodes[5].down = true
		f.run(20*time.Second, never)
		f.nodes[5] = f.start(5, 105)
		f.run(time.Minute, f.agreed())
		Expect(f.agreed()()).To(BeTrue())
	}, seeds)

	It("does not bring a failed instance back through old gossip", func() {
		f := joined(8, 8)
		f.nodes[5].down = true
		f.run(20*time.Second, never)
		for range 3 {
			_, err := f.nodes[0].HandlePing(context.Background(), peer.Sender{}, peer.Gossip{Self: f.nodes[1].Self(), Updates: []instance.Instance{f.nodes[5].self}})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(stateOf(f.nodes[0], "i005")).To(Equal("Failed"))
	})

	It("refutes what is not so of itself, also after a restart with another address", func() {
		f := joined(2, 9)
		n := f.nodes[1]
		claim := n.self
		for _, state := range []instance.State{instance.Suspect, instance.Failed, instance.Leaving} {
			claim.Incarnation, claim.State = n.Self().Incarnation, state
			_, _ = n.HandlePing(context.Background(), peer.Sender{}, peer.Gossip{Self: f.nodes[0].Self(), Updates: []instance.Instance{claim}})
			Expect(n.Self().Incarnation).To(Equal(claim.Incarnation+1), state.String())
			Expect(n.Self().State).To(Equal(instance.Alive))
		}
		claim = n.Self()
		claim.Peer = netip.MustParseAddrPort("10.9.9.9:1")
		_, _ = n.HandlePing(context.Background(), peer.Sender{}, peer.Gossip{Self: f.nodes[0].Self(), Updates: []instance.Instance{claim}})
		Expect(n.Self().Incarnation).To(Equal(claim.Incarnation + 1))
	})

	It("keeps its table within its bound and makes room by forgetting failed instances", func() {
		f := newFleet(2, 10)
		n := f.start(1, 1, membership.WithLimit(4))
		f.nodes[1] = n
		tell := func(name int, state instance.State) {
			i := f.start(name, name).self
			i.State = state
			_, _ = n.HandlePing(context.Background(), peer.Sender{}, peer.Gossip{Self: f.nodes[0].Self(), Updates: []instance.Instance{i}})
		}
		for name := range 10 {
			tell(name+2, instance.Alive)
		}
		Expect(n.Members()).To(HaveLen(4))
		Expect(n.Dropped()).To(BeEquivalentTo(8))
		tell(2, instance.Suspect)
		tell(2, instance.Failed)
		tell(20, instance.Alive)
		Expect(stateOf(n, "i020")).To(Equal("Alive"))
		Expect(n.Members()).To(HaveLen(4))
	})
})

var _ = Describe("Revisions", func() {
	It("tells of a higher revision in gossip, so that an instance that is behind can ask for the record", func() {
		f := newFleet(1, 11)
		var from []string
		n := f.start(1, 1, membership.WithRevision(func() uint64 { return 5 }, func(i instance.Instance, revision uint64) {
			from = append(from, fmt.Sprint(i.Name, " ", revision))
		}))
		for _, revision := range []uint64{4, 5, 6} {
			reply, err := n.HandlePing(context.Background(), peer.Sender{}, peer.Gossip{Self: f.nodes[0].Self(), Revision: revision})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Revision).To(BeEquivalentTo(5))
		}
		Expect(from).To(Equal([]string{"i000 6"}))
	})
})

var _ = Describe("Run", func() {
	It("probes on the ticks of the timer service and ends with its context", func() {
		clock := clockwork.NewFakeClock()
		pinged := make(chan struct{}, 100)
		self := instance.Instance{Name: "a", AvailabilityZone: "Kochi", Peer: netip.MustParseAddrPort("10.0.0.1:1")}
		other := instance.Instance{Name: "b", AvailabilityZone: "Kochi", Peer: netip.MustParseAddrPort("10.0.0.2:1")}
		m := membership.New(self, timer.New(timer.WithClock(clock)), membership.Calls{
			Ping: func(context.Context, netip.AddrPort, peer.Gossip) (peer.Gossip, error) {
				pinged <- struct{}{}

				return peer.Gossip{Self: other}, nil
			},
			Sync: func(context.Context, netip.AddrPort, peer.Table) (peer.Table, error) {
				return peer.Table{Self: other}, nil
			},
		}, membership.WithSeeds(other.Peer))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx) }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Eventually(func() int {
			clock.Advance(membership.Step)

			return len(pinged)
		}, "20s", "2ms").Should(BeNumerically(">=", 3))
		cancel()
		Eventually(ended, "10s").Should(Receive(MatchError(context.Canceled)))
	})
})
