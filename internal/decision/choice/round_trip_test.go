package choice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
)

var _ = Describe("RoundTrips", func() {
	var measured choice.Place

	BeforeEach(func() {
		measured = place
		measured.RoundTrips = choice.NewRoundTrips()
	})

	It("are the usual ones over the distance while there are no samples", func() {
		Expect(measured.RoundTrip("Kochi")).To(BeZero())
		Expect(measured.RoundTrip("Thrissur")).To(Equal(choice.ZoneDelay))
		Expect(measured.RoundTrip("Vitoria")).To(Equal(choice.RegionDelay))
		Expect(place.RegionRoundTrip()).To(Equal(choice.RegionDelay))
	})

	It("follow the first sample, so that regions 40 ms apart are not taken for near ones", func() {
		measured.RoundTrips.Observe("Vitoria", 41*ms)
		Expect(measured.RoundTrip("Vitoria")).To(Equal(41 * ms))
		Expect(measured.RegionRoundTrip()).To(Equal(41 * ms))
	})

	It("follow a shorter sample immediately", func() {
		measured.RoundTrips.Observe("Vitoria", 80*ms)
		measured.RoundTrips.Observe("Vitoria", 41*ms)
		Expect(measured.RoundTrip("Vitoria")).To(Equal(41 * ms))
	})

	It("are hardly raised by a peer that pauses for a second", func() {
		measured.RoundTrips.Observe("Vitoria", 40*ms)
		measured.RoundTrips.Observe("Vitoria", time.Second)
		Expect(measured.RoundTrip("Vitoria")).To(BeNumerically("<", 42*ms))
	})

	It("follow a path that has become longer within a few hundred samples", func() {
		measured.RoundTrips.Observe("Vitoria", 20*ms)
		for range 300 {
			measured.RoundTrips.Observe("Vitoria", 40*ms)
		}
		Expect(measured.RoundTrip("Vitoria")).To(BeNumerically("~", 40*ms, ms))
	})

	It("make a replica that was never used cost the measured time to its region", func() {
		replicas := []choice.Facts{replica("Kochi", 60*ms), replica("Vitoria", 0)}
		replicas[0].Warmup = time.Second
		replicas = append(replicas, replica("Kochi", 20*ms))
		replicas[2].Failures = 1
		Expect(choice.Choose(replicas, measured, nil).Index).To(Equal(1))
		measured.RoundTrips.Observe("Vitoria", 80*ms)
		Expect(choice.Choose(replicas, measured, nil).Index).To(Equal(0))
	})
})
