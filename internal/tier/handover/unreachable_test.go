package handover_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/handover"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

var (
	readRoute  = &route.Route{Name: "r", Service: "s1", Idempotent: true, Timeout: time.Second, Objective: time.Second, MaxAttempts: 2}
	writeRoute = &route.Route{Name: "w", Service: "s1", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1}
)

// forwarder is a peer that forwards queries for one target.
type forwarder struct {
	address netip.AddrPort
	// got are the queries that it was asked to forward.
	got []*peer.ForwardRequest
}

// startForwarder starts a peer that declines queries with the given reason, or answers them with answer. If answer is nil, it closes its
// connections once it has accepted a query.
func startForwarder(declined string, answer *dispatch.Answer, options ...peer.ServerOption) *forwarder {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	f := &forwarder{address: netip.MustParseAddrPort(listener.Addr().String())}
	prepare := func(r *peer.ForwardRequest) (*dispatch.Query, string, uint64) {
		f.got = append(f.got, r)

		return &dispatch.Query{Route: readRoute}, declined, 7
	}
	forward := func(context.Context, *dispatch.Query) dispatch.Answer {
		if answer == nil {
			cancel()
			<-time.After(time.Second)

			return dispatch.Answer{Status: dispatch.Unknown}
		}

		return *answer
	}
	if options == nil {
		options = []peer.ServerOption{peer.WithForward(prepare, forward)}
	}
	gather := func(context.Context, *dispatch.Query) dispatch.Answer { return *answer }
	s := peer.NewServer(func(*peer.GatherRequest) (*dispatch.Query, string, uint64) {
		return &dispatch.Query{Route: gatherRoute}, declined, 7
	}, gather, func() uint64 { return 0 }, func(control.Notice) {}, timer.New(), nil, options...)
	go func() { _ = s.Serve(ctx, listener) }()

	return f
}

// stranded is an instance that has lost connectivity to the targets.
type stranded struct {
	handover *handover.Handover
	// own are the queries that it has tried itself.
	own []*dispatch.Query
}

// newStranded returns an instance whose reachability has a state, and whose own attempts have the given outcome.
func newStranded(state func() reachability.State, own dispatch.Answer, peers ...control.Instance) *stranded {
	// Its time stands still, so that a peer that is slow because the machine is busy does not count as one that has not accepted a query.
	timers := timer.New(timer.WithClock(clockwork.NewFakeClockAt(time.Now())))
	client := peer.NewClient(timers)
	DeferCleanup(client.Close)
	s := &stranded{}
	send := func(_ context.Context, q *dispatch.Query) dispatch.Answer {
		s.own = append(s.own, q)

		return own
	}
	self := instance("self", "Kochi", 0.8, netip.MustParseAddrPort("127.0.0.1:1"))
	s.handover = handover.New(self, place, client, timers, send, handover.WithForward(send), handover.WithReachability(state))
	s.handover.SetInstances(control.View{UpToDate: true, Instances: append(peers, self)})

	return s
}

func always(s reachability.State) func() reachability.State {
	return func() reachability.State { return s }
}

func read(r *route.Route) *dispatch.Query {
	q := query()
	q.Route = r

	return q
}

func response() *dispatch.Answer {
	return &dispatch.Answer{Status: dispatch.Answered, Result: &target.Result{
		Target: "t", Outcome: target.Answered, Status: http.StatusOK, Header: http.Header{"Stamp": {"x"}}, Body: make([]byte, 600<<10),
	}}
}

var unreached = dispatch.Answer{Status: dispatch.NotRun, Reason: dispatch.ReasonUnreachable}

