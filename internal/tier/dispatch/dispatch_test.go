package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var codec = target.Codec{
	AppendAttempt: func(head []byte, _ time.Duration, id string) []byte { return fmt.Appendf(head, "Meant: %s\r\n", id) },
	DecodeReply: func(header http.Header) (target.Reply, error) {
		return target.Reply{
			Stamp: header.Get("Stamp"), RequestID: header.Get("Request"), NotRun: header.Get("Not-Run") != "",
		}, nil
	},
}

// backend is a replica that answers by a function.
type backend struct {
	target  *directory.Target
	arrived atomic.Int64
	left    atomic.Int64
}

func newBackend(service, id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	b := &backend{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.arrived.Add(1)
		w.Header().Set("Request", r.Header.Get("Request"))
		answer(w, r)
		if r.Context().Err() != nil {
			b.left.Add(1)
		}
	}))
	DeferCleanup(server.Close)
	b.target = &directory.Target{
		ID: id, Service: service, Slots: 2, AvailabilityZone: "Kochi",
		Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}

	return b
}

// part answers with one record.
func part(stamp, text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", stamp)
		_, _ = io.WriteString(w, fmt.Sprintf("%-16s", text))
	}
}

// hang answers when the request is dropped.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func fail(status int, header string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "failure")
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
	}
}

