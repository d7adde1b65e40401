package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// crashes counts the replicas that have ended, each after a delay.
type crashes struct {
	atomic.Int64
	delay time.Duration
}

// replica returns a backend that ends, with all its connections, as soon as it runs a request whose path begins with /crash, and answers others
// after a delay.
func (c *crashes) replica(service, id string, delay time.Duration) *backend {
	var server *httptest.Server
	answer := reply("part of "+service, id)
	b := newBackend(service, id, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/crash") {
			time.Sleep(c.delay)
			c.Add(1)
			_ = server.Listener.Close()
			server.CloseClientConnections()

			return
		}
		time.Sleep(delay)
		answer(w, r)
	})
	server = b.server

	return b
}

// shards returns n shards with a number of replicas each, and the names of the shards.
func (c *crashes) shards(n, replicas int, delay time.Duration) (backends []*backend, names []string) {
	for i := range n {
		name := fmt.Sprintf("s%02d", i)
		names = append(names, name)
		for k := range replicas {
			backends = append(backends, c.replica(name, fmt.Sprintf("%s-%d", name, k), delay))
		}
	}

	return backends, names
}

// firstBlock is the time for which a query is blocked at first.
const firstBlock = 5 * time.Second

// crashing returns a query that crashes the replicas that run it.
func crashing(shards ...string) *dispatch.Query {
	q := query(gatherRoute(0.8, shards...))
	q.Head = []byte("GET /crash HTTP/1.1\r\nHost: a\r\nRequest: r1\r\n")

	return q
}

// stop ends a replica's process for a reason of its own, and returns a function that starts it again at the same address.
func (b *backend) stop(answer http.HandlerFunc) (restart func()) {
	GinkgoHelper()
	_ = b.server.Listener.Close()
	b.server.CloseClientConnections()

	return func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", b.target.Address.String())
		Expect(err).NotTo(HaveOccurred())
		b.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: answer}}
		b.server.Start()
		DeferCleanup(b.server.Close)
	}
}

var _ = Describe("A query that is under way at all replicas of its service when they end at once for a reason of their own", func() {
	It("is not blocked, and is answered once they are back, although the registry still lists the processes that have ended", func() {
		var backends []*backend
		for i := range 7 {
			backends = append(backends, newBackend("s", fmt.Sprintf("s-%d", i), hang))
		}
		// A target that lives shows that the others have ended, and that it is no partition.
		d := newDispatcher(options{allowance: 100}, append(slices.Clone(backends), newBackend("other", "o-0", reply("stamp", "answer")))...)
		popular := func() *dispatch.Query {
			r := gatherRoute(1, "s")
			r.Gather, r.Service, r.Objective = nil, "s", 2*time.Second

			return query(r)
		}
		var queries sync.WaitGroup
		for range 14 {
			queries.Go(func() { d.Forward(context.Background(), popular()) })
		}
		Eventually(func() (busy int) {
			for _, b := range backends {
				busy += int(min(b.requests.Load(), 1))
			}

			return busy
		}, "2s", "5ms").Should(Equal(len(backends)))
		var restarts []func()
		for _, b := range backends {
			restarts = append(restarts, b.stop(reply("stamp", "answer")))
		}
		queries.Wait()
		Expect(d.Suspicion(popular())).To(And(HaveField("Mode", quarantine.Careful), HaveField("Crashes", HaveLen(7))))
		for _, restart := range restarts {
			restart()
		}
		Eventually(func() dispatch.Status { return d.Forward(context.Background(), popular()).Status }, "12s", "50ms").
			Should(Equal(dispatch.Answered))
		Expect(d.Suspicion(popular())).To(BeZero())
	})
})

