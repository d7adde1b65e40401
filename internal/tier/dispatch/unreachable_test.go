package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// partition is a dispatcher with targets that can be cut off from it.
type partition struct {
	dispatcher *dispatch.Dispatcher
	pool       *target.Pool
	backends   []*backend
	cut        atomic.Bool
	after      chan struct{}
}

// newPartition returns a dispatcher with a number of replicas of the service "s".
func newPartition(replicas int) *partition {
	p := &partition{after: make(chan struct{})}
	timers := timer.New()
	p.pool = target.NewPool(codec, timers)
	var targets []*directory.Target
	for i := range replicas {
		b := newBackend("s", fmt.Sprint("t", i), func(w http.ResponseWriter, r *http.Request) {
			if p.cut.Load() {
				select {
				case <-p.after:
				case <-r.Context().Done():
				}
			}
			reply("stamp", "x")(w, r)
		})
		p.backends = append(p.backends, b)
		targets = append(targets, b.target)
	}
	p.pool.Update(directory.New(targets))
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(func() {
		close(p.after)
		cancel()
		p.pool.Close()
	})
	go func() { _ = p.pool.WatchReachability(ctx) }()
	ledger := budget.NewLedger(timers.Now().Add(-time.Hour), func(string) budget.Limits {
		return budget.Limits{Allowance: 100, Window: time.Minute, Share: 1}
	})
	p.dispatcher = dispatch.New(p.pool, ledger, timers, dispatch.Settings{})

	return p
}

// begin makes open connections hang and new ones be refused.
func (p *partition) begin() {
	p.cut.Store(true)
	for _, b := range p.backends {
		_ = b.server.Listener.Close()
	}
}

func (p *partition) query(idempotent bool, timeout time.Duration) *dispatch.Query {
	now := time.Now()

	return &dispatch.Query{
		Route:     &route.Route{Name: "r", Service: "s", Idempotent: idempotent, Timeout: timeout, Objective: timeout, MaxAttempts: 3},
		RequestID: "r1", Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nRequest: r1\r\n"), Received: now, Deadline: now.Add(timeout),
	}
}

var _ = Describe("A query of an instance that loses connectivity to the targets", func() {
	It("ends at once and names the targets that may have it, instead of at its deadline (RECOVER)", func() {
		p := newPartition(4)
		Expect(p.dispatcher.Forward(context.Background(), p.query(true, time.Minute)).Status).To(Equal(dispatch.Answered))
		p.begin()
		answer := p.dispatcher.Forward(context.Background(), p.query(true, time.Minute))
		Expect(p.pool.Reachability()).NotTo(Equal(reachability.Reachable))
		Expect(answer.Reason).To(Equal(dispatch.ReasonUnreachable))
		Expect(answer.Status).To(Equal(dispatch.Unknown))
		Expect(answer.Tried).To(HaveLen(1))
		Expect(answer.Service).To(Equal("s"))

		next := p.dispatcher.Forward(context.Background(), p.query(false, time.Minute))
		Expect(next.Status).To(Equal(dispatch.NotRun), "nothing of it was sent")
		Expect(next.Reason).To(Equal(dispatch.ReasonUnreachable))
	})
})

var _ = Describe("A query while only open connections work", func() {
	It("is refused as not run if too few shards have one, instead of failing after some of its parts have run", func() {
		p := newPartition(4)
		Expect(p.dispatcher.Forward(context.Background(), p.query(true, time.Minute)).Status).To(Equal(dispatch.Answered))
		for _, b := range p.backends {
			_ = b.server.Listener.Close()
		}
		for p.pool.Reachability() == reachability.Reachable {
			p.dispatcher.Forward(context.Background(), p.query(false, time.Second))
		}
		Expect(p.pool.Reachability()).To(Equal(reachability.NoNewConnections))
		sent := func() (n int64) {
			for _, b := range p.backends {
				n += b.requests.Load()
			}

			return n
		}
		before := sent()
		q := p.query(true, time.Minute)
		q.Route = gatherRoute(1, "s", "other")
		answer := p.dispatcher.Gather(context.Background(), q)
		Expect(answer.Status).To(Equal(dispatch.NotRun))
		Expect(answer.Reason).To(Equal(dispatch.ReasonUnreachable))
		Expect(sent()).To(Equal(before))
	})
})

var _ = Describe("A query that a peer may have sent to targets that it names", func() {
	It("is sent to another one, as a retry, and not to more than the route allows (BUDGET)", func() {
		p := newPartition(4)
		q := p.query(true, 5*time.Second)
		q.Tried = []string{"t0", "t1"}
		answer := p.dispatcher.Forward(context.Background(), q)
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(p.backends[0].requests.Load() + p.backends[1].requests.Load()).To(BeZero())
		q = p.query(true, 5*time.Second)
		q.Tried = []string{"t0", "t1", "t2"}
		before := p.backends[3].requests.Load()
		Expect(p.dispatcher.Forward(context.Background(), q).Status).To(Equal(dispatch.Unknown))
		Expect(p.backends[3].requests.Load()).To(Equal(before))
	})
})
