package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// limitedReply is reply by a target that names a rate limit, in requests a second, until lifted is set.
func limitedReply(stamp string, perSecond float64, lifted *atomic.Bool) func(http.ResponseWriter, *http.Request) {
	answer := reply(stamp, "record")

	return func(w http.ResponseWriter, r *http.Request) {
		if lifted == nil || !lifted.Load() {
			w.Header().Set("Limit", fmt.Sprint(perSecond))
		}
		answer(w, r)
	}
}

// newFleet returns the dispatchers of n instances.
func newFleet(n int, preferred string, backends ...*backend) []*dispatch.Dispatcher {
	dispatchers := make([]*dispatch.Dispatcher, n)
	for i := range dispatchers {
		dispatchers[i] = newDispatcher(options{
			preferred: preferred, allowance: 1000,
			fleet: target.FleetFacts{Instances: n, Listed: n, Position: float64(i) / float64(n)},
		}, backends...)
	}

	return dispatchers
}

// runAll sends queries to all dispatchers, 2 at a time to each, until the time is up. It returns the numbers of answers by status.
func runAll(dispatchers []*dispatch.Dispatcher, r *route.Route, duration time.Duration) map[dispatch.Status]int {
	var mu sync.Mutex
	counts := make(map[dispatch.Status]int)
	until := time.Now().Add(duration)
	var callers sync.WaitGroup
	for _, d := range dispatchers {
		for range 2 {
			callers.Go(func() {
				for time.Now().Before(until) {
					answer := send(d, query(r))
					mu.Lock()
					counts[answer.Status]++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()

	return counts
}

// send sends a query once.
func send(d *dispatch.Dispatcher, q *dispatch.Query) dispatch.Answer {
	if q.Route.Gather != nil {
		return d.Gather(context.Background(), q)
	}

	return d.Forward(context.Background(), q)
}

// useTurns sends queries until the next turn of the instance to send the target a request is not within the objective. A target that names
// a limit of 0 still gets a request every five seconds, at a time of day that the test does not choose.
func useTurns(d *dispatch.Dispatcher, r *route.Route) {
	GinkgoHelper()
	Eventually(func() time.Duration { return send(d, query(r)).TurnIn }, "10s", "5ms").Should(BeNumerically(">", r.Objective+time.Second))
}

func forwardRoute() *route.Route {
	return &route.Route{
		Name: "f", Service: "s1", Idempotent: true, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2,
	}
}

var _ = Describe("A target that names a rate limit", func() {
	DescribeTable("gets no more requests from a fleet than its limit allows", func(r *route.Route) {
		const perSecond, instances = 20, 4
		limited := newBackend("s1", "limited", limitedReply("a", perSecond, nil))
		other := newBackend("s1", "other", reply("b", "record"))
		dispatchers := newFleet(instances, "limited", limited, other)
		runAll(dispatchers, r, 200*time.Millisecond)
		before, began := limited.requests.Load(), time.Now()
		counts := runAll(dispatchers, r, 2*time.Second)
		sent, seconds := limited.requests.Load()-before, time.Since(began).Seconds()
		Expect(counts).To(HaveLen(1))
		Expect(counts[dispatch.Answered]).To(BeNumerically(">", 2*perSecond), "the other replica answers the rest")
		Expect(float64(sent)).To(BeNumerically("<=", 1.5*perSecond*seconds+5))
		Expect(sent).To(BeNumerically(">", 0))
	},
		Entry("of queries for shards", gatherRoute(1, "s1")),
		Entry("of requests for one target", forwardRoute()),
	)

	It("gets its usual share of the requests again once it names no limit any more", func() {
		var lifted atomic.Bool
		limited := newBackend("s1", "limited", limitedReply("a", 20, &lifted))
		other := newBackend("s1", "other", reply("b", "record"))
		dispatchers := newFleet(4, "limited", limited, other)
		runAll(dispatchers, forwardRoute(), 300*time.Millisecond)
		lifted.Store(true)
		before := limited.requests.Load()
		Eventually(func() int64 {
			runAll(dispatchers, forwardRoute(), 100*time.Millisecond)

			return limited.requests.Load() - before
		}, "10s").Should(BeNumerically(">", 200))
	})

	DescribeTable("makes a request be refused at once, as not run and with the time of the next turn, if no replica can take it",
		func(r *route.Route) {
			limited := newBackend("s1", "a", limitedReply("a", 0, nil))
			dispatchers := newFleet(1, "", limited)
			answered := runAll(dispatchers, r, 50*time.Millisecond)
			Expect(answered[dispatch.Answered]).To(BeNumerically(">", 0), "before the limit is known")
			useTurns(dispatchers[0], r)
			sent := limited.requests.Load()
			for range 3 {
				q := query(r)
				answer := send(dispatchers[0], q)
				Expect(answer.Status).To(Equal(dispatch.NotRun))
				Expect(answer.Reason).To(Equal("TargetsLimited"))
				Expect(answer.TurnIn).To(BeNumerically(">", 0))
				Expect(time.Now()).To(BeTemporally("<", q.Deadline), "not at the deadline")
			}
			Expect(limited.requests.Load()).To(Equal(sent))
		},
		Entry("a query for shards", gatherRoute(1, "s1")),
		Entry("a request for one target", forwardRoute()),
	)

	It("does not make a query be refused as not run that an earlier gatherer may have sent", func() {
		limited := newBackend("s1", "a", limitedReply("a", 0, nil))
		d := newFleet(1, "", limited)[0]
		r := gatherRoute(1, "s1")
		useTurns(d, r)
		q := query(r)
		q.MaybeSent = true
		Expect(d.Gather(context.Background(), q).Status).To(Equal(dispatch.Unknown))
	})

	It("does not keep the other shards of a query from being asked if enough of them are left", func() {
		limited := newBackend("s1", "a", limitedReply("a", 0, nil))
		other := newBackend("s2", "b", reply("b", "record"))
		d := newFleet(1, "", limited, other)[0]
		r := gatherRoute(0.5, "s1", "s2")
		useTurns(d, r)
		answer := d.Gather(context.Background(), query(r))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Missing).To(Equal(1))
	})

	It("is sent a request that waits for its turn, if that comes within the objective", func() {
		limited := newBackend("s1", "a", limitedReply("a", 10, nil))
		d := newFleet(1, "", limited)[0]
		r := forwardRoute()
		for range 4 {
			Expect(d.Forward(context.Background(), query(r)).Status).To(Equal(dispatch.Answered))
		}
	})

	It("gets no hedge beyond its limit", func() {
		limited := newBackend("s1", "limited", limitedReply("a", 0, nil))
		slow := newBackend("s1", "slow", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(60 * time.Millisecond)
			reply("b", "record")(w, r)
		})
		d := newFleet(1, "limited", limited, slow)[0]
		r := gatherRoute(1, "s1")
		r.Objective = 100 * time.Millisecond
		runAll([]*dispatch.Dispatcher{d}, r, 100*time.Millisecond)
		sent := limited.requests.Load()
		runAll([]*dispatch.Dispatcher{d}, r, 500*time.Millisecond)
		Expect(limited.requests.Load()).To(BeNumerically("<=", sent+1))
	})
})
