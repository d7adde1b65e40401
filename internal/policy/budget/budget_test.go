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

// earn records n first attempts of OneRecord queries.
func earn(b *budget.Budget, n int) {
	for range n {
		b.Earn("catalogue", 0.1, 1)
	}
}

var _ = Describe("Budget", func() {
	DescribeTable("bounds extra load by the traffic, so that retries cannot multiply an overload",
		func(paid int, steps func(*budget.Budget, *clockwork.FakeClock)) {
			clock := clockwork.NewFakeClock()
			b := budget.New(budget.WithTimers(timer.New(timer.WithClock(clock))))
			steps(b, clock)
			spent := 0
			for b.Spend("catalogue", 1) {
				spent++
			}
			Expect(spent).To(Equal(paid))
			Expect(b.Statistics("catalogue").Spent).To(BeNumerically(">=", paid))
		},
		Entry("no traffic", 0, func(*budget.Budget, *clockwork.FakeClock) {}),
		Entry("no extra load allowed", 0, func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0, 1000) }),
		Entry("one small request can retry once", 1, func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0.05, 1) }),
		Entry("the fraction of first attempts", 10, func(b *budget.Budget, _ *clockwork.FakeClock) {
			earn(b, 100)
		}),
		Entry("another service", 0, func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("audit", 0.1, 1000) }),
		Entry("at most 10 s of traffic", 20, func(b *budget.Budget, clock *clockwork.FakeClock) {
			for range 30 {
				clock.Advance(time.Second)
				b.Earn("catalogue", 0.1, 20)
			}
		}),
		Entry("a quiet time leaves one", 1, func(b *budget.Budget, clock *clockwork.FakeClock) {
			earn(b, 1000)
			clock.Advance(10 * time.Second)
		}),
		Entry("a page can retry all its shards once, so that the loss of a zone does not thin the first page", 20,
			func(b *budget.Budget, _ *clockwork.FakeClock) { b.Earn("catalogue", 0.05, 20) }),
		Entry("a quiet time leaves one retry of the largest page", 20, func(b *budget.Budget, clock *clockwork.FakeClock) {
			for range 100 {
				b.Earn("catalogue", 0.5, 20)
			}
			clock.Advance(10 * time.Second)
		}),
		Entry("the minimum is not granted again at once", 0, func(b *budget.Budget, clock *clockwork.FakeClock) {
			b.Earn("catalogue", 0.05, 1)
			b.Spend("catalogue", 1)
			clock.Advance(10*time.Second - 1)
		}),
		Entry("the minimum is granted again after 10 s", 1, func(b *budget.Budget, clock *clockwork.FakeClock) {
			b.Earn("catalogue", 0.05, 1)
			b.Spend("catalogue", 1)
			clock.Advance(10 * time.Second)
		}),
		Entry("closed while overloaded", 0, func(b *budget.Budget, _ *clockwork.FakeClock) {
			earn(b, 100)
			b.SetOverloaded("catalogue", true)
		}),
		Entry("open after the overload", 10, func(b *budget.Budget, _ *clockwork.FakeClock) {
			b.SetOverloaded("catalogue", true)
			earn(b, 100)
			b.SetOverloaded("catalogue", false)
		}),
	)

	It("takes nothing when there is too little, so that a refused restart costs no retries", func() {
		b := budget.New()
		earn(b, 100)
		Expect(b.Spend("catalogue", 11)).To(BeFalse())
		Expect(b.Spend("catalogue", 10)).To(BeTrue())
		Expect(b.Statistics("catalogue")).To(Equal(budget.Statistics{Spent: 10, Refused: 11}))
	})

	It("stays within MaxServices and makes room for a service when others are idle", func() {
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
