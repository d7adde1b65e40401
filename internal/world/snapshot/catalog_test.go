package snapshot_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

func TestSnapshot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshot")
}

// replicas are named 0 to 5 in the tables.
var replicas = func() []contract.Replica {
	list := make([]contract.Replica, 6)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	}

	return list
}()

func address(i int) netip.AddrPort { return replicas[i].Address }

// report is one of incarnation 1 with holdings given as version, shard, shards.
func report(holdings ...[3]int) target.Report {
	r := target.Report{Incarnation: 1, Service: "catalogue"}
	for _, h := range holdings {
		r.Holdings = append(r.Holdings, target.Holding{Version: uint64(h[0]), Shard: h[1], Shards: h[2]})
	}

	return r
}

var _ = Describe("Catalog", func() {
	var (
		clock   *clockwork.FakeClock
		catalog *snapshot.Catalog
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		catalog = snapshot.New(snapshot.WithTimers(timer.New(timer.WithClock(clock))))
	})
	pinned := func(newerThan uint64) (version uint64, counts []int) {
		pin, ok := catalog.Pin("catalogue", replicas, newerThan)
		if !ok {
			return 0, nil
		}
		for _, r := range pin.Replicas {
			counts = append(counts, len(r))
		}

		return pin.Version, counts
	}
	learn := func(reports ...target.Report) {
		for i, r := range reports {
			catalog.Learn(address(i), r)
		}
	}

	DescribeTable("pins the best version, so that no answer is partial without need",
		func(newerThan, version int, counts []int, reports ...target.Report) {
			learn(reports...)
			v, c := pinned(uint64(newerThan))
			Expect(v).To(Equal(uint64(version)))
			Expect(c).To(Equal(counts))
		},
		Entry("no reports", 0, 0, nil),
		Entry("newest whole version", 0, 8, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2}, [3]int{8, 1, 2})),
		Entry("older whole version before a newer partial one", 0, 7, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2})),
		Entry("highest coverage when none is whole", 0, 7, []int{1, 1, 0}, report([3]int{7, 0, 3}, [3]int{8, 0, 3}), report([3]int{7, 1, 3})),
		Entry("newest of equal coverage", 0, 8, []int{1, 0}, report([3]int{7, 0, 2}, [3]int{8, 0, 2})),
		Entry("only above the bound", 7, 8, []int{1, 0}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2})),
		Entry("nothing above the bound", 8, 0, nil, report([3]int{7, 0, 1}, [3]int{8, 0, 1})),
		Entry("repartitioned version", 0, 8, []int{1, 1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 3}), report([3]int{7, 1, 2}, [3]int{8, 1, 3}), report([3]int{8, 2, 3})),
		Entry("targets that disagree on the shards are not mixed", 0, 7, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2}, [3]int{8, 1, 3})),
		Entry("a holding said twice counts once", 0, 7, []int{1}, report([3]int{7, 0, 1}, [3]int{7, 0, 1})),
		Entry("a split over the bound allocates nothing", 0, 7, []int{1}, report([3]int{7, 0, 1}, [3]int{9, 0, 1 << 40})),
		Entry("a target of another service", 0, 7, []int{1}, report([3]int{7, 0, 1}),
			target.Report{Service: "audit", Holdings: []target.Holding{{Version: 9, Shards: 1}}}),
	)

	draining := func(incarnation uint64, drains bool) target.Report {
		r := report([3]int{7, 0, 1})
		r.Incarnation, r.Draining = incarnation, drains

		return r
	}
	DescribeTable("keeps unusable targets out, so that a leaving target gets no new work",
		func(usable int, change func()) {
			learn(report([3]int{7, 0, 1}), report([3]int{7, 0, 1}))
			_, counts := pinned(0)
			Expect(counts).To(Equal([]int{2}))
			change()
			_, counts = pinned(0)
			Expect(counts).To(Equal([]int{usable}))
		},
		Entry("drains", 1, func() { catalog.Learn(address(0), draining(1, true)) }),
		Entry("drains and time passes", 1, func() { catalog.Learn(address(0), draining(1, true)); clock.Advance(time.Hour) }),
		Entry("drains, then another incarnation", 2, func() {
			catalog.Learn(address(0), draining(1, true))
			catalog.Learn(address(0), draining(2, false))
		}),
		Entry("drains, then an older reply of the same incarnation arrives late", 1, func() {
			catalog.Learn(address(0), draining(1, true))
			clock.Advance(time.Second)
			catalog.Learn(address(0), draining(1, false))
		}),
		Entry("drains, then the same incarnation says otherwise", 2, func() {
			catalog.Learn(address(0), draining(1, true))
			clock.Advance(2 * time.Second)
			catalog.Learn(address(0), draining(1, false))
		}),
		Entry("leaves by the list", 1, func() { catalog.MarkLeaving([]netip.AddrPort{address(0)}) }),
		Entry("leaves by the list although it reports", 1, func() {
			catalog.MarkLeaving([]netip.AddrPort{address(0)})
			catalog.Learn(address(0), draining(2, false))
		}),
		Entry("left by an older list", 2, func() {
			catalog.MarkLeaving([]netip.AddrPort{address(0)})
			catalog.MarkLeaving([]netip.AddrPort{address(5)})
		}),
		Entry("forgotten", 1, func() { catalog.Forget(address(0)) }),
		Entry("withdrawn version", 1, func() { catalog.Withdraw(address(0), 7) }),
		Entry("withdrawn version that a lagging report still lists", 1, func() {
			catalog.Withdraw(address(0), 7)
			catalog.Learn(address(0), report([3]int{7, 0, 1}))
		}),
		Entry("withdrawn version that is still reported 2 s later", 2, func() {
			catalog.Withdraw(address(0), 7)
			clock.Advance(2 * time.Second)
			catalog.Learn(address(0), report([3]int{7, 0, 1}))
		}),
		Entry("withdrawn version, then another incarnation", 2, func() {
			catalog.Withdraw(address(0), 7)
			catalog.Learn(address(0), draining(2, false))
		}),
		Entry("another version withdrawn", 2, func() { catalog.Withdraw(address(0), 8) }),
	)

	It("states the age of the last report, also of one that repeats what is known", func() {
		learn(report([3]int{7, 0, 1}))
		clock.Advance(3 * time.Second)
		learn(report([3]int{7, 0, 1}))
		clock.Advance(time.Second)
		known, ok := catalog.Target(address(0))
		Expect(ok).To(BeTrue())
		Expect(known.Age).To(Equal(time.Second))
	})

	It("stays within MaxTargets, so that invented addresses cannot fill the memory", func() {
		for i := range snapshot.MaxTargets + 10 {
			catalog.Learn(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(i>>16)+1), target.Report{})
		}
		Expect(catalog.Statistics()).To(Equal(snapshot.Statistics{Targets: snapshot.MaxTargets, Dropped: 10}))
	})

	It("follows a change of the replicas in the configuration", func() {
		learn(report([3]int{7, 0, 1}), report([3]int{7, 0, 1}))
		_, counts := pinned(0)
		Expect(counts).To(Equal([]int{2}))
		pin, _ := catalog.Pin("catalogue", replicas[:1], 0)
		Expect(pin.Replicas[0]).To(HaveLen(1))
	})
})

func BenchmarkPin150(b *testing.B) {
	catalog := snapshot.New()
	many := make([]contract.Replica, 300)
	for i := range many {
		many[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 80)
		catalog.Learn(many[i].Address, report([3]int{7, i / 2, 150}, [3]int{8, i / 2, 150}))
	}
	b.Run("Cached", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			catalog.Pin("catalogue", many, 0)
		}
	})
	b.Run("Invalidated", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r := report([3]int{7, 0, 150}, [3]int{8, 0, 150})
			r.Incarnation = uint64(i)
			catalog.Learn(many[0].Address, r)
			catalog.Pin("catalogue", many, 0)
		}
	})
}
