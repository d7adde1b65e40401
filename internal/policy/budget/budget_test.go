package budget_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/budget"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}

// earn records n queries with one first attempt each.
func earn(b *budget.Budget, n int) {
	for range n {
		b.Earn("catalogue", 0.1, 1)
	}
}

var _ = Describe("Budget", func() {
	DescribeTable("bounds extra requests by the traffic, so that retries cannot multiply an overload",
		func(allowed int, steps func(*budget.Budget, *clockwork.FakeClock)) {
			clock := clockwork.NewFakeClock()
			b := budget.New(budget.WithTimers(timer.New(timer.WithClock(clock))))
			steps(b, clock)
			spent := 0
			for b.Spend("catalogue", 1) {
				spent++
			}
			Expect(spent).To(Equal(allowed))
			Expect(b.Statistics("catalogue").Spent).To(BeNumerically(">=", allowed))
		},
		Entry("allows none without traffic", 0, func(*budget.Budget, *clockwork.FakeClock) {}),
		Entry("allows none with an ExtraLoad of 0", 0,
			func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0, 1000) }),
		Entry("allows one retry of a query with one shard", 1,
			func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0.05, 1) }),
		Entry("allows extra requests for the given fraction of first attempts", 10, func(b *budget.Budget, _ *clockwork.FakeClock) {
			earn(b, 100)
		}),
		Entry("allows none for the traffic of another service", 0,
			func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("audit", 0.1, 1000) }),
		Entry("counts at most 10 s of traffic", 20, func(b *budget.Budget, clock *clockwork.FakeClock) {
			for range 30 {
				clock.Advance(time.Second)
				b.Earn("catalogue", 0.1, 20)
			}
		}),
		Entry("allows one retry of one shard after 10 idle seconds", 1, func(b *budget.Budget, clock *clockwork.FakeClock) {
			earn(b, 1000)
			clock.Advance(10 * time.Second)
		}),
		Entry("allows one retry of each shard of a page, so that the first page is whole when an availability zone is lost", 20,
			func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0.05, 20) }),
		Entry("allows a retry of the largest page after 10 idle seconds", 20, func(b *budget.Budget, clock *clockwork.FakeClock) {
			for range 100 {
				b.Earn("catalogue", 0.5, 20)
			}
			clock.Advance(10 * time.Second)
		}),
		Entry("does not refill the bucket within 10 s of spending", 0, func(b *budget.Budget, clock *clockwork.FakeClock) {
			b.Earn("catalogue", 0.05, 1)
			b.Spend("catalogue", 1)
			clock.Advance(10*time.Second - 1)
		}),
		Entry("refills the bucket 10 s after spending", 1, func(b *budget.Budget, clock *clockwork.FakeClock) {
			b.Earn("catalogue", 0.05, 1)
			b.Spend("catalogue", 1)
			clock.Advance(10 * time.Second)
		}),
		Entry("allows none while the service is overloaded", 0, func(b *budget.Budget, _ *clockwork.FakeClock) {
			earn(b, 100)
			b.SetOverloaded("catalogue", true)
		}),
		Entry("allows retries again after the overload", 10, func(b *budget.Budget, _ *clockwork.FakeClock) {
			b.SetOverloaded("catalogue", true)
			earn(b, 100)
			b.SetOverloaded("catalogue", false)
		}),
	)

	It("removes no token when there are too few, so that a refused restart does not reduce the retries", func() {
		b := budget.New()
		earn(b, 100)
		Expect(b.Spend("catalogue", 11)).To(BeFalse())
		Expect(b.Spend("catalogue", 10)).To(BeTrue())
		Expect(b.Statistics("catalogue")).To(Equal(budget.Statistics{Spent: 10, Refused: 11}))
	})

	It("keeps at most MaxServices buckets and removes idle ones for a new service", func() {
		clock := clockwork.NewFakeClock()
		b := budget.New(budget.WithTimers(timer.New(timer.WithClock(clock))))
		for i := range budget.MaxServices + 1 {
			b.Earn(strconv.Itoa(i), 1, 1)
		}
		Expect(b.Dropped()).To(Equal(uint64(1)))
		clock.Advance(time.Hour)
		b.Earn("catalogue", 1, 1)
		Expect(b.Spend("catalogue", 1)).To(BeTrue())
	})
})
