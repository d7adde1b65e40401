package replay_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
	"github.com/hickorynotch/hickorynotch/internal/emulator/replay"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

// seeds is the number of replays for each policy in a comparison.
const seeds = 5

func load(name string) *pattern.Pattern {
	GinkgoHelper()
	p, err := pattern.Load("../../../patterns/" + name + ".yaml")
	Expect(err).NotTo(HaveOccurred())

	return p
}

var _ = DescribeTable("Each mechanism significantly increases the worth under the load that it is designed for",
	func(name string, mechanism replay.Mechanism) {
		d := replay.Compare(load(name), replay.Policy{}, replay.Without(mechanism), seeds)
		AddReportEntry(name, d.String())
		Expect(d.Significant()).To(BeTrue(), "%s", d.String())
	},
	Entry("hedging increases the worth while replicas pause", "pauses", replay.Hedging),
	Entry("the choice of replicas increases the worth while some replicas are slow", "slow-replicas", replay.Choice),
	Entry("answering without a late shard increases the worth", "late-shard", replay.Coverage),
	Entry("the budget increases the worth while all replicas are slow, because extra requests would lengthen their queues",
		"all-slow", replay.Budget),
	Entry("admission control increases the worth while more queries arrive than the instances can serve",
		"burst", replay.Admission),
	Entry("gathering at strong instances increases the worth while most instances are small", "small-machines", replay.Placement),
	Entry("handing queries over increases the worth while most instances reach no replica", "stranded", replay.Reachability),
	Entry("measured round-trip times increase the worth while the regions are farther apart than usual",
		"far-regions", replay.RoundTrips),
)

var _ = Describe("Budget", func() {
	It("is not exceeded by the fleet in any window while all replicas are slow, and is exceeded if the mechanism is off", func() {
		p := load("all-slow")
		limited, unlimited := replay.Run(p, replay.Policy{}, 1), replay.Run(p, replay.Without(replay.Budget), 1)
		Expect(limited.Overspent).To(BeNumerically("<=", 0))
		Expect(unlimited.Overspent).To(BeNumerically(">", 0))
	})
})

var _ = DescribeTable("What a replica says of itself is obeyed, and is not if the mechanism is off",
	func(name string, mechanism replay.Mechanism, sent func(replay.Result) int) {
		p := load(name)
		with, without := replay.Run(p, replay.Policy{}, 1), replay.Run(p, replay.Without(mechanism), 1)
		Expect(sent(with)).To(BeZero())
		Expect(sent(without)).To(BeNumerically(">", 0))
		Expect(with.Worth).To(BeNumerically(">=", without.Worth-0.01), "%s", &with)
	},
	Entry("a replica that names a time to come back gets nothing until then", "shedding", replay.Absence,
		func(r replay.Result) int { return r.SentAway }),
	Entry("a replica that leaves by its own word gets nothing more, although the registry is silent", "leaving", replay.Leaving,
		func(r replay.Result) int { return r.SentLeaving }),
)

var _ = Describe("Queries that may be served in one of three regions", func() {
	It("reach no replica or other instance outside of it, and do if the mechanism is off, and are answered in time", func() {
		p := load("one-region")
		with, without := replay.Run(p, replay.Policy{}, 1), replay.Run(p, replay.Without(replay.Regions), 1)
		Expect(with.SentOutside).To(BeZero())
		Expect(without.SentOutside).To(BeNumerically(">", 0))
		Expect(with.Worth).To(BeNumerically(">", 0.9), "%s", &with)
	})
})

var _ = DescribeTable("A fleet of the size that the system is designed for is replayed within a minute, and queries are answered",
	func(name string, instances, replicas int) {
		p := load(name)
		count := 0
		for _, group := range p.Instances {
			count += group.Count
		}
		Expect(count).To(Equal(instances))
		Expect(p.Targets.Shards * p.Targets.Replicas).To(BeNumerically(">=", replicas))
		began := time.Now()
		result := replay.Run(p, replay.Policy{}, 1)
		Expect(time.Since(began)).To(BeNumerically("<", time.Minute))
		Expect(result.Worth).To(BeNumerically(">", 0.9), "%s", &result)
	},
	Entry("with 195 instances and 432 replicas", "size-195", 195, 432),
	Entry("with 450 instances and 3,200 replicas", "size-450", 450, 3200),
)

var _ = Describe("Run", func() {
	It("returns the same result for the same seed, so that a finding can be reproduced", func() {
		p := load("pauses")
		Expect(replay.Run(p, replay.Policy{}, 7)).To(Equal(replay.Run(p, replay.Policy{}, 7)))
	})
})
