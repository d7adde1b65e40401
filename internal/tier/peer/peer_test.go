package peer_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

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

// testServer is a peer.Server with a scripted gather function, which counts connections and collects notices.
type testServer struct {
	address  netip.AddrPort
	opened   atomic.Int64
	declined atomic.Value
	gather   func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	notices  chan control.Notice
	stop     context.CancelFunc
}

// countingListener is a listener that counts the connections that it accepts.
type countingListener struct {
	net.Listener
	opened *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.opened.Add(1)
	}

	return conn, err
}

// startServer starts a server that answers queries with the result of gather. Its configuration has version 7, its mirror has
// revision 3.
func startServer(gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer) *testServer {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{
		address: netip.MustParseAddrPort(listener.Addr().String()), gather: gather, notices: make(chan control.Notice, 10),
	}
	s.declined.Store("")
	prepare := func(r *peer.GatherRequest) (*dispatch.Query, string, uint64) {
		return &dispatch.Query{
			RequestID: r.RequestID, Shards: r.Shards, Elapsed: r.Elapsed, Route: route,
		}, s.declined.Load().(string), 7
	}
	p := peer.NewServer(prepare, func(ctx context.Context, q *dispatch.Query) dispatch.Answer { return s.gather(ctx, q) },
		func() uint64 { return 3 }, func(n control.Notice) { s.notices <- n }, timer.New(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	DeferCleanup(cancel)
	go func() { _ = p.Serve(ctx, countingListener{listener, &s.opened}) }()

	return s
}

// cborEncoding encodes messages as this package does, without validation.
type cborEncoding struct{}

func (cborEncoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }
func (cborEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}

// newRequest returns a valid request for all shards of the route.
func newRequest() *peer.GatherRequest {
	return &peer.GatherRequest{
		RequestID: "r1", Route: "g", Version: 7, Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), Left: time.Second,
	}
}

var route = &worldroute.Route{Name: "g"}

const acceptBound = 500 * time.Millisecond

var answer = dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"p"}, Records: []byte("0123456789abcdef")}

