package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	worldroute "github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

type server struct {
	address  netip.AddrPort
	opened   atomic.Int64
	declined atomic.Value
	gather   func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	notices  chan control.Notice
	stop     context.CancelFunc
}

// counting counts the connections that a listener accepts.
type counting struct {
	net.Listener
	opened *atomic.Int64
}

func (c counting) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.opened.Add(1)
	}

	return conn, err
}

func serve(gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer) *server {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{
		address: netip.MustParseAddrPort(listener.Addr().String()), gather: gather, notices: make(chan control.Notice, 10),
	}
	s.declined.Store("")
	prepare := func(r *peer.GatherRequest) (*dispatch.Query, string, uint64) {
		return &dispatch.Query{RequestID: r.RequestID, Shards: r.Shards, Elapsed: r.Elapsed, Route: route}, s.declined.Load().(string), 7
	}
	p := peer.NewServer(prepare, func(ctx context.Context, q *dispatch.Query) dispatch.Answer { return s.gather(ctx, q) },
		func() uint64 { return 3 }, func(n control.Notice) { s.notices <- n }, timer.New(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	DeferCleanup(cancel)
	go func() { _ = p.Serve(ctx, counting{listener, &s.opened}) }()

	return s
}

func request() *peer.GatherRequest {
	return &peer.GatherRequest{
		RequestID: "r1", Route: "g", Version: 7, Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), Left: time.Second,
	}
}

var route = &worldroute.Route{Name: "g"}

const bound = 500 * time.Millisecond

var answered = dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"p"}, Records: []byte("0123456789abcdef")}

var _ = Describe("Gather", func() {
	It("returns the answer of the peer over one connection", func() {
		s := serve(func(context.Context, *dispatch.Query) dispatch.Answer { return answered })
		client := peer.NewClient(timer.New())
		defer client.Close()
		for range 3 {
			reply, err := client.Gather(context.Background(), s.address, request(), bound, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Answer.Stamps).To(Equal([]string{"p"}))
			Expect(reply.Accepted.Version).To(BeEquivalentTo(7))
			Expect(reply.Accepted.Mirror).To(BeEquivalentTo(3))
		}
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
	})

	It("keeps the connection after a cancelled query, and cancels the work at the peer", func() {
		cancelled := make(chan struct{}, 1)
		s := serve(func(ctx context.Context, _ *dispatch.Query) dispatch.Answer {
			<-ctx.Done()
			cancelled <- struct{}{}

			return answered
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := client.Gather(ctx, s.address, request(), bound, nil)
			done <- err
		}()
		time.Sleep(50 * time.Millisecond)
		cancel()
		Eventually(done).Should(Receive(MatchError(context.Canceled)))
		Eventually(cancelled).Should(Receive())
		s.gather = func(context.Context, *dispatch.Query) dispatch.Answer { return answered }
		_, err := client.Gather(context.Background(), s.address, request(), bound, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
	})

	It("tells a peer that declines from one that is lost", func() {
		s := serve(func(context.Context, *dispatch.Query) dispatch.Answer { return answered })
		client := peer.NewClient(timer.New())
		defer client.Close()
		s.declined.Store(peer.Stopping)
		_, err := client.Gather(context.Background(), s.address, request(), bound, nil)
		Expect(err).To(MatchError(peer.ErrDeclined))
		s.declined.Store("")
		s.gather = func(ctx context.Context, _ *dispatch.Query) dispatch.Answer {
			s.stop()
			<-ctx.Done()

			return answered
		}
		_, err = client.Gather(context.Background(), s.address, request(), bound, nil)
		Expect(err).To(MatchError(peer.ErrLost))
	})

	It("gives a silent peer up after the bound, and says that it may have the query", func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		client := peer.NewClient(timer.New())
		defer client.Close()
		_, err = client.Gather(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), request(),
			20*time.Millisecond, nil)
		Expect(err).To(MatchError(peer.ErrNotAccepted))
	})

	It("does not claim that a peer may have the query whose connection did not open", func() {
		client := peer.NewClient(timer.New())
		defer client.Close()
		_, err := client.Gather(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), request(), bound, nil)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(peer.ErrNotAccepted))
	})

	It("gives early parts before the answer", func() {
		s := serve(func(_ context.Context, q *dispatch.Query) dispatch.Answer {
			q.Early(dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"p", ""}, Early: true})

			return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"", "q"}}
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		r := request()
		r.Shards = []string{"s1", "s2"}
		var early []string
		reply, err := client.Gather(context.Background(), s.address, r, bound, func(a dispatch.Answer) { early = a.Stamps })
		Expect(err).NotTo(HaveOccurred())
		Expect(early).To(Equal([]string{"p", ""}))
		Expect(reply.Answer.Stamps).To(Equal([]string{"", "q"}))
	})

	DescribeTable("refuses a request that is malformed",
		func(change func(*peer.GatherRequest)) {
			r := request()
			change(r)
			Expect(r.Check()).NotTo(Succeed())
		},
		Entry("without an ID", func(r *peer.GatherRequest) { r.RequestID = "" }),
		Entry("without a route", func(r *peer.GatherRequest) { r.Route = "" }),
		Entry("without a head", func(r *peer.GatherRequest) { r.Head = nil }),
		Entry("whose time is over", func(r *peer.GatherRequest) { r.Left = 0 }),
		Entry("with a negative age", func(r *peer.GatherRequest) { r.Elapsed = -1 }),
	)
})

var _ = Describe("Notice", func() {
	It("reaches the peer", func() {
		s := serve(nil)
		client := peer.NewClient(timer.New())
		defer client.Close()
		Expect(client.Notice(context.Background(), s.address, control.Notice{Leader: 1, Version: 2, Mirror: 3})).To(Succeed())
		Eventually(s.notices).Should(Receive(Equal(control.Notice{Leader: 1, Version: 2, Mirror: 3})))
	})
})
