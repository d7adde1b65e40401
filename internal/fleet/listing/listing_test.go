package listing_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/listing"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

func TestListing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listing")
}

var errOff = errors.New("no answer")

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// node is one instance. frozen keeps its clock still, cut takes its peers away and offline the platform.
type node struct {
	self                 instance.Instance
	reader               *listing.Reader
	clock                *clockwork.FakeClock
	frozen, cut, offline bool
	leaving              int
	reads                int
}

// fleet is the instances of one zone with in-memory calls.
type fleet struct {
	mu      sync.Mutex
	nodes   []*node
	members []instance.Instance
	listed  []platform.Listed
}

func newFleet(size int) *fleet {
	f := &fleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range size {
		n := &node{clock: clockwork.NewFakeClock(), self: instance.Instance{
			Name: fmt.Sprintf("i%02d", i), AvailabilityZone: "Kochi", Peer: address(i),
		}}
		calls := listing.Calls{
			List: func(context.Context) ([]platform.Listed, error) {
				f.mu.Lock()
				defer f.mu.Unlock()
				n.reads++
				if n.offline {
					return nil, errOff
				}

				return f.listed, nil
			},
			Pass: func(ctx context.Context, to netip.AddrPort, l peer.Listing) error {
				f.mu.Lock()
				other := f.nodes[to.Addr().As4()[3]]
				lost := n.cut || other.cut || n.frozen || other.frozen
				f.mu.Unlock()
				if lost {
					return errOff
				}

				return other.reader.HandlePass(ctx, peer.Sender{Name: n.self.Name, AvailabilityZone: "Kochi"}, l)
			},
		}
		n.reader = listing.New(n.self, timer.New(timer.WithClock(n.clock)), calls,
			func() []instance.Instance { return f.members },
			func(leaving []netip.AddrPort) {
				f.mu.Lock()
				defer f.mu.Unlock()
				n.leaving = len(leaving)
			}, listing.WithSeed(1))
		f.nodes = append(f.nodes, n)
		f.members = append(f.members, n.self)
	}
	for _, n := range f.nodes {
		running.Go(func() { _ = n.reader.Run(ctx) })
	}

	return f
}

// pass lets virtual time pass.
func (f *fleet) pass(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		for _, n := range f.nodes {
			if !n.frozen {
				n.clock.Advance(tick)
			}
		}
		time.Sleep(500 * time.Microsecond)
	}
}

func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

