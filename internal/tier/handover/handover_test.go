package handover_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/handover"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestHandover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handover")
}

var (
	place = choice.Place{
		AvailabilityZone: "Kochi", Region: "Kerala",
		Regions: map[string]string{"Kochi": "Kerala", "Thrissur": "Kerala", "Vitoria": "Euskadi"},
	}
	page = &route.Route{
		Name: "g", Idempotent: true, Timeout: time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2,
		Gather: &route.Gather{Shards: []string{"s1", "s2", "s3", "s4"}, Top: 1, MinimumCoverage: 1},
	}
)

func instance(name, zone string, processor float64, address netip.AddrPort) control.Instance {
	return control.Instance{Name: name, Peer: address, AvailabilityZone: zone, Processor: processor, LinkBits: 100e6}
}

// strong runs a peer that declines for the given reason, or gathers if it is empty.
func strong(declined string, version uint64) netip.AddrPort {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	prepare := func(*peer.GatherRequest) (*dispatch.Query, string, uint64) {
		return &dispatch.Query{Route: page}, declined, version
	}
	gather := func(context.Context, *dispatch.Query) dispatch.Answer {
		return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"peer"}}
	}
	s := peer.NewServer(prepare, gather, func() uint64 { return 0 }, func(control.Notice) {}, timer.New(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = s.Serve(ctx, listener) }()

	return netip.MustParseAddrPort(listener.Addr().String())
}

type setup struct {
	h     *handover.Handover
	extra []bool
	newer []uint64
}

// weak returns the handover of a weak instance that knows the given peers.
func weak(peers ...control.Instance) *setup {
	timers := timer.New()
	client := peer.NewClient(timers)
	DeferCleanup(client.Close)
	s := &setup{}
	self := instance("self", "Kochi", 0.1, netip.MustParseAddrPort("127.0.0.1:1"))
	s.h = handover.New(self, place, client, timers, func(_ context.Context, q *dispatch.Query) dispatch.Answer {
		s.extra = append(s.extra, q.Extra)

		return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"self"}}
	}, handover.OnNewer(func(v uint64) { s.newer = append(s.newer, v) }))
	s.h.SetView(control.View{Known: true, Instances: append(peers, self)})

	return s
}

func query() *dispatch.Query {
	now := time.Now()

	return &dispatch.Query{
		Route: page, Version: 7, RequestID: "r1", Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), Received: now,
		Deadline: now.Add(time.Second),
	}
}

var _ = Describe("Gather", func() {
	It("hands the query of a weak instance to a strong one", func() {
		s := weak(instance("strong", "Kochi", 0.8, strong("", 7)))
		answer := s.h.Gather(context.Background(), query())
		Expect(answer.Stamps).To(Equal([]string{"peer"}))
		Expect(answer.Gatherer).To(Equal("strong"))
	})

	It("gathers itself when the strong instance is gone, and has sent nothing before", func() {
		s := weak(instance("strong", "Kochi", 0.8, netip.MustParseAddrPort("127.0.0.1:1")))
		Expect(s.h.Gather(context.Background(), query()).Stamps).To(Equal([]string{"self"}))
		Expect(s.extra).To(Equal([]bool{false}))
	})

	It("leaves a peer out that failed, so that the next query does not wait for it", func() {
		s := weak(instance("strong", "Kochi", 0.8, netip.MustParseAddrPort("127.0.0.1:1")))
		s.h.Gather(context.Background(), query())
		second := s.h.Gather(context.Background(), query())
		Expect(second.Gatherer).To(BeEmpty())
		Expect(s.extra).To(HaveLen(2))
	})

	It("marks a query that a silent peer may have, so that its parts draw on the budget", func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		s := weak(instance("silent", "Kochi", 0.8, netip.MustParseAddrPort(listener.Addr().String())))
		Expect(s.h.Gather(context.Background(), query()).Stamps).To(Equal([]string{"self"}))
		Expect(s.extra).To(Equal([]bool{true}))
	})

	It("reads the configuration again when a peer has a newer one in force", func() {
		s := weak(instance("strong", "Kochi", 0.8, strong(peer.OtherVersion, 9)))
		Expect(s.h.Gather(context.Background(), query()).Stamps).To(Equal([]string{"self"}))
		Expect(s.newer).To(Equal([]uint64{9}))
	})
})

var _ = Describe("Groups", func() {
	It("names the shards without a replica in the own zone and a peer in the zone of their replicas", func() {
		s := weak(instance("near", "Thrissur", 0.1, strong("", 7)), instance("far", "Vitoria", 0.1, strong("", 7)))
		var targets []*directory.Target
		for i, zone := range []string{"Kochi", "Thrissur", "Thrissur", "Thrissur"} {
			targets = append(targets, &directory.Target{ID: page.Gather.Shards[i], Service: page.Gather.Shards[i], AvailabilityZone: zone})
		}
		s.h.SetDirectory(directory.New(targets))
		groups := s.h.Groups(query())
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Jobs).To(Equal([]int{1, 2, 3}))
		answer, err := groups[0].Run(context.Background(), func(dispatch.Answer) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Stamps).To(Equal([]string{"peer"}))
	})
})
