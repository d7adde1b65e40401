package slots_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/slots"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "policy/slots")
}

var address = netip.MustParseAddrPort("10.0.0.1:80")

func beFailure(outcome target.Outcome, code target.Code) OmegaMatcher {
	return And(HaveField("Outcome", outcome), HaveField("Code", code))
}

// harness runs attempts that end when the test calls finish.
type harness struct {
	clock   *clockwork.FakeClock
	timers  *timer.Service
	table   *slots.Table
	running chan string
	ends    map[string]chan error
	results map[string]chan error
	delays  chan time.Duration
}

func newHarness(options ...slots.Option) *harness {
	b := &harness{clock: clockwork.NewFakeClock(), running: make(chan string, 64), delays: make(chan time.Duration, 64)}
	b.timers = timer.New(timer.WithClock(b.clock))
	b.table = slots.NewTable(b.timers, options...)
	b.table.OnDelay = func(_ string, d time.Duration) { b.delays <- d }
	b.ends, b.results = map[string]chan error{}, map[string]chan error{}

	return b
}

func newAttempt(id string, n int, worth float64) attempt.Attempt {
	return attempt.Attempt{
		Replica: contract.Replica{Address: address},
		Slots:   n, Worth: worth,
		Query: target.Query{AttemptID: id, Service: "payout"},
	}
}

// start runs an attempt and returns once it runs, waits or was refused.
func (b *harness) start(ctx context.Context, a attempt.Attempt) {
	before := b.waiting() + len(b.running)
	result := b.launch(ctx, a)
	Eventually(func() bool { return b.waiting()+len(b.running) > before || len(result) > 0 }).Should(BeTrue())
}

// launch runs an attempt in the background.
func (b *harness) launch(ctx context.Context, a attempt.Attempt) <-chan error {
	id := a.Query.AttemptID
	end, result := make(chan error, 1), make(chan error, 1)
	b.ends[id], b.results[id] = end, result
	go func() {
		_, err := b.table.Run(ctx, a, func(context.Context) (target.Reply, error) {
			b.running <- id
			return target.Reply{}, <-end
		})
		result <- err
	}()

	return result
}

func (b *harness) waiting() int { return b.table.Waiting(address) }

// finish ends a running attempt with err.
func (b *harness) finish(id string, err error) {
	b.ends[id] <- err
	Eventually(b.results[id]).Should(Receive())
}

func (b *harness) expectRunning(id string) {
	GinkgoHelper()
	Eventually(b.running).Should(Receive(Equal(id)))
}

var shed = &target.Failure{Outcome: target.NotRun, Code: target.Shed}

