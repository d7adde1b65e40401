package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var (
	place = choice.Place{
		AvailabilityZone: "Pamplona", Region: "Navarra",
		Regions: map[string]string{"Pamplona": "Navarra", "Tudela": "Navarra", "Haro": "Rioja", "Bilbao": "Euskadi"},
	}
	query    = placement.Query{Shards: 90, PartBytes: 1000}
	noJitter = func(int) time.Duration { return 0 }
)

func instance(zone string, processor, linkBits float64) placement.Candidate {
	return placement.Candidate{
		AvailabilityZone: zone, Processor: processor, LinkBits: linkBits, LocalShards: 45, RegionShards: 90,
	}
}

var _ = Describe("Choose", func() {
	small, strong := instance("Pamplona", 0.192, 14e6), instance("Pamplona", 0.8, 140e6)

	It("hands a query of 90 shards from a small instance to a strong one, whose link and processor hold it", func() {
		Expect(placement.Choose(small, []placement.Candidate{small, strong}, query, place, noJitter).Index).To(Equal(1))
	})

	It("keeps a query among equal instances, because a hop gains nothing", func() {
		Expect(placement.Choose(strong, []placement.Candidate{strong}, query, place, noJitter).Index).To(Equal(-1))
	})

	It("prefers the strong instance of the own region to one in another", func() {
		far := instance("Haro", 0.8, 140e6)
		Expect(placement.Choose(small, []placement.Candidate{far, strong}, query, place, noJitter).Index).To(Equal(1))
	})

	It("leaves a strong instance that gathers many queries", func() {
		busy := strong
		busy.Active = 40
		Expect(placement.Choose(small, []placement.Candidate{busy, strong}, query, place, noJitter).Index).To(Equal(1))
	})

	It("gathers itself when the strong instances do not answer", func() {
		lost := strong
		lost.Excluded = true
		Expect(placement.Choose(small, []placement.Candidate{lost}, query, place, noJitter).Index).To(Equal(-1))
	})
})

var _ = Describe("Gatherers", func() {
	It("counts the strong instances, so that the connections of a target are not shared among those that use none", func() {
		strong, small := instance("Pamplona", 0.8, 140e6), instance("Tudela", 0.192, 14e6)
		n, self := placement.Gatherers([]placement.Candidate{strong, strong, small, small}, small)
		Expect(n).To(Equal(2))
		Expect(self).To(BeFalse())
	})
})

var _ = Describe("Groups", func() {
	everywhere := func(string) bool { return true }

	It("groups the shards without a replica in the own zone, so that their parts do not cross one by one", func() {
		zones := [][]string{{"Pamplona", "Haro"}, {"Haro", "Bilbao"}, {"Haro", "Bilbao"}, {"Haro", "Bilbao"}}
		groups := placement.Groups(zones, place, 0, everywhere)
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Shards).To(Equal([]int{1, 2, 3}))
	})

	It("takes equal zones in turn, so that the replicas of one zone do not get all of the work", func() {
		zones := [][]string{{"Haro", "Bilbao"}, {"Haro", "Bilbao"}, {"Haro", "Bilbao"}}
		first := placement.Groups(zones, place, 0, everywhere)[0].AvailabilityZone
		second := placement.Groups(zones, place, 1, everywhere)[0].AvailabilityZone
		Expect(first).NotTo(Equal(second))
	})

	It("prefers a zone of the own region, whose bytes cost less", func() {
		zones := [][]string{{"Haro", "Tudela"}, {"Haro", "Tudela"}, {"Haro", "Tudela"}, {"Haro", "Bilbao"}}
		Expect(placement.Groups(zones, place, 0, everywhere)[0].AvailabilityZone).To(Equal("Tudela"))
	})

	It("makes no group where no instance is, so that the shards are asked directly", func() {
		zones := [][]string{{"Haro"}, {"Haro"}, {"Haro"}}
		Expect(placement.Groups(zones, place, 0, func(string) bool { return false })).To(BeEmpty())
	})
})

var _ = DescribeTable("Connections",
	func(accepted, holders, expected int, keep bool) {
		n, kept := placement.Connections(accepted, holders)
		Expect(n).To(Equal(expected))
		Expect(kept).To(Equal(keep))
		if kept {
			Expect(n * holders).To(BeNumerically("<=", accepted))
		}
	},
	Entry("shares them among the instances of a small site", 26, 9, 2, true),
	Entry("shares them among the strong instances of a grown site", 62, 13, 4, true),
	Entry("keeps none open where a target accepts fewer than there are instances, which it would reset for ever", 26, 301, 1, false),
)