var _ = Describe("A query that crashes the replicas that run it", func() {
	It("ends one replica of each shard at first, one at the next arrival, one after the first block, and none later", func() {
		var ended crashes
		backends, shards := ended.shards(10, 4, 0)
		d := newDispatcher(options{allowance: 100}, backends...)
		expectRefused := func(total int) {
			GinkgoHelper()
			for range 10 {
				answer := d.Gather(context.Background(), crashing(shards...))
				Expect(answer.Status).To(Equal(dispatch.NotRun))
				Expect(answer.Reason).To(Equal("Quarantined"))
			}
			Expect(ended.Load()).To(BeEquivalentTo(total))
		}
		for _, total := range []int{10, 11} {
			Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.Unknown))
			Expect(ended.Load()).To(BeEquivalentTo(total))
		}
		expectRefused(11)
		time.Sleep(firstBlock)
		Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.Unknown))
		expectRefused(12)
		time.Sleep(firstBlock)
		expectRefused(12)
	})

	It("is sent once at a time, however often it arrives at once", func() {
		var ended crashes
		backends, shards := ended.shards(10, 6, 0)
		ended.delay = 50 * time.Millisecond
		d := newDispatcher(options{allowance: 100}, backends...)
		d.Gather(context.Background(), crashing(shards...))
		first := ended.Load()
		var queries sync.WaitGroup
		for range 8 {
			queries.Go(func() { d.Gather(context.Background(), crashing(shards...)) })
		}
		queries.Wait()
		Expect(ended.Load() - first).To(BeEquivalentTo(1))
	})

	It("does not end the last replica of a shard", func() {
		var ended crashes
		backends, shards := ended.shards(10, 2, 0)
		d := newDispatcher(options{allowance: 100}, backends...)
		Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.Unknown))
		for range 10 {
			Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.NotRun))
		}
		Expect(ended.Load()).To(BeEquivalentTo(10))
		Expect(d.Gather(context.Background(), query(gatherRoute(1, shards...))).Status).To(Equal(dispatch.Answered))
	})

	It("ends no more than three replicas if it is sent to one at a time", func() {
		var ended crashes
		backends, shards := ended.shards(1, 8, 0)
		d := newDispatcher(options{allowance: 100}, backends...)
		r := gatherRoute(1, shards...)
		r.Gather, r.Service = nil, shards[0]
		for _, total := range []int{2, 3, 3} {
			for range 10 {
				q := crashing()
				q.Route = r
				d.Forward(context.Background(), q)
			}
			Expect(ended.Load()).To(BeEquivalentTo(total))
			time.Sleep(firstBlock)
		}
	})

	It("ends one replica of each shard if all crash late enough for hedges", func() {
		var ended crashes
		backends, shards := ended.shards(10, 2, 0)
		ended.delay = 250 * time.Millisecond
		d := newDispatcher(options{allowance: 100}, backends...)
		Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.Unknown))
		Expect(ended.Load()).To(BeEquivalentTo(10))
	})

	It("does not take other queries with it that were lost with the same replicas", func() {
		var ended crashes
		backends, shards := ended.shards(10, 2, 30*time.Millisecond)
		d := newDispatcher(options{allowance: 100}, backends...)
		others := make(chan dispatch.Answer, 5)
		for i := range cap(others) {
			go func() {
				q := query(gatherRoute(0.8, shards...))
				q.Head = fmt.Appendf(nil, "GET /other%d HTTP/1.1\r\nHost: a\r\nRequest: r1\r\n", i)
				others <- d.Gather(context.Background(), q)
			}()
		}
		time.Sleep(10 * time.Millisecond)
		d.Gather(context.Background(), crashing(shards...))
		for range cap(others) {
			Expect(<-others).To(HaveField("Status", dispatch.Answered))
		}
		// The same queries are sent to all shards at once again.
		for i := range cap(others) {
			q := query(gatherRoute(0.8, shards...))
			q.Head = fmt.Appendf(nil, "GET /other%d HTTP/1.1\r\nHost: a\r\nRequest: r1\r\n", i)
			Expect(d.Suspicion(q)).To(BeZero())
		}
	})

	It("does not crash the last replica of each shard after another such query has crashed the other replicas", func() {
		var ended crashes
		backends, shards := ended.shards(10, 2, 0)
		d := newDispatcher(options{allowance: 100}, backends...)
		d.Gather(context.Background(), crashing(shards...))
		Expect(ended.Load()).To(BeEquivalentTo(10))
		for i := range 3 {
			q := crashing(shards...)
			q.Head = fmt.Appendf(nil, "GET /crash%d HTTP/1.1\r\nHost: a\r\nRequest: r1\r\n", i)
			d.Gather(context.Background(), q)
			// Nothing is known of the query until it has ended one.
			Expect(ended.Load()).To(BeNumerically("<=", 10+i+1))
		}
	})

	It("does not keep other queries from the last replicas if the remaining shards do not answer", func() {
		var ended crashes
		backends, shards := ended.shards(3, 2, 0)
		backends, shards = append(backends, newBackend("silent", "silent", hang)), append(shards, "silent")
		d := newDispatcher(options{allowance: 100}, backends...)
		q := crashing(shards...)
		q.Deadline = time.Now().Add(300 * time.Millisecond)
		d.Gather(context.Background(), q)
		Expect(ended.Load()).To(BeEquivalentTo(3))
		Expect(d.Gather(context.Background(), query(gatherRoute(0.5, shards...)))).To(HaveField("Status", dispatch.Answered))
	})

	It("is blamed for all replicas that it crashes, also for those that end after the gatherer has cancelled the subset", func() {
		var ended crashes
		backends, shards := ended.shards(5, 2, 0)
		ended.delay = 30 * time.Millisecond
		d := newDispatcher(options{allowance: 100}, backends...)
		q := crashing(shards...)
		q.Shards = shards
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		Expect(d.Gather(ctx, q).Status).To(Equal(dispatch.Abandoned))
		Eventually(func() int { return len(d.Suspicion(crashing(shards...)).Crashes) }, "2s").Should(Equal(5))
	})

	It("is answered only after other instances can know of the crashes, because its caller may retry at one of them", func() {
		var ended crashes
		backends, shards := ended.shards(10, 2, 0)
		d := newDispatcher(options{allowance: 100}, backends...)
		began := time.Now()
		Expect(d.Gather(context.Background(), crashing(shards...)).Status).To(Equal(dispatch.Unknown))
		Expect(time.Since(began)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("is not suspected if its connection is lost while the replica lives on", func() {
		b := newBackend("s1", "a", closeConnection)
		d := newDispatcher(options{allowance: 10}, b)
		q := query(gatherRoute(1, "s1"))
		Expect(d.Gather(context.Background(), q).Status).To(Equal(dispatch.Unknown))
		Expect(d.Suspicion(q)).To(BeZero())
	})
})
