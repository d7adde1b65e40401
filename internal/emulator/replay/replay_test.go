package replay_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
	"github.com/hickorynotch/hickorynotch/internal/emulator/replay"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

// seeds is the number of replays on each side of a comparison.
const seeds = 5

func load(name string) *pattern.Pattern {
	GinkgoHelper()
	p, err := pattern.Load("../../../patterns/" + name + ".yaml")
	Expect(err).NotTo(HaveOccurred())

	return p
}

var _ = DescribeTable("A mechanism gains worth under the load that it answers, and is not needed for show",
	func(name string, mechanism replay.Mechanism) {
		d := replay.Compare(load(name), replay.Policy{}, replay.Without(mechanism), seeds)
		AddReportEntry(name, d.String())
		Expect(d.Sure()).To(BeTrue(), "%s", d.String())
	},
	Entry("hedges while replicas pause", "pauses", replay.Hedging),
	Entry("the choice among replicas of which some are slow", "slow-replicas", replay.Choice),
	Entry("an answer without the shard that is late", "late-shard", replay.Coverage),
	Entry("the budget while all replicas are slow, whose queues extra requests make longer", "all-slow", replay.Budget),
	Entry("refusals while more queries come than the instances hold", "burst", replay.Admission),
	Entry("gathering at strong instances while most are small", "small-machines", replay.Placement),
)

var _ = Describe("Budget", func() {
	It("is kept over the fleet in every window while all replicas are slow, and is exceeded without it", func() {
		p := load("all-slow")
		kept, without := replay.Run(p, replay.Policy{}, 1), replay.Run(p, replay.Without(replay.Budget), 1)
		Expect(kept.Overspent).To(BeNumerically("<=", 0))
		Expect(without.Overspent).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Run", func() {
	It("gives the same result for the same seed, so that a finding can be replayed", func() {
		p := load("pauses")
		Expect(replay.Run(p, replay.Policy{}, 7)).To(Equal(replay.Run(p, replay.Policy{}, 7)))
	})
})