func cut(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

type setup struct {
	allowance float64
	groups    func(q *dispatch.Query) []dispatch.Group
	// first names the replica that is taken first; it is the only one in the own zone.
	first string
}

func dispatcher(s setup, backends ...*backend) *dispatch.Dispatcher {
	timers := timer.New()
	fleet := target.NewFleet(codec, timers)
	targets := make([]*directory.Target, 0, len(backends))
	for _, b := range backends {
		if s.first != "" && b.target.ID != s.first {
			b.target.AvailabilityZone = "Vitoria"
		}
		targets = append(targets, b.target)
	}
	fleet.Update(directory.New(targets))
	DeferCleanup(fleet.Close)
	limits := func(string) budget.Limits {
		return budget.Limits{Allowance: s.allowance, Window: time.Minute, Share: 1}
	}
	options := []dispatch.Option{}
	if s.groups != nil {
		options = append(options, dispatch.WithGroups(s.groups))
	}

	return dispatch.New(fleet, budget.NewLedger(timers.Now().Add(-time.Hour), limits), timers, dispatch.Settings{
		Place: choice.Place{AvailabilityZone: "Kochi", Region: "Kerala", Regions: map[string]string{"Kochi": "Kerala"}}, Hedges: true,
	}, options...)
}

func gatherRoute(minimum float64, shards ...string) *route.Route {
	return &route.Route{
		Name: "g", Idempotent: true, Timeout: 3 * time.Second, Objective: 600 * time.Millisecond, MaxAttempts: 2,
		Gather: &route.Gather{Shards: shards, Top: 10, MinimumCoverage: minimum},
	}
}

func query(r *route.Route) *dispatch.Query {
	now := time.Now()

	return &dispatch.Query{
		Route: r, RequestID: "r1", Method: http.MethodGet, Received: now, Deadline: now.Add(r.Timeout),
		Head: []byte("GET /x HTTP/1.1\r\nHost: a\r\nRequest: r1\r\n"),
	}
}

var _ = Describe("Gather", func() {
	It("hedges a shard whose replica hangs, so that a pause does not cost the part", func() {
		a := newBackend("s1", "a", hang)
		b := newBackend("s1", "b", part("p1", "x"))
		d := dispatcher(setup{allowance: 10, first: "a"}, a, b)
		answer := d.Gather(context.Background(), query(gatherRoute(1, "s1")))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Stamps).To(Equal([]string{"p1"}))
		Expect(answer.Hedges).To(Equal(1))
		Eventually(a.left.Load).Should(BeEquivalentTo(1), "the slower replica drops the request")
	})

	It("does not hedge beyond the budget, so that slow targets do not get twice the load", func() {
		a := newBackend("s1", "a", hang)
		b := newBackend("s1", "b", part("p1", "x"))
		c := newBackend("s2", "c", part("p2", "y"))
		d := dispatcher(setup{allowance: 0, first: "a"}, a, b, c)
		answer := d.Gather(context.Background(), query(gatherRoute(0.5, "s1", "s2")))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Missing).To(Equal(1))
		Expect(answer.Denied).To(BeNumerically(">", 0))
		Expect(b.arrived.Load()).To(BeZero())
	})

	It("takes no failure for a part, although it has a stamp", func() {
		d := dispatcher(setup{allowance: 0}, newBackend("s1", "a", fail(500, "")), newBackend("s2", "b", part("p2", "y")))
		answer := d.Gather(context.Background(), query(gatherRoute(0.5, "s1", "s2")))
		Expect(answer.Stamps).To(Equal([]string{"p2"}))
		Expect(answer.Missing).To(Equal(1))
	})

	It("counts a stamp once, because an entry that appears twice makes the answer wrong", func() {
		d := dispatcher(setup{allowance: 0}, newBackend("s1", "a", part("p", "x")), newBackend("s2", "b", part("p", "y")))
		answer := d.Gather(context.Background(), query(gatherRoute(0.5, "s1", "s2")))
		Expect(answer.Stamps).To(Equal([]string{"p"}))
		Expect(answer.Missing).To(Equal(1))
	})

	It("sends a shard to no third replica, whatever the first two do", func() {
		var all []*backend
		for _, id := range []string{"a", "b", "c"} {
			all = append(all, newBackend("s1", id, fail(500, "")))
		}
		d := dispatcher(setup{allowance: 10}, all...)
		answer := d.Gather(context.Background(), query(gatherRoute(1, "s1")))
		Expect(answer.Status).To(Equal(dispatch.Unknown))
		total := int64(0)
		for _, b := range all {
			total += b.arrived.Load()
		}
		Expect(total).To(BeEquivalentTo(2))
	})

	It("refuses at once when too few shards have a replica, and has not run", func() {
		a := newBackend("s1", "a", hang)
		d := dispatcher(setup{}, a)
		answer := d.Gather(context.Background(), query(gatherRoute(0.9, "s2", "s3", "s4")))
		Expect(answer.Status).To(Equal(dispatch.NotRun))
		Expect(answer.Reason).To(Equal("CoverageOutOfReach"))
	})

	It("ends the work at the targets when the caller leaves", func() {
		a := newBackend("s1", "a", hang)
		d := dispatcher(setup{}, a)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan dispatch.Answer, 1)
		go func() { done <- d.Gather(ctx, query(gatherRoute(1, "s1"))) }()
		Eventually(a.arrived.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(done).Should(Receive(HaveField("Status", dispatch.Abandoned)))
		Eventually(a.left.Load).Should(BeEquivalentTo(1))
	})
})

