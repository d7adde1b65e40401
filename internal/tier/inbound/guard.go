// Package inbound keeps clients outside the limits from using up the memory and the file descriptors of an instance.
//
// A Guard wraps the listeners of an instance. The connections that they accept read the head of each request up to the limit in force before
// the server sees any of it, and report to an intake.Ledger what their clients have sent and no request was admitted for. The Guard closes
// the connections that the ledger gives up, and those whose clients are too slow:
//
//	guard := inbound.NewGuard(intake.DeriveLimits(memory, descriptors), timers)
//	listener = guard.Listen(listener, intake.Callers, limits)
//	guard.Attach(server)
//	err := guard.Run(ctx)
//
// Requests inside the limits reach the server as their clients sent them.
package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/intake"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// sweepInterval is the interval between checks for clients that are too slow. It is short compared with the time for a head, which is
	// 3 s in the users' configurations.
	sweepInterval = 250 * time.Millisecond
	// answerTimeout is the time within which a client has to read the next writeBytes of an answer. A caller waits for its whole answer for
	// a few seconds at most.
	answerTimeout = 10 * time.Second
	// drainTimeout is the time for the rest of a body after its request was answered.
	drainTimeout = 10 * time.Second
	// messageTimeout is the time within which a peer has to complete a message. It sends each one at once.
	messageTimeout = 15 * time.Second
	// socketBytes is the size of the buffers of the operating system for a connection. In 100 ms, the round trip to a remote client, half
	// a body at the limit of the users' configurations arrives.
	socketBytes = 128 << 10
	// logInterval is the time between two lines about the same kind of clients at the same address.
	logInterval = time.Second
	// RetryDelay is the delay after which clients that were refused for lack of memory may come back.
	RetryDelay = time.Second
)

// Limits are the limits in force for the heads of requests, 0 for none.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
}

// Guard wraps the listeners of an instance. It is safe for concurrent use.
type Guard struct {
	ledger  *intake.Ledger
	timers  *timer.Service
	log     *event.Log
	metrics *metric.Set
	// retryHeader is the header lines of a refusal for lack of memory.
	retryHeader []byte

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// unlogged counts the clients that no line has been written for.
	unlogged map[count]int
	loggedAt time.Time
}

// count identifies what refused clients are counted by.
type count struct {
	address intake.Address
	reason  reason
}

// Option configures a Guard.
type Option func(*Guard)

// WithLog sets the log.
func WithLog(log *event.Log) Option { return func(g *Guard) { g.log = log } }

// WithMetrics sets the metrics.
func WithMetrics(metrics *metric.Set) Option { return func(g *Guard) { g.metrics = metrics } }

// WithRetry sets the function that sets the header with the delay after which a refused request may be sent again.
func WithRetry(setRetry func(header http.Header, after time.Duration)) Option {
	return func(g *Guard) {
		header := make(http.Header)
		setRetry(header, RetryDelay)
		var lines bytes.Buffer
		// A buffer takes all writes.
		_ = header.Write(&lines)
		g.retryHeader = lines.Bytes()
	}
}

// NewGuard returns a Guard that keeps within limits.
func NewGuard(limits intake.Limits, timers *timer.Service, options ...Option) *Guard {
	g := &Guard{
		ledger: intake.NewLedger(limits), timers: timers, conns: make(map[*Conn]struct{}), unlogged: make(map[count]int),
	}
	for _, option := range options {
		option(g)
	}

	return g
}

// Use returns what clients hold at present.
func (g *Guard) Use() intake.Use { return g.ledger.Use() }

// Listen wraps a listener. The function limits returns the limits in force for the heads of requests; it is not called for peers.
func (g *Guard) Listen(inner net.Listener, address intake.Address, limits func() Limits) net.Listener {
	return &listener{Listener: inner, guard: g, address: address, limits: limits}
}

type listener struct {
	net.Listener
	guard   *Guard
	address intake.Address
	limits  func() Limits
}

// Accept implements net.Listener. The connections are of type *Conn.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.guard.drop(l.guard.ledger.EvictWaiting(), connectionsFull)
			}

			return nil, err
		}
		client, evicted, ok := l.guard.ledger.Open(l.address, l.guard.timers.Now())
		l.guard.drop(evicted, connectionsFull)
		if !ok {
			l.guard.record(l.address, connectionsFull)
			_ = inner.Close()

			continue
		}
		c := &Conn{Conn: inner, guard: l.guard, client: client, address: l.address, limits: l.limits}
		client.Owner = c
		limitBuffers(inner)
		l.guard.mu.Lock()
		l.guard.conns[c] = struct{}{}
		l.guard.mu.Unlock()

		return c, nil
	}
}

// limitBuffers sets the sizes of the buffers of the operating system. Without, they grow to several megabytes for a client that reads no
// answers or sends more than it is asked for.
func limitBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
}

// drop closes the connection of an evicted client at once.
func (g *Guard) drop(evicted *intake.Client, why reason) {
	if evicted == nil {
		return
	}
	g.record(evicted.Address(), why)
	if c, ok := evicted.Owner.(*Conn); ok {
		_ = c.Close()
	}
}

// refuse makes the connection of an evicted client answer with a refusal, and close.
func (g *Guard) refuse(evicted *intake.Client, why reason) {
	if evicted == nil {
		return
	}
	if c, ok := evicted.Owner.(*Conn); ok {
		c.end(why)
	}
}

// record counts a client that was refused.
func (g *Guard) record(address intake.Address, why reason) {
	g.metrics.ClientRefused(context.Background(), address.String(), why.String())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged[count{address, why}]++
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Run ends the connections of clients that are too slow until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	ticks := g.timers.Subscribe(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			g.sweep(now)
			g.logRefused(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		c.check(now)
	}
}

// logRefused writes a line for each kind of clients that were refused.
func (g *Guard) logRefused(now time.Time) {
	g.mu.Lock()
	if len(g.unlogged) == 0 || now.Sub(g.loggedAt) < logInterval {
		g.mu.Unlock()

		return
	}
	unlogged := g.unlogged
	g.unlogged, g.loggedAt = make(map[count]int), now
	g.mu.Unlock()
	use := g.ledger.Use()
	for what, clients := range unlogged {
		g.log.Log(what.reason.event(), "Address", what.address, "Reason", what.reason, "Clients", clients,
			"Bytes", use.Bytes, "Answers", use.Answers, "Connections", use.Connections)
	}
}

type connKey struct{}

// NewContext returns a context by which Admit finds the connection, also if another one with a method NetConn wraps it.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}

	return ctx
}

func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)

	return c
}

// Admit records that a whole request has been read and is served from now on. It returns ErrMemory if the instance has given the client up.
func Admit(ctx context.Context) error {
	if c := fromContext(ctx); c != nil && !c.guard.ledger.Admit(c.client) {
		return ErrMemory
	}

	return nil
}

// Attach makes the connections of server follow its requests. It must be called before the server starts, after its handler and hooks
// were set. The handler has to call Admit.
func (g *Guard) Attach(server *http.Server) {
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}

		return NewContext(ctx, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.idle()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := fromContext(r.Context()); c != nil {
			c.beginRequest(r)
			defer c.endRequest(r)
		}
		handler.ServeHTTP(w, r)
	})
}

// AttachSimple is like Attach for a handler that reads no bodies and does not call Admit.
func (g *Guard) AttachSimple(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if Admit(r.Context()) != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		handler.ServeHTTP(w, r)
	})
	g.Attach(server)
}
