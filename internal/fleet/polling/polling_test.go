package polling

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestPolling(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "polling")
}

var (
	errLost = errors.New("no answer")
	zones   = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}
)

// node is an instance with what its own tables have learned.
type node struct {
	*Poller
	self    instance.Instance
	clock   *clockwork.FakeClock
	learned map[netip.AddrPort]target.Report
	dead    bool // does not run and cannot be reached
	stuck   bool // answers and does not poll
	polls   map[netip.AddrPort]int
}

// fleet is instances and targets with in-memory calls. All instances stay in use, as before a failure is detected.
type fleet struct {
	nodes    []*node
	live     []instance.Instance
	replicas []contract.Replica
	reports  map[netip.AddrPort]target.Report
	cut      func(a, b *node) bool
	loses    *node // its pushes are lost
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// newFleet starts instances and targets in turn in each zone, and lets them learn all reports.
func newFleet(instances, targets int) *fleet {
	f := &fleet{reports: make(map[netip.AddrPort]target.Report), cut: func(_, _ *node) bool { return false }}
	for i := range targets {
		f.replicas = append(f.replicas, contract.Replica{Address: address(1000 + i), AvailabilityZone: zones[i%len(zones)]})
		f.reports[address(1000+i)] = target.Report{Incarnation: 7, Holdings: []target.Holding{{Version: 1, Shard: 0, Shards: 1}}}
	}
	for range instances {
		f.start()
	}
	f.rounds(3)

	return f
}

func (f *fleet) start() *node {
	number := len(f.nodes)
	n := &node{
		self: instance.Instance{
			Name: fmt.Sprintf("i%02d", number), AvailabilityZone: zones[number%len(zones)], Peer: address(number),
		},
		clock:   clockwork.NewFakeClock(),
		learned: make(map[netip.AddrPort]target.Report), polls: make(map[netip.AddrPort]int),
	}
	learn := func(to netip.AddrPort, r target.Report) { n.learned[to] = r }
	n.Poller = New(n.self, timer.New(timer.WithClock(n.clock)), Functions{
		Live: func() []instance.Instance { return f.live },
		Status: func(_ context.Context, to netip.AddrPort) (target.Report, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.polls[to]++

			return f.reports[to], nil
		},
		Compare: func(ctx context.Context, to netip.AddrPort, digest uint64) (peer.Comparison, error) {
			other := f.reach(n, to)
			if other == nil {
				return peer.Comparison{}, errLost
			}

			return other.HandleCompare(ctx, peer.Sender{}, digest)
		},
		Reports: func(ctx context.Context, to netip.AddrPort, r []peer.TargetReport, want uint64) ([]peer.TargetReport, error) {
			other := f.reach(n, to)
			if other == nil || (f.loses == n && want == 0) {
				return nil, errLost
			}

			return other.HandleReports(ctx, peer.Sender{}, r, want)
		},
		Learn: func(to netip.AddrPort, r target.Report) {
			n.mu.Lock()
			defer n.mu.Unlock()
			learn(to, r)
		},
		Repeat: learn,
	}, 1)
	n.Keep(f.replicas)
	f.nodes = append(f.nodes, n)
	f.live = append(slices.Clone(f.live), n.self)

	return n
}

func (f *fleet) reach(from *node, to netip.AddrPort) *node {
	for _, n := range f.nodes {
		if n.self.Peer == to && !n.dead && !f.cut(from, n) {
			return n
		}
	}

	return nil
}

// rounds lets a number of Periods pass.
func (f *fleet) rounds(count int) {
	ctx := context.Background()
	for range count {
		for _, n := range f.nodes {
			n.clock.Advance(Period)
			if n.dead {
				continue
			}
			n.contact(ctx, false)
			if !n.stuck {
				n.Poll(ctx)
			}
		}
		f.flush()
	}
}

// flush pushes until nothing is left to be passed on. A report that is passed on for ever would not end it.
func (f *fleet) flush() {
	more := true
	for count := 0; more; count++ {
		Expect(count).To(BeNumerically("<", 100))
		more = false
		for _, n := range f.nodes {
			if !n.dead && len(n.signal) > 0 {
				<-n.signal
				n.flush(context.Background())
				more = true
			}
		}
	}
}

func (f *fleet) drain(i int) {
	r := f.reports[f.replicas[i].Address]
	r.Draining = true
	f.reports[f.replicas[i].Address] = r
}

// owner returns the instance that polls target i.
func (f *fleet) owner(i int) *node {
	for _, n := range f.nodes {
		if slices.Contains(n.mine(), f.replicas[i].Address) {
			return n
		}
	}

	return nil
}

// unaware returns the running instances that do not know of all draining targets.
func (f *fleet) unaware() (names []string) {
	for _, n := range f.nodes {
		for to, r := range f.reports {
			if !n.dead && r.Draining && !n.learned[to].Draining {
				names = append(names, n.self.Name)
			}
		}
	}

	return names
}

// polls returns how many polls each target got from running instances since the last call.
func (f *fleet) polls() map[netip.AddrPort]int {
	sum := make(map[netip.AddrPort]int)
	for _, n := range f.nodes {
		for to, count := range n.polls {
			sum[to] += count
		}
		clear(n.polls)
	}

	return sum
}

var _ = DescribeTable("A drain is known everywhere within the rounds",
	func(rounds int, fault func(f *fleet)) {
		f := newFleet(36, 30)
		f.drain(0)
		fault(f)
		f.rounds(rounds)
		Expect(f.unaware()).To(BeEmpty())
	},
	Entry("and not later, although pushes to random peers leave some out", 2, func(*fleet) {}),
	Entry("although the owner's pushes are lost", 3, func(f *fleet) { f.loses = f.owner(0) }),
	Entry("although the owner was killed and is still in use", 2, func(f *fleet) { f.owner(0).dead = true }),
	Entry("although five instances of its zone in a row were killed", 3, func(f *fleet) {
		var zone []instance.Instance
		for i, n := range f.nodes {
			if i > 0 && n.self.AvailabilityZone == f.nodes[0].self.AvailabilityZone {
				zone = append(zone, n.self)
			}
		}
		groups := f.nodes[0].order(true, zone)
		for _, i := range append(groups[0], groups[1][:4]...) {
			f.reach(f.nodes[0], i.Peer).dead = true
		}
		for i := range f.replicas {
			f.drain(i)
		}
	}),
	Entry("although the owner answers and does not poll", 4, func(f *fleet) { f.owner(0).stuck = true }),
	Entry("although all instances of the owner's zone are gone", 2, func(f *fleet) {
		for _, n := range f.nodes {
			n.dead = n.self.AvailabilityZone == f.replicas[0].AvailabilityZone
		}
	}),
	Entry("although an instance is cut off from the owner's zone", 3, func(f *fleet) {
		f.cut = func(a, b *node) bool {
			return (a == f.nodes[1]) != (b == f.nodes[1]) && (a.self.AvailabilityZone == "Kochi" || b.self.AvailabilityZone == "Kochi")
		}
	}),
	Entry("although an instance is cut off from all", 2, func(f *fleet) {
		f.cut = func(a, b *node) bool { return a == f.nodes[4] || b == f.nodes[4] }
		for i := range f.replicas {
			f.drain(i)
		}
	}),
	Entry("although the zones are cut off from each other", 2, func(f *fleet) {
		f.cut = func(a, b *node) bool { return a.self.AvailabilityZone != b.self.AvailabilityZone }
	}),
	Entry("although the owner has lost what it knew and begins to number its reports anew", 2, func(f *fleet) {
		n := f.owner(0)
		n.Keep(nil)
		n.Keep(f.replicas)
		n.Poll(context.Background())
	}),
	Entry("also when only a reply told one instance of it", 2, func(f *fleet) {
		f.owner(0).stuck = true
		report := f.reports[f.replicas[0].Address]
		f.nodes[5].Replied(f.replicas[0].Address, &report)
	}),
)

var _ = DescribeTable("Each target is polled once in each round",
	func(change func(f *fleet)) {
		f := newFleet(9, 30)
		change(f)
		f.rounds(2)
		f.polls()
		f.rounds(3)
		for to, count := range f.polls() {
			Expect(count).To(Equal(3), "%v", to)
		}
	},
	Entry("and not by each instance", func(*fleet) {}),
	Entry("by one other instance while a killed owner is still in use", func(f *fleet) { f.owner(0).dead = true }),
	Entry("by one instance of another zone when a zone is gone", func(f *fleet) {
		for _, n := range f.nodes {
			n.dead = n.self.AvailabilityZone == "Kochi"
		}
	}),
)

var _ = It("lets a new instance learn all reports from others, which it would otherwise ask of every target", func() {
	f := newFleet(9, 2000)
	f.polls()
	n := f.start()
	Expect(n.CatchUp(context.Background())).To(BeTrue())
	Expect(n.learned).To(HaveLen(2000))
	Expect(len(n.polls)).To(BeNumerically("<", 400), "its own share")
})

var _ = It("asks a target of which the owners know nothing itself, so that one that they do not reach delays a start only shortly", func() {
	f := newFleet(4, 30)
	for _, n := range f.nodes {
		n.stuck = true
	}
	n := f.start()
	n.Keep(append(f.replicas, contract.Replica{Address: address(2000), AvailabilityZone: zones[0]}))
	Expect(n.CatchUp(context.Background())).To(BeFalse())
	n.clock.Advance(unknownFor)
	Expect(n.CatchUp(context.Background())).To(BeTrue())
	Expect(n.polls).To(HaveKey(address(2000)))
})

var _ = It("lets a late reply neither end a drain nor keep it from being repeated", func() {
	f := newFleet(3, 3)
	late := f.reports[f.replicas[0].Address]
	f.drain(0)
	f.rounds(1)
	for _, n := range f.nodes {
		n.Replied(f.replicas[0].Address, &late)
	}
	f.flush()
	Expect(f.unaware()).To(BeEmpty())
	for _, n := range f.nodes {
		clear(n.learned)
	}
	f.rounds(1)
	Expect(f.unaware()).To(BeEmpty())
})

var _ = It("gives a peer what it lacks, which may be unable to call this instance", func() {
	f := newFleet(2, 30)
	f.drain(0)
	f.owner(0).Poll(context.Background())
	f.owner(0).table.take(1)
	f.owner(0).contact(context.Background(), false)
	Expect(f.unaware()).To(BeEmpty())
})

var _ = DescribeTable("A report from a comparison",
	func(all bool, passedOn int) {
		f := newFleet(2, 30)
		owner := f.owner(0)
		other := f.nodes[1-slices.Index(f.nodes, owner)]
		f.drain(0)
		owner.Poll(context.Background())
		owner.table.take(1)
		other.contact(context.Background(), all)
		Expect(other.table.take(9)).To(HaveLen(passedOn))
	},
	Entry("is passed on, because the owner's pushes may have reached no one", false, 1),
	Entry("is not passed on by a new instance, which learns all reports that others have", true, 0),
)

var _ = It("pushes a bounded batch with drains first, which a new version at all targets would otherwise hold up", func() {
	f := newFleet(1, 500)
	for i := range f.replicas {
		r := f.reports[f.replicas[i].Address]
		r.Holdings = []target.Holding{{Version: 2, Shard: 0, Shards: 1}}
		f.reports[f.replicas[i].Address] = r
	}
	f.drain(499)
	f.nodes[0].table.take(500)
	f.nodes[0].Poll(context.Background())
	batch := f.nodes[0].table.take(pushBatch)
	Expect(batch).To(HaveLen(pushBatch))
	Expect(batch[0].Address).To(Equal(f.replicas[499].Address))
})

var _ = It("forgets targets that left the configuration, whose digests would otherwise differ for ever", func() {
	f := newFleet(3, 30)
	f.nodes[0].Keep(f.replicas[:20])
	f.nodes[1].Keep(nil)
	f.nodes[1].Keep(f.replicas[:20])
	f.nodes[1].contact(context.Background(), true)
	mine, _ := f.nodes[0].table.digests()
	theirs, _ := f.nodes[1].table.digests()
	Expect(mine).To(Equal(theirs))
})

var _ = It("polls the replicas that overlays name for other zones alone, which their owner would otherwise not know", func() {
	service := `{"Caller":"shop","Class":"FullPage","Deadline":"1s","MinimumCoverage":0.5,"Worth":1,"Idempotent":true,` +
		`"PageSize":1,"Slots":1,"Connections":1,"ConnectTime":"1ms","Replicas":[{"Address":%q,"AvailabilityZone":"Kochi"}]}`
	overlay := func(n int) json.RawMessage {
		return json.RawMessage(`{"Services":{"page":` + fmt.Sprintf(service, address(n)) + `}}`)
	}
	record := configuration.Record{
		Applied:  configuration.Applied{Revision: 1, ApplyID: "a"},
		Base:     json.RawMessage(`{"AvailabilityZones":["Kochi","Thrissur","Kozhikode"],"Services":{"page":` + fmt.Sprintf(service, address(1)) + `}}`),
		Overlays: map[zone.Zone]json.RawMessage{"Kochi": overlay(2), "Thrissur": overlay(3)},
	}
	raw, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())
	for _, z := range zones {
		c, err := contract.Merge(record.Base, record.Overlays[z])
		Expect(err).NotTo(HaveOccurred())
		Expect(Replicas(configuration.Active{Configuration: c, Raw: raw}, z)).To(HaveLen(3), "%s", z)
	}
})
