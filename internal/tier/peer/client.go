package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// maxIdleConnections is the maximum number of idle connections to one peer. An instance delegates few queries at a time.
	maxIdleConnections = 6
	// idleTimeout is the idle time after which Keep closes a connection.
	idleTimeout = 15 * time.Second
	// noticeTimeout is the time limit for sending a notice, including the opening of a connection to another region.
	noticeTimeout = 300 * time.Millisecond
	// softCancelGrace is the time for which the cancellation of a call waits until a message that is being written is complete.
	// Only then can the connection be reused.
	softCancelGrace = 5 * time.Millisecond
)

// Errors of Gather after which the query may be sent to another gatherer.
var (
	// ErrNotAccepted means that the request was sent, but the peer did not accept it in time. The peer may still process it.
	ErrNotAccepted = errors.New("peer did not accept the request in time, but may have received it")
	// ErrDeclined means that the peer refused to gather the query and sent nothing to targets.
	ErrDeclined = errors.New("peer declined the query")
	// ErrLost means that the connection to the peer failed after the peer had accepted the query.
	ErrLost = errors.New("connection lost after the peer had accepted the query")
)

// Client makes calls to peers and pools the connections to them. It is safe for concurrent use.
type Client struct {
	timers *timer.Service

	// responses is the memory for the responses that peers are passing on.
	responses      atomic.Int64
	responseMemory int64

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection // by the peer's address, most recently used last
	closed bool
}

// connection is a connection to a peer. It carries one call at a time.
type connection struct {
	drpcConn *drpcconn.Conn
	netConn  net.Conn
	lastUsed time.Time
	reused   bool // set once the connection has been handed out from the pool
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithResponseMemory limits the size of all responses that peers are passing on at the same time, in bytes. One that would exceed it fails.
func WithResponseMemory(limit int64) ClientOption {
	return func(c *Client) { c.responseMemory = limit }
}

// defaultResponseMemory is the default of WithResponseMemory.
const defaultResponseMemory = 32 << 20

// NewClient returns a Client. It opens connections on demand.
func NewClient(timers *timer.Service, options ...ClientOption) *Client {
	c := &Client{timers: timers, idle: make(map[netip.AddrPort][]*connection), responseMemory: defaultResponseMemory}
	for _, option := range options {
		option(c)
	}

	return c
}

// Close closes the idle connections. Connections in use are closed when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.drpcConn.Close()
		}
	}
	clear(c.idle)
}

// RetainIdle closes the idle connections to the addresses for which keep returns false, and those whose idle timeout has passed.
func (c *Client) RetainIdle(keep func(address netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if keep(address) && now.Sub(conn.lastUsed) < idleTimeout {
				kept = append(kept, conn)
			} else {
				_ = conn.drpcConn.Close()
			}
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Reply is the result of Gather.
type Reply struct {
	Answer dispatch.Answer
	// Accepted is the first message of the peer, which accepts or declines the query. It is zero if none was received.
	Accepted GatherAccepted
	// AcceptedAfter is the time from sending the request until the peer accepted or declined it, zero if it did neither.
	AcceptedAfter time.Duration
	// Active is the number of queries that the peer was gathering when it sent the answer.
	Active int
}

// Gather sends a query to the peer at address and returns the peer's answer. It fails if the peer does not accept the query within
// acceptBound. If request names a subset and the peer sends the parts that it has at the objective, early is called with them; the
// answer then has the other parts. Gather adjusts the fields Elapsed and Left of request by the time that it took to open a
// connection.
func (c *Client) Gather(
	ctx context.Context, address netip.AddrPort, request *GatherRequest, acceptBound time.Duration,
	early func(dispatch.Answer),
) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()

	started := c.timers.Now()
	// The bound includes the time to open a connection.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopAcceptTimer := c.timers.AfterFunc(acceptBound, cancel)
	defer stopAcceptTimer()
	sent := false
	asNotAccepted := func(err error) error {
		if sent && ctx.Err() == nil {
			return errors.Join(ErrNotAccepted, err)
		}

		return err
	}

	conn, err := c.acquire(callCtx, address)
	if err != nil {
		return reply, asNotAccepted(err)
	}
	rpc := request.rpc()
	stream, err := conn.drpcConn.NewStream(callCtx, rpc, encoding{})
	if err != nil {
		_ = conn.drpcConn.Close()

		return reply, asNotAccepted(err)
	}
	defer func() {
		_ = stream.Close()
		c.release(address, conn, err)
	}()
	// The time to open a connection counts towards the query's deadline.
	connectTime := c.timers.Since(started)
	request.Elapsed += connectTime
	request.Left -= connectTime
	sent = true
	sentAt := c.timers.Now()
	if err = request.send(stream, &reply.Accepted); errors.Is(err, ErrUnknownCall) {
		return reply, err
	} else if err != nil {
		return reply, asNotAccepted(err)
	}
	reply.AcceptedAfter = c.timers.Since(sentAt)
	if !stopAcceptTimer() {
		return reply, ErrNotAccepted
	}
	if err = reply.Accepted.declined(); err != nil {
		return reply, err
	}
	if len(request.Body) > 0 {
		if err = stream.MsgSend(&GatherBody{Body: request.Body}, encoding{}); err != nil {
			return reply, lostOrCancelled(ctx, err)
		}
	}
	for {
		var answer GatherAnswer
		if err = stream.MsgRecv(&answer, encoding{}); err != nil {
			return reply, lostOrCancelled(ctx, err)
		}
		if answer.Early && early != nil {
			early(answer.toDispatch())

			continue
		}
		reply.Answer, reply.Active = answer.toDispatch(), answer.Active

		return reply, nil
	}
}

// lostOrCancelled returns the error of a call that failed after the peer had accepted the query.
func lostOrCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Canceled
	}

	return errors.Join(ErrLost, err)
}

