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
	// The first replica pauses for 150 ms while the objective is 80 ms. The second one has a round-trip time of 24 ms.
	paused := hedging.Facts{
		Objective: 80 * ms, ResponseTimeP90: 40 * ms, TimeLeft: 55 * ms, SecondResponseTime: 30 * ms, ResponseTime: 3 * ms,
	}

	It("hedges early enough for the second replica to answer, so that the part is not missing because of a pause", func() {
		Expect(hedging.Delay(paused) + paused.SecondResponseTime).To(BeNumerically("<", paused.TimeLeft))
	})

	It("waits for the first replica's average response time, so that hedges do not double the load of busy replicas", func() {
		busy := paused
		busy.ResponseTime = 30 * ms
		Expect(hedging.Delay(busy)).To(BeNumerically(">", busy.ResponseTime))
	})

	It("does not hedge before the route's 90th percentile if enough time is left, so that hedges stay rare", func() {
		unhurried := hedging.Facts{
			Objective: 200 * ms, ResponseTimeP90: 45 * ms, TimeLeft: 180 * ms, SecondResponseTime: 30 * ms, ResponseTime: 25 * ms,
		}
		Expect(hedging.Delay(unhurried)).To(BeNumerically(">=", 45*ms))
	})

	It("hedges earlier if the first replica has stopped answering its other requests, too", func() {
		stopped := paused
		stopped.Stopped = true
		Expect(hedging.Delay(stopped)).To(BeNumerically("<", hedging.Delay(paused)))
	})
})

var _ = Describe("Tracker", func() {
	It("estimates the 90th percentile, so that the slowest tenth of normal responses does not count as late", func() {
		var t hedging.Tracker
		for i := range 2000 {
			t.Observe(time.Duration(1+i%100) * ms)
		}
		Expect(t.Value()).To(BeNumerically("~", 90*ms, 25*ms))
	})

	It("returns zero without samples", func() {
		Expect((&hedging.Tracker{}).Value()).To(BeZero())
	})
})
