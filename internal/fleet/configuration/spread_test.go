package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

var (
	zones  = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}
	errOff = errors.New("no answer")
)

// store stands in for the platform's store.
type store struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	records int // reads of the record
	down    bool
	stalled bool // watches never answer
	changed chan struct{}
}

// put writes a record with its announcement, as apply does.
func (s *store) put(raw []byte) {
	s.write(configuration.Key, raw)
	r, err := configuration.Decode(raw)
	Expect(err).NotTo(HaveOccurred())
	s.announce(r.Revision, true)
}

func (s *store) announce(revision uint64, written bool) {
	s.write(configuration.AnnouncementKey, fmt.Appendf(nil, `{"Revision":%d,"Written":%t}`, revision, written))
}

func (s *store) write(key string, raw []byte) {
	s.set(func() { s.entries[key] = platform.Entry{Key: key, Value: raw, Version: s.entries[key].Version + 1} })
}

func (s *store) recordReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.records
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) read(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Entry{}, platform.ErrUnavailable
	}

	if key == configuration.Key {
		s.records++
	}

	return s.entries[key], nil
}

func (s *store) watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	for {
		s.mu.Lock()
		entry, down, stalled, changed := s.entries[key], s.down, s.stalled, s.changed
		s.mu.Unlock()
		switch {
		case down:
			return platform.Entry{}, platform.ErrUnavailable
		case entry.Version > after && !stalled:
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return platform.Entry{}, ctx.Err()
		case <-changed:
		}
	}
}

type node struct {
	self    instance.Instance
	keeper  *configuration.Keeper
	spread  *configuration.Spread
	watcher *configuration.Watcher
	cut     atomic.Bool
	stop    context.CancelFunc
}

// fleet is instances in one process with in-memory calls, one fake clock and a printed seed.
type fleet struct {
	clock  *clockwork.FakeClock
	store  *store
	nodes  []*node
	live   atomic.Pointer[[]instance.Instance]
	pushes atomic.Int64
	far    atomic.Int64 // pushes to another zone
}

func newFleet(size int, seed uint64) *fleet {
	GinkgoWriter.Printf("seed %d\n", seed)
	f := &fleet{clock: clockwork.NewFakeClock(), store: &store{entries: map[string]platform.Entry{}, changed: make(chan struct{})}}
	timers := timer.New(timer.WithClock(f.clock))
	var members []instance.Instance
	for i := range size {
		n := &node{self: instance.Instance{
			Name: fmt.Sprintf("i%02d", i), AvailabilityZone: zones[i%len(zones)],
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		}}
		members = append(members, n.self)
		f.nodes = append(f.nodes, n)
		n.keeper = configuration.NewKeeper(n.self.AvailabilityZone, merge, configuration.WithOnAdopt(func(a configuration.Active) { n.spread.Adopted(a) }))
		calls := configuration.PeerCalls{
			Push: func(ctx context.Context, to netip.AddrPort, raw []byte) error {
				other := f.at(to)
				f.pushes.Add(1)
				if other.self.AvailabilityZone != n.self.AvailabilityZone {
					f.far.Add(1)
				}
				if n.cut.Load() || other.cut.Load() {
					return errOff
				}

				return other.spread.HandlePush(ctx, peer.Sender{Name: n.self.Name}, raw)
			},
			Configuration: func(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error) {
				other := f.at(to)
				if n.cut.Load() || other.cut.Load() {
					return nil, errOff
				}

				return other.spread.HandleConfiguration(ctx, peer.Sender{Name: n.self.Name}, have)
			},
		}
		n.spread = configuration.NewSpread(n.self, n.keeper, timers, calls, func() []instance.Instance { return *f.live.Load() }, seed)
		n.watcher = configuration.NewWatcher(n.self, n.spread, configuration.StoreCalls{Read: f.store.read, Watch: f.store.watch}, seed, nil)
	}
	f.live.Store(&members)

	return f
}

func (f *fleet) at(address netip.AddrPort) *node {
	return f.nodes[address.Addr().As4()[3]]
}

// start runs watchers and spreads until the spec ends.
func (f *fleet) start(nodes ...*node) {
	for _, n := range nodes {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = n.watcher.Run(ctx) })
		running.Go(func() { _ = n.spread.Run(ctx) })
		n.stop = cancel
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
	}
}

// revisions advances the clock a little, gives each node the gossip of another, and returns the active revisions of all.
func (f *fleet) revisions() (revisions []uint64) {
	f.clock.Advance(250 * time.Millisecond)
	for i, n := range f.nodes {
		other := f.nodes[(i+1)%len(f.nodes)]
		if other.keeper.Revision() > n.keeper.Revision() {
			n.spread.Behind(other.self, other.keeper.Revision())
		}
		revisions = append(revisions, n.keeper.Revision())
	}

	return revisions
}

