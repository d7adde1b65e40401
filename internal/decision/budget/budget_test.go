package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}

const (
	ratio     = 0.2
	allowance = 56.0
	window    = 10 * time.Second
)

// TestFleet checks that the fleet as a whole keeps the budget in every sliding window although the instances do not communicate.
// Each instance sends as many extra requests as its limits allow.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "seed")
		perSecond := rapid.IntRange(1, 200).Draw(t, "requests a second")
		random := rand.New(rand.NewPCG(seed, 1))
		limits := budget.Limits{Ratio: ratio, Allowance: allowance, Window: window, Share: 1 / float64(instances)}
		start := time.Unix(0, 0)
		windows := make([]*budget.Window, instances)
		for i := range windows {
			windows[i] = budget.New(start.Add(-window))
		}
		var requests, extras []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += time.Second / time.Duration(perSecond) {
			now := start.Add(at)
			i := random.IntN(instances)
			windows[i].CountFirst(now, limits, 1)
			requests = append(requests, at)
			for windows[i].AllowExtra(now, limits) {
				extras = append(extras, at)
			}
		}
		for _, from := range extras {
			spent := count(extras, from, window)
			// The bound uses the first requests of this window or of the previous one, whichever has more.
			base := max(count(requests, from, window), count(requests, from-window, window))
			if float64(spent) > ratio*float64(base)+allowance {
				t.Fatalf("%d extra requests in the window from %v for %d requests", spent, from, base)
			}
		}
	})
}

func count(times []time.Duration, from, length time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+length {
			n++
		}
	}

	return n
}

var _ = Describe("Window", func() {
	limits := budget.Limits{Ratio: ratio, Allowance: allowance, Window: window, Share: 0.5}

	It("gives a new instance no allowance at first, because the instance that it replaces may have used its share", func() {
		start := time.Unix(100, 0)
		w := budget.New(start)
		Expect(w.AllowExtra(start, limits)).To(BeFalse())
		Expect(w.AllowExtra(start.Add(window), limits)).To(BeTrue())
	})

	It("stops counting extra requests that have left the window, so that a burst of failures does not block them forever", func() {
		start := time.Unix(100, 0)
		w := budget.New(start.Add(-window))
		for w.AllowExtra(start, limits) {
			continue
		}
		Expect(w.AllowExtra(start.Add(window/2), limits)).To(BeFalse())
		Expect(w.AllowExtra(start.Add(window+time.Second), limits)).To(BeTrue())
	})
})