// Notice sends a notice of the leader to the peer at address.
func (c *Client) Notice(ctx context.Context, address netip.AddrPort, n control.Notice) error {
	return c.invoke(ctx, address, rpcNotice,
		&NoticeRequest{Leader: n.Leader, Name: n.Name, Peer: n.Peer, Version: n.Version, Mirror: n.Mirror}, &NoticeResponse{})
}

// Suspects sends what this instance has observed of queries that seem to crash targets to the peer at address.
func (c *Client) Suspects(ctx context.Context, address netip.AddrPort, records []suspect.Record) error {
	return c.invoke(ctx, address, rpcSuspects, &SuspectsRequest{Records: newSuspectRecords(records)}, &SuspectsResponse{})
}

// invoke makes a call with one request and one response.
func (c *Client) invoke(ctx context.Context, address netip.AddrPort, rpc string, request, response any) (err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := c.timers.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	conn, err := c.acquire(ctx, address)
	if err != nil {
		return err
	}
	if err = conn.drpcConn.Invoke(ctx, rpc, encoding{}, request, response); err != nil {
		err = errors.Join(ErrNotAccepted, err)
	}
	c.release(address, conn, err)

	return err
}

// acquire returns an idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort) (*connection, error) {
	c.mu.Lock()
	conns := c.idle[address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		select {
		case <-conn.drpcConn.Closed():
			continue
		default:
		}
		c.mu.Unlock()
		conn.reused = true

		return conn, nil
	}
	c.mu.Unlock()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}

	return &connection{netConn: netConn, drpcConn: drpcconn.NewWithOptions(netConn, drpcconn.Options{
		Manager: drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace},
	})}, nil
}

// reset closes the connection with a TCP reset, which discards the bytes that the peer has not acknowledged. After a network
// partition the kernel would otherwise deliver them, and the peer would process a query whose answer nobody waits for.
func (c *connection) reset() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.drpcConn.Close()
}

// release returns the connection to the pool after a call that succeeded, was declined, or was cancelled by its context. After any
// other error the connection may be unusable and is reset. If that error is ErrNotAccepted, the other idle connections to the peer
// may be unusable as well and are closed.
//
// Known fault: when acceptBound passes, Gather cancels the call's context, so its error is ErrNotAccepted joined with
// context.Canceled and the call counts as cancelled. The connection is then returned to the pool, and the other idle connections
// stay open, although the peer has not responded.
func (c *Client) release(address netip.AddrPort, conn *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reusable := err == nil || errors.Is(err, ErrDeclined) || errors.Is(err, context.Canceled)
	select {
	case <-conn.drpcConn.Closed():
		reusable = false
	default:
	}
	if reusable && !c.closed && len(c.idle[address]) < maxIdleConnections {
		conn.lastUsed = c.timers.Now()
		c.idle[address] = append(c.idle[address], conn)

		return
	}
	conn.reset()
	if errors.Is(err, ErrNotAccepted) {
		for _, other := range c.idle[address] {
			_ = other.drpcConn.Close()
		}
		delete(c.idle, address)
	}
}