var _ = Describe("Reader", func() {
	// settle waits for a read of the list and returns the instances that read it next, in this order.
	settle := func(f *fleet) (order []*node) {
		f.pass(6 * time.Second)
		f.change(func() {
			for _, n := range f.nodes {
				n.reads = 0
			}
		})
		for len(order) == 0 {
			f.pass(50 * time.Millisecond)
			f.change(func() {
				for i, n := range f.nodes {
					if n.reads > 0 {
						order = append(f.nodes[i+1:len(f.nodes):len(f.nodes)], f.nodes[:i+1]...)

						break
					}
				}
			})
		}

		return order
	}

	DescribeTable("tells every instance of a leaving target within MaxAge, whatever becomes of those that read next",
		func(fault func(next []*node), told func(*node) bool) {
			f := newFleet(12)
			next := settle(f)
			f.change(func() {
				fault(next)
				f.listed = []platform.Listed{{Kind: platform.Target, Address: address(100), State: platform.Leaving}}
			})
			// The room is for clocks that go on while the instances work.
			f.pass(listing.MaxAge + time.Second)
			f.change(func() {
				for _, n := range f.nodes {
					if told(n) {
						Expect(n.leaving).To(Equal(1), n.self.Name)
					}
				}
			})
		},
		Entry("no fault", func([]*node) {}, func(*node) bool { return true }),
		Entry("the next reader is frozen", func(next []*node) { next[0].frozen = true }, func(n *node) bool { return !n.frozen }),
		Entry("the next reader is cut off from its peers", func(next []*node) { next[0].cut = true }, func(*node) bool { return true }),
		Entry("the next reader is cut off from the platform", func(next []*node) { next[0].offline = true }, func(*node) bool { return true }),
		Entry("more readers than have turns are frozen", func(next []*node) {
			for _, n := range next[:5] {
				n.frozen = true
			}
		}, func(n *node) bool { return !n.frozen }),
		Entry("no instance reaches another", func(next []*node) {
			for _, n := range next {
				n.cut = true
			}
		}, func(*node) bool { return true }),
	)

	It("reads as often for many instances as for few, in turns", func() {
		reads := func(size int) (total, most int) {
			f := newFleet(size)
			f.pass(6 * time.Second)
			f.change(func() {
				for _, n := range f.nodes {
					n.reads = 0
				}
			})
			f.pass(time.Minute)
			f.change(func() {
				for _, n := range f.nodes {
					total += n.reads
					most = max(most, n.reads)
				}
			})

			return total, most
		}
		few, _ := reads(2)
		many, most := reads(40)
		GinkgoWriter.Println(few, many, most)
		Expect(many).To(BeNumerically("<=", few+few/3))
		Expect(most).To(BeNumerically("<=", 3), "one of 40 instances has one turn in 160 s")
	})

	It("agrees on who reads next after two lists at once, which would otherwise be read twice from then on", func() {
		f := newFleet(4)
		f.pass(time.Second)
		f.change(func() {
			for _, n := range f.nodes {
				n.cut = true
			}
		})
		for i, n := range f.nodes {
			ages := []time.Duration{time.Millisecond, 2 * time.Millisecond}
			for j, reader := range []string{"i01", "i02"} {
				from := peer.Sender{Name: reader, AvailabilityZone: "Kochi"}
				Expect(n.reader.HandlePass(context.Background(), from, peer.Listing{Age: duration.Duration(ages[(i+j)%2])})).To(Succeed())
			}
		}
		f.change(func() {
			for _, n := range f.nodes {
				n.reads = 0
			}
		})
		f.pass(4100 * time.Millisecond)
		f.change(func() {
			Expect([]int{f.nodes[0].reads, f.nodes[1].reads, f.nodes[2].reads, f.nodes[3].reads}).To(Equal([]int{0, 0, 0, 1}))
		})
	})

	It("keeps a leaving target when a message that waited for a frozen instance looks new", func() {
		f := newFleet(1)
		f.change(func() {
			f.listed = []platform.Listed{{Kind: platform.Target, Address: address(100), State: platform.Leaving}}
		})
		f.pass(5 * time.Second)
		n := f.nodes[0]
		from := peer.Sender{Name: "i01", AvailabilityZone: "Kochi"}
		Expect(n.reader.HandlePass(context.Background(), from, peer.Listing{Age: duration.Duration(time.Millisecond)})).To(Succeed())
		f.change(func() { Expect(n.leaving).To(Equal(1)) })
		f.change(func() { f.listed = nil })
		f.pass(12 * time.Second)
		f.change(func() { Expect(n.leaving).To(BeZero()) })
	})

	It("gives addresses that may be unknown, that of the reader among them, and refuses another zone", func() {
		f := newFleet(2)
		f.change(func() {
			f.listed = []platform.Listed{
				{Kind: platform.EntryInstance, Address: address(1), State: platform.Live},
				{Kind: platform.EntryInstance, Address: address(7), State: platform.Live},
				{Kind: platform.EntryInstance, Address: address(8), State: platform.Leaving},
			}
		})
		next := settle(f)
		f.pass(time.Second)
		var before, after int
		f.change(func() { before = next[0].reads })
		Expect(next[0].reader.Seeds(context.Background())).To(ConsistOf(address(7), next[1].self.Peer))
		f.change(func() { after = next[0].reads })
		Expect(after).To(Equal(before), "a list that was passed on is enough")
		Expect(next[0].reader.HandlePass(context.Background(), peer.Sender{Name: "x", AvailabilityZone: "Thrissur"}, peer.Listing{})).
			To(MatchError(ContainSubstring("Thrissur")))
	})
})
