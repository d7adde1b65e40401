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
	DescribeTable("is a quantile that the retry budget allows, so that hedges do not exhaust the budget",
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
		Entry("is the 98.5th percentile with an ExtraLoad of 5%", 0.05, 100, time.Duration(0), 98500*time.Microsecond),
		Entry("is not shorter with a higher ExtraLoad", 0.5, 100, time.Duration(0), 98500*time.Microsecond),
		Entry("is longer with a lower ExtraLoad", 0.01, 100, time.Duration(0), 99*time.Millisecond),
		Entry("is unknown with an ExtraLoad of 0", 0.0, 100, time.Duration(0), none),
		Entry("is unknown with too few latencies", 0.05, 19, time.Duration(0), none),
		Entry("is unknown for a service without latencies", 0.05, 0, time.Duration(0), none),
		Entry("includes the latencies of the last windows", 0.05, 100, 7499*time.Millisecond, 98500*time.Microsecond),
		Entry("excludes older latencies", 0.05, 100, 10*time.Second, none),
	)

	// Guards against a delay that is the latency of a straggler: when stragglers are frequent, such hedges come too late.
	DescribeTable("is at most 1.5 times the 90th percentile, but not below the quantile that the retry budget allows",
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
		Entry("is the 98.5th percentile with few stragglers", 0.05, 10, 10*time.Millisecond),
		Entry("is 1.5 times the 90th percentile with many stragglers", 0.05, 40, 15*time.Millisecond),
		Entry("is the latency of a straggler with more stragglers than the budget allows to hedge", 0.02, 40, 500*time.Millisecond),
	)

	It("follows a change of latency within the last windows", func() {
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