var _ = Describe("Groups", func() {
	group := func(run func(ctx context.Context, early func(dispatch.Answer)) (dispatch.Answer, error)) setup {
		return setup{allowance: 10, groups: func(*dispatch.Query) []dispatch.Group {
			return []dispatch.Group{{Jobs: []int{1, 2}, Run: run}}
		}}
	}
	record := func(text string) []byte { return fmt.Appendf(nil, "%-16s", text) }

	It("merge the parts of a peer with those at hand", func() {
		a := newBackend("s1", "a", part("p1", "b"))
		d := dispatcher(group(func(context.Context, func(dispatch.Answer)) (dispatch.Answer, error) {
			return dispatch.Answer{Stamps: []string{"p2", "p3"}, Records: append(record("c"), record("a")...)}, nil
		}), a)
		answer := d.Gather(context.Background(), query(gatherRoute(1, "s1", "s2", "s3")))
		Expect(answer.Stamps).To(Equal([]string{"p1", "p2", "p3"}))
		Expect(string(answer.Records)).To(Equal(string(append(append(record("c"), record("b")...), record("a")...))))
	})

	It("are gathered by this instance when the peer is not reached", func() {
		backends := []*backend{
			newBackend("s1", "a", part("p1", "x")), newBackend("s2", "b", part("p2", "y")), newBackend("s3", "c", part("p3", "z")),
		}
		d := dispatcher(group(func(context.Context, func(dispatch.Answer)) (dispatch.Answer, error) {
			return dispatch.Answer{}, errors.New("refused")
		}), backends...)
		answer := d.Gather(context.Background(), query(gatherRoute(1, "s1", "s2", "s3")))
		Expect(answer.Stamps).To(Equal([]string{"p1", "p2", "p3"}))
	})

	It("draw on the budget when a peer was lost that may have sent them", func() {
		backends := []*backend{
			newBackend("s1", "a", part("p1", "x")), newBackend("s2", "b", part("p2", "y")), newBackend("s3", "c", part("p3", "z")),
		}
		s := group(func(context.Context, func(dispatch.Answer)) (dispatch.Answer, error) {
			return dispatch.Answer{}, dispatch.ErrMayHaveRun
		})
		s.allowance = 0
		answer := dispatcher(s, backends...).Gather(context.Background(), query(gatherRoute(0.3, "s1", "s2", "s3")))
		Expect(answer.Missing).To(Equal(2))
		Expect(backends[1].arrived.Load()).To(BeZero())
	})

	It("are not sent again where a lost peer may have used other replicas, because the route bounds their number", func() {
		backends := []*backend{
			newBackend("s1", "a", part("p1", "x")), newBackend("s3", "c", part("p3", "z")),
			newBackend("s2", "b1", part("p2", "y")), newBackend("s2", "b2", part("p2", "y")), newBackend("s2", "b3", part("p2", "y")),
		}
		s := group(func(context.Context, func(dispatch.Answer)) (dispatch.Answer, error) {
			return dispatch.Answer{}, dispatch.ErrMayHaveRun
		})
		answer := dispatcher(s, backends...).Gather(context.Background(), query(gatherRoute(0.3, "s1", "s2", "s3")))
		Expect(answer.Stamps).To(Equal([]string{"p1", "p3"}))
		for _, b := range backends[2:] {
			Expect(b.arrived.Load()).To(BeZero())
		}
	})

	It("are not sent afresh when a peer ended without stamps, because it has sent them", func() {
		b := newBackend("s2", "b", part("p2", "y"))
		s := group(func(context.Context, func(dispatch.Answer)) (dispatch.Answer, error) {
			return dispatch.Answer{Status: dispatch.TimedOut, Reason: "Deadline"}, nil
		})
		s.allowance = 0
		answer := dispatcher(s, newBackend("s1", "a", part("p1", "x")), b).
			Gather(context.Background(), query(gatherRoute(0.3, "s1", "s2", "s3")))
		Expect(answer.Stamps).To(Equal([]string{"p1"}))
		Expect(b.arrived.Load()).To(BeZero())
	})

	It("are answered with the parts at hand when their time is over", func() {
		r := gatherRoute(1, "s1", "s2")
		q := query(r)
		q.Shards, q.Deadline, q.Elapsed = r.Gather.Shards, q.Received.Add(200*time.Millisecond), time.Second
		d := dispatcher(setup{}, newBackend("s1", "a", part("p1", "x")), newBackend("s2", "b", hang))
		answer := d.Gather(context.Background(), q)
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Stamps).To(Equal([]string{"p1", ""}))
	})

	It("give the parts at hand first and the others later, without a third replica", func() {
		b := newBackend("s2", "b", part("p2", "y"))
		d := dispatcher(group(func(_ context.Context, early func(dispatch.Answer)) (dispatch.Answer, error) {
			early(dispatch.Answer{Stamps: []string{"p2", ""}, Records: record("y"), Early: true})

			return dispatch.Answer{Stamps: []string{"", "p3"}, Records: record("z")}, nil
		}), newBackend("s1", "a", part("p1", "x")), b)
		answer := d.Gather(context.Background(), query(gatherRoute(1, "s1", "s2", "s3")))
		Expect(answer.Stamps).To(Equal([]string{"p1", "p2", "p3"}))
		Expect(string(answer.Records)).To(Equal(string(append(append(record("z"), record("y")...), record("x")...))))
		Expect(b.arrived.Load()).To(BeZero())
	})
})

