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

// replicas are the configured replicas of the service, at the addresses 10.0.0.0:80 to 10.0.0.5:80.
var replicas = func() []contract.Replica {
	list := make([]contract.Replica, 6)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	}

	return list
}()

func address(i int) netip.AddrPort { return replicas[i].Address }

// report returns a report of incarnation 1. Each holding is given as its version, its shard and the number of shards.
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
	// pinned returns the version that a query is pinned to, and the number of usable replicas of each of its shards.
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
	// learn processes one report of each replica, in the order of the replicas.
	learn := func(reports ...target.Report) {
		for i, r := range reports {
			catalog.Learn(address(i), r)
		}
	}

	DescribeTable("pins a query to the version with the highest coverage, to avoid needless partial answers",
		func(newerThan, version int, counts []int, reports ...target.Report) {
			learn(reports...)
			v, c := pinned(uint64(newerThan))
			Expect(v).To(Equal(uint64(version)))
			Expect(c).To(Equal(counts))
		},
		Entry("no version is pinned without reports", 0, 0, nil),
		Entry("the newest of the complete versions is pinned",
			0, 8, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2}, [3]int{8, 1, 2})),
		Entry("an older complete version is preferred to a newer incomplete one",
			0, 7, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2})),
		Entry("the version with the highest coverage is pinned if none is complete",
			0, 7, []int{1, 1, 0}, report([3]int{7, 0, 3}, [3]int{8, 0, 3}), report([3]int{7, 1, 3})),
		Entry("the newest of the versions with equal coverage is pinned",
			0, 8, []int{1, 0}, report([3]int{7, 0, 2}, [3]int{8, 0, 2})),
		Entry("versions up to newerThan are skipped",
			7, 8, []int{1, 0}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2})),
		Entry("no version is pinned if none is above newerThan", 8, 0, nil, report([3]int{7, 0, 1}, [3]int{8, 0, 1})),
		Entry("the newest complete version is pinned even if it has more shards than an older one",
			0, 8, []int{1, 1, 1},
			report([3]int{7, 0, 2}, [3]int{8, 0, 3}), report([3]int{7, 1, 2}, [3]int{8, 1, 3}), report([3]int{8, 2, 3})),
		Entry("targets that report different numbers of shards are not combined",
			0, 7, []int{1, 1}, report([3]int{7, 0, 2}, [3]int{8, 0, 2}), report([3]int{7, 1, 2}, [3]int{8, 1, 3})),
		Entry("a holding that is reported twice is counted once",
			0, 7, []int{1}, report([3]int{7, 0, 1}, [3]int{7, 0, 1})),
		Entry("a holding with more than MaxShards shards is ignored, so that nothing is allocated for it",
			0, 7, []int{1}, report([3]int{7, 0, 1}, [3]int{9, 0, 1 << 40})),
		Entry("a target that reports another service is not used", 0, 7, []int{1}, report([3]int{7, 0, 1}),
			target.Report{Service: "audit", Holdings: []target.Holding{{Version: 9, Shards: 1}}}),
	)

	// drainReport returns a report with the given incarnation and drain state.
	drainReport := func(incarnation uint64, draining bool) target.Report {
		r := report([3]int{7, 0, 1})
		r.Incarnation, r.Draining = incarnation, draining

		return r
	}
	DescribeTable("excludes unusable targets, so that a leaving target receives no new queries",
		func(usable int, change func()) {
			learn(report([3]int{7, 0, 1}), report([3]int{7, 0, 1}))
			_, counts := pinned(0)
			Expect(counts).To(Equal([]int{2}))
			change()
			_, counts = pinned(0)
			Expect(counts).To(Equal([]int{usable}))
		},
		Entry("a draining target is excluded", 1, func() { catalog.Learn(address(0), drainReport(1, true)) }),
		Entry("a draining target without further reports remains excluded", 1,
			func() { catalog.Learn(address(0), drainReport(1, true)); clock.Advance(time.Hour) }),
		Entry("a draining target that restarts is usable again", 2, func() {
			catalog.Learn(address(0), drainReport(1, true))
			catalog.Learn(address(0), drainReport(2, false))
		}),
		Entry("a delayed report from before the drain does not end the drain", 1, func() {
			catalog.Learn(address(0), drainReport(1, true))
			clock.Advance(time.Second)
			catalog.Learn(address(0), drainReport(1, false))
		}),
		Entry("a target that no longer drains is usable 2 s after the last report of the drain", 2, func() {
			catalog.Learn(address(0), drainReport(1, true))
			clock.Advance(2 * time.Second)
			catalog.Learn(address(0), drainReport(1, false))
		}),
		Entry("a target that the platform's list marks as leaving is excluded",
			1, func() { catalog.MarkLeaving([]netip.AddrPort{address(0)}) }),
		Entry("a target marked as leaving remains excluded although it reports", 1, func() {
			catalog.MarkLeaving([]netip.AddrPort{address(0)})
			catalog.Learn(address(0), drainReport(2, false))
		}),
		Entry("a target that the current list no longer marks as leaving is usable", 2, func() {
			catalog.MarkLeaving([]netip.AddrPort{address(0)})
			catalog.MarkLeaving([]netip.AddrPort{address(5)})
		}),
		Entry("a forgotten target is excluded", 1, func() { catalog.Forget(address(0)) }),
		Entry("a target is not used for a version that it refused", 1, func() { catalog.Withdraw(address(0), 7) }),
		Entry("a lagging report does not restore a withdrawn version", 1, func() {
			catalog.Withdraw(address(0), 7)
			catalog.Learn(address(0), report([3]int{7, 0, 1}))
		}),
		Entry("a withdrawn version that is still reported 2 s later is usable", 2, func() {
			catalog.Withdraw(address(0), 7)
			clock.Advance(2 * time.Second)
			catalog.Learn(address(0), report([3]int{7, 0, 1}))
		}),
		Entry("a withdrawn version is usable after a restart of the target", 2, func() {
			catalog.Withdraw(address(0), 7)
			catalog.Learn(address(0), drainReport(2, false))
		}),
		Entry("the withdrawal of another version has no effect", 2, func() { catalog.Withdraw(address(0), 8) }),
	)

	It("returns the age of the last report, even if that report changed nothing", func() {
		learn(report([3]int{7, 0, 1}))
		clock.Advance(3 * time.Second)
		learn(report([3]int{7, 0, 1}))
		clock.Advance(time.Second)
		state, ok := catalog.Target(address(0))
		Expect(ok).To(BeTrue())
		Expect(state.Age).To(Equal(time.Second))
	})

	It("stores at most MaxTargets targets, so that reports of fabricated addresses cannot exhaust memory", func() {
		for i := range snapshot.MaxTargets + 10 {
			catalog.Learn(
				netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(i>>16)+1), target.Report{})
		}
		Expect(catalog.Statistics()).To(Equal(snapshot.Statistics{Targets: snapshot.MaxTargets, Dropped: 10}))
	})

	It("recomputes the ranking if the configured replicas change", func() {
		learn(report([3]int{7, 0, 1}), report([3]int{7, 0, 1}))
		_, counts := pinned(0)
		Expect(counts).To(Equal([]int{2}))
		pin, _ := catalog.Pin("catalogue", replicas[:1], 0)
		Expect(pin.Replicas[0]).To(HaveLen(1))
	})
})

func BenchmarkPin150(b *testing.B) {
	catalog := snapshot.New()
	configured := make([]contract.Replica, 300)
	for i := range configured {
		configured[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 80)
		catalog.Learn(configured[i].Address, report([3]int{7, i / 2, 150}, [3]int{8, i / 2, 150}))
	}
	b.Run("Cached", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			catalog.Pin("catalogue", configured, 0)
		}
	})
	b.Run("Invalidated", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r := report([3]int{7, 0, 150}, [3]int{8, 0, 150})
			r.Incarnation = uint64(i)
			catalog.Learn(configured[0].Address, r)
			catalog.Pin("catalogue", configured, 0)
		}
	})
}