var _ = Describe("An instance without connectivity to the targets (RECOVER)", func() {
	It("hands over all queries, also where it would gather them itself", func() {
		weak := instance("weak", "Vitoria", 0.1, startForwarder("", &dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"peer"}}).address)
		s := newStranded(always(reachability.Unreachable), unreached, weak)
		answer := s.handover.Gather(context.Background(), query())
		Expect(answer.Gatherer).To(Equal("weak"))
		Expect(s.own).To(BeEmpty())
	})

	DescribeTable("passes over peers that have no connectivity to the targets either",
		func(listed bool) {
			cutOff := startForwarder(peer.Unreachable, response())
			var peers []control.Instance
			for _, name := range []string{"a", "b", "c"} {
				i := instance(name, "Kochi", 0.8, cutOff.address)
				i.Unreachable = listed
				peers = append(peers, i)
			}
			well := startForwarder("", response())
			peers = append(peers, instance("well", "Vitoria", 0.1, well.address))
			s := newStranded(always(reachability.Unreachable), unreached, peers...)
			answer := s.handover.Forward(context.Background(), read(readRoute))
			Expect(answer.Gatherer).To(Equal("well"))
			Expect(answer.Result.Body).To(HaveLen(600 << 10))
			Expect(answer.Result.Header.Get("Stamp")).To(Equal("x"))
			if listed {
				Expect(cutOff.got).To(BeEmpty())
			}
		},
		Entry("because they decline", false),
		Entry("because the leader lists them", true),
	)

	It("refuses a query at once, as one that has not run, if no instance has connectivity", func() {
		cutOff := instance("cut off", "Kochi", 0.8, startForwarder(peer.Unreachable, response()).address)
		s := newStranded(always(reachability.Unreachable), unreached, cutOff)
		for _, q := range []*dispatch.Query{read(readRoute), read(writeRoute)} {
			answer := s.handover.Forward(context.Background(), q)
			Expect(answer.Status).To(Equal(dispatch.NotRun))
			Expect(answer.TurnIn).To(BeNumerically(">", 0))
		}
		Expect(s.handover.Gather(context.Background(), query()).Status).To(Equal(dispatch.NotRun))
		Expect(s.own).To(BeEmpty())
	})

	It("tries its open connections if no peer can help and only new ones fail", func() {
		s := newStranded(always(reachability.NoNewConnections), *response())
		Expect(s.handover.Forward(context.Background(), read(readRoute)).Status).To(Equal(dispatch.Answered))
		Expect(s.handover.Gather(context.Background(), query()).Status).To(Equal(dispatch.Answered))
		Expect(s.own).To(HaveLen(2))
	})

	It("does not have a request sent twice that a lost peer may have sent and that is not idempotent (TWICE)", func() {
		first, second := startForwarder("", nil), startForwarder("", response())
		s := newStranded(always(reachability.Unreachable), unreached,
			instance("first", "Kochi", 0.8, first.address), instance("second", "Vitoria", 0.1, second.address))
		answer := s.handover.Forward(context.Background(), read(writeRoute))
		Expect(answer.Status).To(Equal(dispatch.Unknown))
		Expect(first.got).To(HaveLen(1))
		Expect(second.got).To(BeEmpty())
	})

	It("gives up a response for which there is no memory, as one of a request that may have run", func() {
		f := startForwarder("", response())
		client := peer.NewClient(timer.New(), peer.WithResponseMemory(500<<10))
		DeferCleanup(client.Close)
		request := &peer.ForwardRequest{
			RequestID: "r1", Route: "r", Version: 7, Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), Left: time.Minute,
		}
		_, err := client.Forward(context.Background(), f.address, request, time.Minute)
		Expect(err).To(MatchError(peer.ErrLost))
	})

	It("passes over peers of a version that does not know the call", func() {
		old := instance("old", "Kochi", 0.8, startForwarder("", response(), peer.OnReachability(func(string, bool) {})).address)
		s := newStranded(always(reachability.Unreachable), unreached, old,
			instance("new", "Vitoria", 0.1, startForwarder("", response()).address))
		Expect(s.handover.Forward(context.Background(), read(writeRoute)).Gatherer).To(Equal("new"))
		Expect(s.handover.Forward(context.Background(), read(readRoute)).Gatherer).To(Equal("new"))
	})
})

var _ = Describe("An instance that loses connectivity to the targets while it has a query", func() {
	DescribeTable("hands it over if that does no harm",
		func(r *route.Route, own dispatch.Answer, handedOver bool) {
			states := []reachability.State{reachability.Reachable, reachability.Unreachable}
			state := func() reachability.State {
				s := states[0]
				states = append(states[1:], reachability.Unreachable)

				return s
			}
			f := startForwarder("", response())
			s := newStranded(state, own, instance("peer", "Kochi", 0.8, f.address))
			answer := s.handover.Forward(context.Background(), read(r))
			Expect(s.own).To(HaveLen(1))
			if !handedOver {
				Expect(answer.Status).To(Equal(own.Status))
				Expect(f.got).To(BeEmpty())

				return
			}
			Expect(answer.Status).To(Equal(dispatch.Answered))
			Expect(f.got).To(HaveLen(1))
			Expect(f.got[0].Tried).To(Equal(own.Tried))
			Expect(f.got[0].Service).To(Equal(own.Service))
		},
		Entry("an idempotent one that was not sent", readRoute, unreached, true),
		Entry("an idempotent one with the targets that may have it", readRoute,
			dispatch.Answer{Status: dispatch.Unknown, Reason: dispatch.ReasonUnreachable, Tried: []string{"t1"}, Service: "s1"}, true),
		Entry("one that is not idempotent and was not sent", writeRoute, unreached, true),
		Entry("but not one that is not idempotent and may have run", writeRoute,
			dispatch.Answer{Status: dispatch.Unknown, Reason: dispatch.ReasonUnreachable, Tried: []string{"t1"}}, false),
	)

	It("has another peer gather a query that its peer gave up for the same reason", func() {
		lost := startForwarder("", &dispatch.Answer{Status: dispatch.Unknown, Reason: dispatch.ReasonUnreachable})
		well := startForwarder("", &dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"peer"}})
		s := newStranded(always(reachability.Unreachable), unreached,
			instance("lost", "Kochi", 0.8, lost.address), instance("well", "Vitoria", 0.1, well.address))
		q := query()
		Expect(s.handover.Gather(context.Background(), q).Gatherer).To(Equal("well"))
		Expect(q.MaybeSent).To(BeTrue())
	})
})

var _ = Describe("An instance that reaches the targets", func() {
	It("does not hand queries or subsets over to one that does not", func() {
		cutOff := instance("cut off", "Thrissur", 8, startForwarder(peer.Unreachable, response()).address)
		cutOff.Unreachable = true
		s := newStranded(always(reachability.Reachable), *response(), cutOff)
		Expect(s.handover.Gather(context.Background(), query()).Gatherer).To(BeEmpty())
		Expect(s.own).To(HaveLen(1))
		Expect(s.handover.Groups(query())).To(BeEmpty())
	})
})