func (f *fleet) calls() (total configuration.StoreTraffic) {
	for _, n := range f.nodes {
		t := n.watcher.Traffic()
		total.Reads += t.Reads
		total.Watches += t.Watches
		total.Failed += t.Failed
	}

	return total
}

var _ = Describe("Spread", func() {
	DescribeTable("reaches all instances, each passing a record on once, with gossip for those that no push reached",
		func(seed uint64) {
			f := newFleet(60, seed)
			random := rand.New(rand.NewPCG(seed, 2))
			Expect(f.nodes[0].keeper.Offer(record(1, "a"), "Store")).To(BeTrue())
			missing := func() (count int) {
				for _, n := range f.nodes {
					if !n.keeper.Ready() {
						count++
					}
				}

				return count
			}
			rounds := 0
			for ; missing() > 0 && rounds < 20; rounds++ {
				f.clock.Advance(time.Second)
				for _, n := range f.nodes {
					if other := f.nodes[random.IntN(len(f.nodes))]; other.keeper.Revision() > n.keeper.Revision() {
						n.spread.Behind(other.self, other.keeper.Revision())
					}
					n.spread.Flush(context.Background())
				}
			}
			GinkgoWriter.Printf("%d rounds\n", rounds)
			Expect(missing()).To(BeZero())
			for _, n := range f.nodes {
				n.spread.Flush(context.Background())
				n.spread.Flush(context.Background())
			}
			Expect(f.pushes.Load()).To(BeEquivalentTo(3 * 60))
			Expect(f.far.Load()).To(BeEquivalentTo(60), "one push of three goes to another zone")
		},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)),
	)

	It("does not ask again and again for a record that it has rejected", func() {
		f := newFleet(2, 4)
		asked := 0
		spread := configuration.NewSpread(f.nodes[0].self, f.nodes[0].keeper, timer.New(timer.WithClock(f.clock)), configuration.PeerCalls{
			Configuration: func(context.Context, netip.AddrPort, uint64) ([]byte, error) {
				asked++

				return record(7, "bad"), nil
			},
		}, func() []instance.Instance { return nil }, 4)
		for range 25 {
			f.clock.Advance(time.Second)
			spread.Behind(f.nodes[1].self, 7)
			spread.Flush(context.Background())
		}
		Expect(asked).To(Equal(1))
	})
})

var _ = Describe("Learn", func() {
	DescribeTable("takes the highest of store and peers, so that an instance starts in an outage and never on an older record",
		func(inStore uint64, storeDown bool, atPeer uint64, cut bool, want uint64) {
			f := newFleet(2, 5)
			if inStore > 0 {
				f.store.put(record(inStore, "s"))
			}
			f.store.down = storeDown
			if atPeer > 0 {
				Expect(f.nodes[1].keeper.Offer(record(atPeer, "p"), "test")).To(BeTrue())
			}
			f.nodes[1].cut.Store(cut)
			err := f.nodes[0].watcher.Learn(context.Background())
			Expect(f.nodes[0].keeper.Revision()).To(Equal(want))
			Expect(f.nodes[0].keeper.Ready()).To(Equal(err == nil))
			Expect(f.nodes[0].keeper.Offers().Adopted).To(BeNumerically("<=", 1), "an older record was active for a time")
		},
		Entry("the store alone", uint64(3), false, uint64(0), false, uint64(3)),
		Entry("an outage of the store and a peer", uint64(3), true, uint64(2), false, uint64(2)),
		Entry("an older store and a newer peer", uint64(3), false, uint64(4), false, uint64(4)),
		Entry("a newer store and an older peer", uint64(5), false, uint64(4), false, uint64(5)),
		Entry("neither", uint64(3), true, uint64(4), true, uint64(0)),
		Entry("a store without a record", uint64(0), false, uint64(0), false, uint64(0)),
	)
})