var _ = Describe("Gather", func() {
	It("returns the peer's answer and reuses the connection for the next query", func() {
		s := startServer(func(context.Context, *dispatch.Query) dispatch.Answer { return answer })
		client := peer.NewClient(timer.New())
		defer client.Close()
		for range 3 {
			reply, err := client.Gather(context.Background(), s.address, newRequest(), acceptBound, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Answer.Stamps).To(Equal([]string{"p"}))
			Expect(reply.Accepted.Version).To(BeEquivalentTo(7))
			Expect(reply.Accepted.Mirror).To(BeEquivalentTo(3))
		}
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
	})

	It("declines a query of an earlier version whose head names the length of a body that does not follow, which targets would wait for", func() {
		s := startServer(func(context.Context, *dispatch.Query) dispatch.Answer {
			Fail("the query was gathered")

			return answer
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		request := newRequest()
		request.Head = []byte("POST /page HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n")
		reply, err := client.Gather(context.Background(), s.address, request, acceptBound, nil)
		Expect(err).To(MatchError(peer.ErrDeclined))
		Expect(reply.Accepted.Declined).To(Equal(peer.LengthInHead))
	})

	DescribeTable("delivers the whole body of a query, without which targets would take the next request for it", func(size int) {
		bodies := make(chan []byte, 1)
		s := startServer(func(_ context.Context, q *dispatch.Query) dispatch.Answer {
			bodies <- q.Body

			return answer
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		request := newRequest()
		request.Body = bytes.Repeat([]byte("b"), size)
		for range 2 {
			_, err := client.Gather(context.Background(), s.address, request, acceptBound, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(<-bodies, request.Body)).To(BeTrue())
		}
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
	},
		Entry("no body", 0),
		Entry("1 byte", 1),
		Entry("40,000 bytes", 40000),
		Entry("the maximum", peer.MaxBodyBytes),
	)

	It("does not gather a query whose body is not received, because its peer was cut off after the query was accepted", func() {
		gathered := make(chan bool, 1)
		s := startServer(func(context.Context, *dispatch.Query) dispatch.Answer {
			gathered <- true

			return answer
		})
		netConn, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.address.String())
		Expect(err).NotTo(HaveOccurred())
		conn := drpcconn.New(netConn)
		defer func() { _ = conn.Close() }()
		stream, err := conn.NewStream(context.Background(), "/hickorynotch.Tier/GatherBody", cborEncoding{})
		Expect(err).NotTo(HaveOccurred())
		request := newRequest()
		request.Left = 200 * time.Millisecond
		Expect(stream.MsgSend(request, cborEncoding{})).To(Succeed())
		Expect(stream.MsgRecv(&peer.GatherAccepted{}, cborEncoding{})).To(Succeed())
		Expect(stream.MsgRecv(&peer.GatherAnswer{}, cborEncoding{})).To(MatchError(ContainSubstring("did not arrive in time")))
		Expect(gathered).NotTo(Receive())
	})

	It("cancels the query at the peer when the context is cancelled, and reuses the connection", func() {
		cancelled := make(chan struct{}, 1)
		s := startServer(func(ctx context.Context, _ *dispatch.Query) dispatch.Answer {
			<-ctx.Done()
			cancelled <- struct{}{}

			return answer
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := client.Gather(ctx, s.address, newRequest(), acceptBound, nil)
			done <- err
		}()
		time.Sleep(50 * time.Millisecond)
		cancel()
		Eventually(done).Should(Receive(MatchError(context.Canceled)))
		Eventually(cancelled).Should(Receive())
		s.gather = func(context.Context, *dispatch.Query) dispatch.Answer { return answer }
		_, err := client.Gather(context.Background(), s.address, newRequest(), acceptBound, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
	})

	It("returns ErrDeclined if the peer declines the query, and ErrLost if the connection fails after it was accepted", func() {
		s := startServer(func(context.Context, *dispatch.Query) dispatch.Answer { return answer })
		client := peer.NewClient(timer.New())
		defer client.Close()
		s.declined.Store(peer.Stopping)
		_, err := client.Gather(context.Background(), s.address, newRequest(), acceptBound, nil)
		Expect(err).To(MatchError(peer.ErrDeclined))
		s.declined.Store("")
		s.gather = func(ctx context.Context, _ *dispatch.Query) dispatch.Answer {
			s.stop()
			<-ctx.Done()

			return answer
		}
		_, err = client.Gather(context.Background(), s.address, newRequest(), acceptBound, nil)
		Expect(err).To(MatchError(peer.ErrLost))
	})

	It("returns ErrNotAccepted if the peer does not respond within the bound, because it may have received the query", func() {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		client := peer.NewClient(timer.New())
		defer client.Close()
		_, err = client.Gather(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), newRequest(),
			20*time.Millisecond, nil)
		Expect(err).To(MatchError(peer.ErrNotAccepted))
	})

	It("does not return ErrNotAccepted if no connection can be opened, because the peer cannot have received the query", func() {
		client := peer.NewClient(timer.New())
		defer client.Close()
		_, err := client.Gather(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), newRequest(), acceptBound, nil)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(peer.ErrNotAccepted))
	})

	It("passes the parts that the peer sends at the objective to early, and returns the others in the answer", func() {
		s := startServer(func(_ context.Context, q *dispatch.Query) dispatch.Answer {
			q.OnEarly(dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"p", ""}, MoreFollows: true})

			return dispatch.Answer{Status: dispatch.Answered, Stamps: []string{"", "q"}}
		})
		client := peer.NewClient(timer.New())
		defer client.Close()
		r := newRequest()
		r.Shards = []string{"s1", "s2"}
		var early []string
		reply, err := client.Gather(context.Background(), s.address, r, acceptBound, func(a dispatch.Answer) { early = a.Stamps })
		Expect(err).NotTo(HaveOccurred())
		Expect(early).To(Equal([]string{"p", ""}))
		Expect(reply.Answer.Stamps).To(Equal([]string{"", "q"}))
	})

	DescribeTable("rejects malformed requests",
		func(change func(*peer.GatherRequest)) {
			r := newRequest()
			change(r)
			Expect(r.Check()).NotTo(Succeed())
		},
		Entry("because the ID is missing", func(r *peer.GatherRequest) { r.RequestID = "" }),
		Entry("because the route is missing", func(r *peer.GatherRequest) { r.Route = "" }),
		Entry("because the request line and headers are missing", func(r *peer.GatherRequest) { r.Head = nil }),
		Entry("because no time is left until the deadline", func(r *peer.GatherRequest) { r.Left = 0 }),
		Entry("because the elapsed time is negative", func(r *peer.GatherRequest) { r.Elapsed = -1 }),
	)
})

var _ = Describe("Notice", func() {
	It("delivers the leader's notice unchanged to the peer", func() {
		s := startServer(nil)
		client := peer.NewClient(timer.New())
		defer client.Close()
		Expect(client.Notice(context.Background(), s.address, control.Notice{Leader: 1, Version: 2, Mirror: 3})).To(Succeed())
		Eventually(s.notices).Should(Receive(Equal(control.Notice{Leader: 1, Version: 2, Mirror: 3})))
	})
})
