package hedge_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/hedge"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

var _ = Describe("Delay", func() {
	const none = time.Duration(-1)
	DescribeTable("is the quantile that the budget pays for, so that hedges do not exhaust it",
		func(extraLoad float64, samples int, wait, want time.Duration) {
			clock := clockwork.NewFakeClock()
			h := hedge.New(
				hedge.WithTimers(timer.New(timer.WithClock(clock))),
				hedge.WithExtraLoad(func(string) float64 { return extraLoad }),
			)
			for i := range samples {
				h.Observe("catalogue", time.Duration(i+1)*time.Millisecond)
			}
			clock.Advance(wait)
			delay, ok := h.Delay("catalogue")
			Expect(ok).To(Equal(want != none))
			if ok {
				Expect(delay).To(BeNumerically("~", want, want/50))
			}
		},
		Entry("98.5th percentile", 0.05, 100, time.Duration(0), 98500*time.Microsecond),
		Entry("not earlier with more extra load", 0.5, 100, time.Duration(0), 98500*time.Microsecond),
		Entry("later with less extra load", 0.01, 100, time.Duration(0), 99*time.Millisecond),
		Entry("never without extra load", 0.0, 100, time.Duration(0), none),
		Entry("not with too few latencies", 0.05, 19, time.Duration(0), none),
		Entry("not for an unknown service", 0.05, 0, time.Duration(0), none),
		Entry("latencies within the window count", 0.05, 100, 7499*time.Millisecond, 98500*time.Microsecond),
		Entry("latencies before the window do not", 0.05, 100, 10*time.Second, none),
	)

	// Guards against a delay that is the time of a straggler, which makes hedges useless when stragglers are frequent.
	DescribeTable("is at most 1.5 times the 90th percentile, and at least what the budget pays for",
		func(extraLoad float64, stragglers int, want time.Duration) {
			h := hedge.New(hedge.WithTimers(timer.New(timer.WithClock(clockwork.NewFakeClock()))),
				hedge.WithExtraLoad(func(string) float64 { return extraLoad }))
			for i := range 1000 {
				latency := 10 * time.Millisecond
				if i < stragglers {
					latency = 500 * time.Millisecond
				}
				h.Observe("catalogue", latency)
			}
			delay, ok := h.Delay("catalogue")
			Expect(ok).To(BeTrue())
			Expect(delay).To(BeNumerically("~", want, want/50))
		},
		Entry("few stragglers", 0.05, 10, 10*time.Millisecond),
		Entry("many stragglers", 0.05, 40, 15*time.Millisecond),
		Entry("more stragglers than the budget pays for", 0.02, 40, 500*time.Millisecond),
	)

	// Guards against a delay that falls with each hedge that wins, because only quick attempts would be left in the digest.
	It("takes a cancelled request for its time in a slot only if it was late", func() {
		clock := clockwork.NewFakeClock()
		h := hedge.New(hedge.WithTimers(timer.New(timer.WithClock(clock))), hedge.WithHolds())
		for i := range 100 {
			h.ObserveHeld("catalogue", time.Duration(i+101)*time.Millisecond, true)
		}
		delay, _ := h.Delay("catalogue")
		Expect(delay).To(BeNumerically("~", 200*time.Millisecond, 2*time.Millisecond))
		for range 1000 {
			h.ObserveHeld("catalogue", time.Millisecond, false)
		}
		for range 2 {
			h.ObserveHeld("catalogue", 300*time.Millisecond, false)
		}
		clock.Advance(time.Second)
		delay, _ = h.Delay("catalogue")
		Expect(delay).To(BeNumerically("~", 287*time.Millisecond, 4*time.Millisecond))
	})

	It("follows a change of load within the window", func() {
		clock := clockwork.NewFakeClock()
		h := hedge.New(hedge.WithTimers(timer.New(timer.WithClock(clock))))
		for second := range 12 {
			latency := 5 * time.Millisecond
			if second > 0 {
				latency = 50 * time.Millisecond
			}
			for range 100 {
				h.Observe("catalogue", latency)
			}
			clock.Advance(time.Second)
		}
		delay, ok := h.Delay("catalogue")
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})
})

func BenchmarkObserve(b *testing.B) {
	h := hedge.New()
	b.ReportAllocs()
	for b.Loop() {
		h.Observe("catalogue", 3*time.Millisecond)
	}
}