var _ = Describe("Forward", func() {
	single := func(idempotent bool) *route.Route {
		return &route.Route{
			Name: "f", Service: "s1", Idempotent: idempotent, Timeout: 3 * time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2,
		}
	}

	It("sends a request that must not run twice to no other target after its answer was lost", func() {
		a, b := newBackend("s1", "a", cut), newBackend("s1", "b", part("p", "x"))
		d := dispatcher(setup{allowance: 10, first: "a"}, a, b)
		answer := d.Forward(context.Background(), query(single(false)))
		Expect(answer.Status).To(Equal(dispatch.Unknown))
		Expect(a.arrived.Load() + b.arrived.Load()).To(BeEquivalentTo(1))
	})

	It("does not hedge a request that must not run twice", func() {
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			part("p", "x")(w, r)
		}
		a, b := newBackend("s1", "a", slow), newBackend("s1", "b", slow)
		d := dispatcher(setup{allowance: 10, first: "a"}, a, b)
		answer := d.Forward(context.Background(), query(single(false)))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(a.arrived.Load() + b.arrived.Load()).To(BeEquivalentTo(1))
	})

	It("sends such a request to another target if the first states that it has not run it", func() {
		a, b := newBackend("s1", "a", fail(503, "Not-Run")), newBackend("s1", "b", part("p", "x"))
		d := dispatcher(setup{allowance: 10, first: "a"}, a, b)
		answer := d.Forward(context.Background(), query(single(false)))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Result.Reply.Stamp).To(Equal("p"))
	})

	It("says that a request has not run only if no target has run it", func() {
		a, b := newBackend("s1", "a", fail(503, "Not-Run")), newBackend("s1", "b", fail(503, "Not-Run"))
		d := dispatcher(setup{allowance: 10}, a, b)
		Expect(d.Forward(context.Background(), query(single(false))).Status).To(Equal(dispatch.NotRun))
		c := newBackend("s1", "c", cut)
		d = dispatcher(setup{allowance: 10, first: "c"}, c, newBackend("s1", "d", fail(503, "Not-Run")))
		Expect(d.Forward(context.Background(), query(single(true))).Status).To(Equal(dispatch.Unknown))
	})

	It("repeats an idempotent request at another target after a failure", func() {
		a, b := newBackend("s1", "a", fail(500, "")), newBackend("s1", "b", part("p", "x"))
		d := dispatcher(setup{allowance: 10, first: "a"}, a, b)
		answer := d.Forward(context.Background(), query(single(true)))
		Expect(answer.Status).To(Equal(dispatch.Answered))
		Expect(answer.Result.Status).To(Equal(200))
	})

	It("splits requests by weight and moves none to another part", func() {
		a, b := newBackend("s1", "a", part("p", "x")), newBackend("s2", "b", part("p", "x"))
		d := dispatcher(setup{}, a, b)
		r := &route.Route{
			Name: "f", Idempotent: true, Timeout: time.Second, Objective: time.Second, MaxAttempts: 1,
			Split: []route.Share{{Service: "s1", Weight: 3}, {Service: "s2", Weight: 1}},
		}
		for range 40 {
			d.Forward(context.Background(), query(r))
		}
		Expect(a.arrived.Load()).To(BeEquivalentTo(30))
		Expect(b.arrived.Load()).To(BeEquivalentTo(10))
	})
})
