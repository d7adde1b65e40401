package hedging_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
)

func TestHedging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedging")
}

const ms = time.Millisecond

var _ = Describe("Delay", func() {
	// A replica that pauses for 150 ms in an objective of 80 ms; the other one is 24 ms away.
	paused := hedging.Facts{Objective: 80 * ms, Usual: 40 * ms, Left: 55 * ms, Second: 30 * ms, Pace: 3 * ms}

	It("leaves the second replica enough time, so that a pause does not cost the part", func() {
		Expect(hedging.Delay(paused) + paused.Second).To(BeNumerically("<", paused.Left))
	})

	It("waits for the usual time of the first replica, so that an overload is not doubled by hedges", func() {
		busy := paused
		busy.Pace = 30 * ms
		Expect(hedging.Delay(busy)).To(BeNumerically(">", busy.Pace))
	})

	It("does not hedge before the usual time when there is time, so that hedges stay few", func() {
		calm := hedging.Facts{Objective: 200 * ms, Usual: 45 * ms, Left: 180 * ms, Second: 30 * ms, Pace: 25 * ms}
		Expect(hedging.Delay(calm)).To(BeNumerically(">=", 45*ms))
	})

	It("hedges a replica sooner that answers no other request either", func() {
		stopped := paused
		stopped.Stopped = true
		Expect(hedging.Delay(stopped)).To(BeNumerically("<", hedging.Delay(paused)))
	})
})

var _ = Describe("Tracker", func() {
	It("follows the 90th percentile, so that one slow answer in ten does not look late", func() {
		var t hedging.Tracker
		for i := range 2000 {
			t.Observe(time.Duration(1+i%100) * ms)
		}
		Expect(t.Value()).To(BeNumerically("~", 90*ms, 25*ms))
	})

	It("knows nothing without samples", func() {
		Expect((&hedging.Tracker{}).Value()).To(BeZero())
	})
})