var _ = Describe("Watcher", func() {
	all := func(f *fleet, revision uint64) {
		GinkgoHelper()
		want := make([]uint64, len(f.nodes))
		for i := range want {
			want[i] = revision
		}
		Eventually(f.revisions, "30s", "2ms").Should(Equal(want))
	}

	It("costs the store one watch and one reader in each zone, whatever the size of the fleet", func() {
		f := newFleet(30, 6)
		f.store.put(record(1, "a"))
		f.start(f.nodes...)
		all(f, 1)
		for revision := uint64(2); revision < 5; revision++ {
			f.store.put(record(revision, "a"))
			all(f, revision)
		}
		Eventually(func() uint64 {
			f.revisions()

			return f.calls().Reads
		}, "30s", "2ms").Should(BeNumerically(">", 30+3*5), "only readers go on after the start")
		Expect(f.store.recordReads()).To(BeNumerically("<=", 30+3*4), "once at the start, and once for each zone and revision")
		watches := f.calls().Watches
		Expect(watches).To(BeNumerically(">=", 3*4))
		Expect(watches).To(BeNumerically("<=", 3*5), "one for each zone and revision, and the one that waits")
	})

	It("gets past a stalled watch by the reads of the second instance", func() {
		f := newFleet(6, 7)
		f.store.put(record(1, "a"))
		f.start(f.nodes...)
		all(f, 1)
		f.store.set(func() { f.store.stalled = true })
		f.store.put(record(2, "b"))
		all(f, 2)
	})

	DescribeTable("takes a change into force within seconds, and does not read the record again and again",
		func(change func(*store), within time.Duration, reads int) {
			f := newFleet(6, 10)
			f.store.put(record(1, "a"))
			f.start(f.nodes...)
			all(f, 1)
			change(f.store)
			began := f.clock.Now()
			all(f, 2)
			Expect(f.clock.Since(began)).To(BeNumerically("<=", within))
			before := f.store.recordReads()
			for range 4 * 60 {
				f.revisions()
				time.Sleep(200 * time.Microsecond)
			}
			Expect(f.store.recordReads() - before).To(BeNumerically("<=", reads))
		},
		// The times have room for a clock that goes on while an instance works. A minute has 12 reads of each of the two
		// instances of a zone in which the announcement cannot be trusted, and 6 for an announcement that nothing follows.
		Entry("announced by a writer that died before it confirmed", func(s *store) {
			s.announce(2, false)
			s.write(configuration.Key, record(2, "b"))
		}, 5*time.Second, 6),
		Entry("written long after it was announced", func(s *store) {
			s.announce(2, false)
			time.AfterFunc(20*time.Millisecond, func() { s.write(configuration.Key, record(2, "b")) })
		}, time.Minute, 6),
		Entry("written although a later announced one never came", func(s *store) {
			s.announce(3, false)
			s.write(configuration.Key, record(2, "b"))
		}, 5*time.Second, 6*7),
		Entry("written by an older build after the announcement was lost", func(s *store) {
			s.set(func() { delete(s.entries, configuration.AnnouncementKey) })
			s.write(configuration.Key, record(2, "b"))
		}, 10*time.Second, 6*13),
		Entry("written by an older build, which announces nothing", func(s *store) {
			s.write(configuration.Key, record(2, "b"))
		}, 3*time.Minute, 6*13),
		Entry("announced by a damaged value", func(s *store) {
			s.write(configuration.AnnouncementKey, []byte("{"))
			s.write(configuration.Key, record(2, "b"))
		}, 10*time.Second, 6*13),
	)

	It("backs off in an outage and finds the record after it", func() {
		f := newFleet(6, 8)
		f.store.put(record(1, "a"))
		f.start(f.nodes...)
		all(f, 1)
		f.store.set(func() { f.store.down = true })
		for range 4 * 600 {
			f.clock.Advance(250 * time.Millisecond)
			time.Sleep(50 * time.Microsecond)
		}
		// Without a growing time between calls, six callers would fail over 600 times each in 10 minutes.
		Expect(f.calls().Failed).To(BeNumerically("<", 6*60))
		f.store.set(func() { f.store.down = false })
		f.store.put(record(2, "b"))
		all(f, 2)
	})

	It("hands the watch on when the instance that held it is gone", func() {
		f := newFleet(9, 9)
		f.store.put(record(1, "a"))
		f.start(f.nodes...)
		all(f, 1)
		Eventually(func() uint64 {
			f.revisions()

			return f.calls().Watches
		}, "30s", "2ms").Should(BeNumerically(">=", 6))
		var left []instance.Instance
		for _, n := range f.nodes {
			if n.watcher.Traffic().Watches > 0 {
				n.stop()
				n.cut.Store(true)
			} else {
				left = append(left, n.self)
			}
		}
		Expect(left).To(HaveLen(6))
		f.live.Store(&left)
		f.store.put(record(2, "b"))
		Eventually(func() (watchers int) {
			f.revisions()
			for _, i := range left {
				n := f.at(i.Peer)
				if n.keeper.Revision() == 2 && n.watcher.Traffic().Watches > 0 {
					watchers++
				}
			}

			return watchers
		}, "30s", "2ms").Should(Equal(3))
	})
})
