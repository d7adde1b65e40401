package link_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

var address = netip.MustParseAddrPort("127.0.0.1:9")

var _ = Describe("Link", func() {
	var (
		clock *clockwork.FakeClock
		table *link.Table
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		table = link.NewTable(timer.New(timer.WithClock(clock)))
	})
	// attempt records an attempt with the given duration and outcome.
	attempt := func(duration time.Duration, result link.Result) {
		pending := table.Begin(address)
		clock.Advance(duration)
		pending.End(result)
	}
	status := func() link.Status { return table.Link(address).Status() }

	DescribeTable("ejects a target after consecutive failures that indicate that the target itself has failed",
		func(results []link.Result, ejected bool) {
			for _, result := range results {
				attempt(time.Millisecond, result)
			}
			Expect(status().Ejected).To(Equal(ejected))
		},
		Entry("three consecutive failures eject the target", []link.Result{link.Failed, link.Failed, link.Failed}, true),
		Entry("two failures do not eject the target", []link.Result{link.Failed, link.Failed}, false),
		Entry("an answer resets the count of failures",
			[]link.Result{link.Failed, link.Failed, link.Answered, link.Failed}, false),
		Entry("stalled reused connections do not eject a healthy target",
			[]link.Result{link.FailedReused, link.FailedReused, link.FailedReused, link.FailedReused}, false),
		Entry("refusals do not eject a target that sheds load",
			[]link.Result{link.Refused, link.Refused, link.Refused}, false),
	)

	It("doubles the duration of consecutive ejections up to MaxEjection", func() {
		var durations []time.Duration
		for range 8 {
			for range link.EjectAfter {
				attempt(0, link.Failed)
			}
			ejectedAt := clock.Now()
			for status().Ejected {
				clock.Advance(500 * time.Millisecond)
			}
			durations = append(durations, clock.Now().Sub(ejectedAt))
		}
		Expect(durations).To(HaveExactElements(1*time.Second, 2*time.Second, 4*time.Second, 8*time.Second,
			16*time.Second, link.MaxEjection, link.MaxEjection, link.MaxEjection))
	})

	It("raises the score with attempts in flight and latency, so that a busy or slow target receives fewer queries", func() {
		attempt(10*time.Millisecond, link.Answered)
		idle := status().Score
		pending := table.Begin(address)
		Expect(status().Score).To(BeNumerically("~", 2*idle, idle/10))
		clock.Advance(100 * time.Millisecond)
		pending.End(link.Answered)
		Expect(status().Score).To(BeNumerically(">", 4*idle))
	})

	It("ignores a second call of End, so that an abandoned hedge does not decrement the attempts in flight twice", func() {
		pending := table.Begin(address)
		pending.End(link.Abandoned)
		before := status().Score
		pending.End(link.Abandoned)
		Expect(status().Score).To(Equal(before))
	})

	It("starts the warm-up of a cold target at a tenth of its weight", func() {
		warm := status().Score
		table.Learn(address, &target.Report{Incarnation: 1, Cold: true})
		Expect(status().Score).To(BeNumerically("~", warm/link.ColdWeight, warm/100))
		clock.Advance(link.WarmUp)
		Expect(status().Score).To(BeNumerically("~", warm, warm/100))
	})

	It("ends the ejection of a target that restarts with a new incarnation", func() {
		table.Learn(address, &target.Report{Incarnation: 1})
		for range link.EjectAfter {
			attempt(0, link.Failed)
		}
		table.Learn(address, &target.Report{Incarnation: 2})
		Expect(status().Ejected).To(BeFalse())
	})
})