var _ = Describe("Table", func() {
	It("runs at most as many requests as slots and serves the queue by worth, then by deadline", func(ctx SpecContext) {
		b := newHarness()
		early, stop := b.timers.WithTimeout(ctx, time.Second)
		defer stop()
		b.start(ctx, newAttempt("a", 2, 1))
		b.start(ctx, newAttempt("b", 2, 1))
		b.expectRunning("a")
		b.expectRunning("b")
		b.start(ctx, newAttempt("low", 2, 1))
		b.start(early, newAttempt("low and early", 2, 1))
		b.start(ctx, newAttempt("high", 2, 5))
		Expect(b.waiting()).To(Equal(3))
		Expect(b.running).To(BeEmpty())
		b.finish("a", nil)
		b.expectRunning("high")
		b.finish("b", nil)
		b.expectRunning("low and early")
		b.finish("high", nil)
		b.expectRunning("low")
	})

	It("refuses the request of the lowest worth with outcome NotRun when the queue is full", func(ctx SpecContext) {
		b := newHarness(slots.WithQueue(1))
		b.start(ctx, newAttempt("a", 1, 1))
		b.start(ctx, newAttempt("low", 1, 1))
		b.start(ctx, newAttempt("lower", 1, 0.5))
		Eventually(b.results["lower"]).Should(Receive(beFailure(target.NotRun, target.QueueFull)))
		b.launch(ctx, newAttempt("high", 1, 2))
		Eventually(b.results["low"]).Should(Receive(beFailure(target.NotRun, target.QueueFull)))
		b.expectRunning("a")
		b.finish("a", nil)
		b.expectRunning("high")
	})

	It("refuses with outcome NotRun a request that is cancelled, late, or cannot end before its deadline", func(ctx SpecContext) {
		b := newHarness()
		b.start(ctx, newAttempt("first", 1, 1))
		b.clock.Advance(time.Second)
		b.finish("first", nil) // requests now take about a second
		b.expectRunning("first")
		b.start(ctx, newAttempt("a", 1, 1))
		b.expectRunning("a")

		short, stop := b.timers.WithTimeout(ctx, time.Second)
		defer stop()
		b.start(short, newAttempt("hopeless", 1, 1))
		Eventually(b.results["hopeless"]).Should(Receive(beFailure(target.NotRun, target.TooLate)))

		waiting, cancel := context.WithCancel(ctx)
		b.start(waiting, newAttempt("cancelled", 1, 1))
		cancel()
		Eventually(b.results["cancelled"]).Should(Receive(beFailure(target.NotRun, target.Cancelled)))

		long, stop := b.timers.WithTimeout(ctx, 3*time.Second)
		defer stop()
		b.start(long, newAttempt("late", 1, 1))
		b.clock.Advance(3 * time.Second)
		Eventually(b.results["late"]).Should(Receive(beFailure(target.NotRun, target.TooLate)))
		<-long.Done()
		b.start(long, newAttempt("later", 1, 1))
		Eventually(b.results["later"]).Should(Receive(beFailure(target.NotRun, target.TooLate)))

		b.finish("a", nil)
		Expect(b.running).To(BeEmpty())
		b.start(ctx, newAttempt("next", 1, 1))
		b.expectRunning("next")
	})

	It("halves the limit once for a burst of shedding, never below 1, and raises it up to the slots", func(ctx SpecContext) {
		b := newHarness()
		ids := []string{"a", "b", "c", "d"}
		for _, id := range ids {
			b.start(ctx, newAttempt(id, 4, 1))
		}
		b.clock.Advance(time.Millisecond)
		for _, id := range ids {
			b.finish(id, shed)
		}
		Expect(b.table.Limit(address)).To(Equal(2))
		for range 3 {
			b.start(ctx, newAttempt("e", 4, 1))
			b.clock.Advance(time.Millisecond)
			b.finish("e", shed)
		}
		Expect(b.table.Limit(address)).To(Equal(1))
		limits := []int{}
		for range 10 {
			b.start(ctx, newAttempt("f", 4, 1))
			b.finish("f", nil)
			limits = append(limits, b.table.Limit(address))
		}
		Expect(limits).To(Equal([]int{2, 2, 2, 3, 3, 3, 4, 4, 4, 4}))
	})

	It("frees the slot when run panics, so that later requests can run", func(ctx SpecContext) {
		b := newHarness()
		Expect(func() {
			_, _ = b.table.Run(ctx, newAttempt("a", 1, 1), func(context.Context) (target.Reply, error) { panic("fault") })
		}).To(Panic())
		b.start(ctx, newAttempt("b", 1, 1))
		b.expectRunning("b")
	})

	It("reports the delay in the queue, and the expected delay of refused requests", func(ctx SpecContext) {
		b := newHarness(slots.WithQueue(1))
		b.start(ctx, newAttempt("a", 1, 1))
		b.start(ctx, newAttempt("b", 1, 1))
		b.clock.Advance(time.Second)
		Expect(b.table.QueueDelay(address)).To(Equal(time.Second))
		b.finish("a", nil)
		Eventually(b.delays).Should(Receive(Equal(time.Duration(0))))
		Eventually(b.delays).Should(Receive(Equal(time.Second)))
		b.start(ctx, newAttempt("c", 1, 1))
		b.start(ctx, newAttempt("d", 1, 1))
		Eventually(b.results["d"]).Should(Receive(beFailure(target.NotRun, target.QueueFull)))
		Eventually(b.delays).Should(Receive(Equal(2 * time.Second)))
		b.finish("b", nil)
		b.finish("c", nil)
		Expect(b.table.QueueDelay(address)).To(BeZero())
	})

	It("keeps a bounded number of targets and evicts only idle ones", func(ctx SpecContext) {
		b := newHarness(slots.WithTargets(1))
		reached := []string{}
		b.table.OnBound = func(bound string) { reached = append(reached, bound) }
		b.start(ctx, newAttempt("a", 2, 1))
		other := newAttempt("other", 3, 1)
		other.Replica.Address = netip.MustParseAddrPort("10.0.0.2:80")
		run := func(context.Context) (target.Reply, error) { return target.Reply{}, nil }
		_, err := b.table.Run(ctx, other, run)
		Expect(err).To(beFailure(target.NotRun, target.QueueFull))
		Expect(reached).To(Equal([]string{"Targets"}))
		b.finish("a", nil)
		_, err = b.table.Run(ctx, other, run)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.table.Limit(address)).To(BeZero())
		Expect(b.table.Limit(other.Replica.Address)).To(Equal(3))
	})

	DescribeTable("starts with the limit of its variant and changes it only if the variant is adaptive",
		func(ctx SpecContext, variant slots.Variant, n int, first, afterShed, afterSuccess int) {
			b := newHarness(slots.WithVariant(variant))
			b.start(ctx, newAttempt("a", n, 1))
			Expect(b.table.Limit(address)).To(Equal(first))
			b.finish("a", shed)
			Expect(b.table.Limit(address)).To(Equal(afterShed))
			b.start(ctx, newAttempt("b", n, 1))
			b.finish("b", nil)
			Expect(b.table.Limit(address)).To(Equal(afterSuccess))
		},
		Entry("Owner", slots.Owner(), 4, 4, 2, 2),
		Entry("Split", slots.Split(func() int { return 3 }), 7, 2, 2, 2),
		Entry("Split with more instances than slots", slots.Split(func() int { return 8 }), 2, 1, 1, 1),
		Entry("Split without a known instance", slots.Split(func() int { return 0 }), 2, 2, 2, 2),
		Entry("Adaptive", slots.Adaptive(), 4, 1, 1, 2),
	)
})
