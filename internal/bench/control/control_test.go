package control

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control bench")
}

var _ = DescribeTable("quantile takes the nearest rank",
	func(q float64, want time.Duration) {
		var times []time.Duration
		for i := range 30 {
			times = append(times, time.Duration(i+1))
		}
		Expect(quantile(times, q)).To(Equal(want))
	},
	Entry("and does not report a middle value below the median", 0.5, time.Duration(15)),
	Entry("and does not leave out the slowest of few samples", 0.99, time.Duration(30)),
)

var _ = It("reads adoptions from the log, whose format the bench would otherwise silently lose track of", func() {
	a := adoption{changed: func() {}}
	log := event.New(&a, time.Now)
	log.Log(event.ConfigurationAdopted, "Revision", uint64(7), "ApplyID", "x", "Source", "Store")
	log.Log(event.ConfigurationOlder, "Revision", uint64(6), "Active", uint64(7), "Source", "x")
	revision, at := a.since()
	Expect(revision).To(Equal(uint64(7)))
	Expect(at).NotTo(BeZero())
})

var _ = It("simulates a fleet in which changes come into force and failures are seen, so that no figure is empty", func(ctx SpecContext) {
	report, err := Simulate(ctx, SimulateOptions{Sizes: []int{18}, Seed: 3})
	Expect(err).NotTo(HaveOccurred())
	s := report.Sizes[0]
	Expect(s.InForce.Samples).To(Equal(changes))
	Expect(s.InForce.P50).To(BeNumerically(">", 0))
	Expect(s.DetectAll.P50).To(BeNumerically(">=", s.DetectFirst.P50))
	Expect(s.RegionHealed).To(BeNumerically(">", 0))
	Expect(s.FalseFailures).To(BeZero())
	Expect(s.RecordsSent).To(BeNumerically(">=", 1))
})
