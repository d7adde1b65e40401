package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

const (
	// maxIdle is the maximum number of idle connections to one peer. An instance hands over few queries concurrently.
	maxIdle = 6
	// idleTime is the idle time after which Keep closes a connection.
	idleTime = 15 * time.Second
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

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*link
	ended bool
}

// link is a connection to a peer. It carries one call at a time.
type link struct {
	conn   *drpcconn.Conn
	inner  net.Conn
	usedAt time.Time
	reused bool
}

// NewClient returns a Client. It opens connections on demand.
func NewClient(timers *timer.Service) *Client {
	return &Client{timers: timers, idle: make(map[netip.AddrPort][]*link)}
}

// Close closes the idle connections. Connections in use are closed when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, links := range c.idle {
		for _, l := range links {
			_ = l.conn.Close()
		}
	}
	clear(c.idle)
}

// Keep closes the idle connections to the addresses for which keep returns false, and those whose idle timeout has passed.
func (c *Client) Keep(keep func(address netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	for address, links := range c.idle {
		kept := links[:0]
		for _, l := range links {
			if keep(address) && now.Sub(l.usedAt) < idleTime {
				kept = append(kept, l)
			} else {
				_ = l.conn.Close()
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
	// Active is the number of queries that the peer was gathering when it sent the answer.
	Active int
}

// Gather sends a query to the peer at address and returns the peer's answer. It fails if the peer does not accept the query within
// acceptBound. If the peer returns part of a subset at the objective, early is called with these parts, and the answer has the
// others. Gather adjusts the fields Elapsed and Left of request by the time that it took to open a connection.
func (c *Client) Gather(
	ctx context.Context, address netip.AddrPort, request *GatherRequest, acceptBound time.Duration,
	early func(dispatch.Answer),
) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()

	started := c.timers.Now()
	// The bound includes the time to open a connection.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.timers.AfterFunc(acceptBound, cancel)
	defer stop()
	sent := false
	accepted := func(err error) error {
		if sent && ctx.Err() == nil {
			return errors.Join(ErrNotAccepted, err)
		}

		return err
	}

	l, err := c.take(callCtx, address)
	if err != nil {
		return reply, accepted(err)
	}
	stream, err := l.conn.NewStream(callCtx, rpcGather, encoding{})
	if err != nil {
		_ = l.conn.Close()

		return reply, accepted(err)
	}
	defer func() {
		_ = stream.Close()
		c.put(address, l, err)
	}()
	// The time to open a connection counts towards the query's deadline.
	opened := c.timers.Since(started)
	request.Elapsed += opened
	request.Left -= opened
	sent = true
	if err = stream.MsgSend(request, encoding{}); err != nil {
		return reply, accepted(err)
	}
	if err = stream.MsgRecv(&reply.Accepted, encoding{}); err != nil {
		return reply, accepted(err)
	}
	if !stop() {
		return reply, ErrNotAccepted
	}
	if reply.Accepted.Declined != "" {
		return reply, ErrDeclined
	}
	for {
		var answer GatherAnswer
		if err = stream.MsgRecv(&answer, encoding{}); err != nil {
			if ctx.Err() != nil {
				return reply, context.Canceled
			}

			return reply, errors.Join(ErrLost, err)
		}
		if answer.Early && early != nil {
			early(answer.answer())

			continue
		}
		reply.Answer, reply.Active = answer.answer(), answer.Active

		return reply, nil
	}
}

// Notice sends a notice of the leader to the peer at address.
func (c *Client) Notice(ctx context.Context, address netip.AddrPort, n control.Notice) (err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := c.timers.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	l, err := c.take(ctx, address)
	if err != nil {
		return err
	}
	err = l.conn.Invoke(ctx, rpcNotice, encoding{},
		&NoticeRequest{Leader: n.Leader, Version: n.Version, Mirror: n.Mirror}, &NoticeTaken{})
	if err != nil {
		err = errors.Join(ErrNotAccepted, err)
	}
	c.put(address, l, err)

	return err
}

// take returns an idle connection or opens a new one.
func (c *Client) take(ctx context.Context, address netip.AddrPort) (*link, error) {
	c.mu.Lock()
	links := c.idle[address]
	for len(links) > 0 {
		l := links[len(links)-1]
		links = links[:len(links)-1]
		c.idle[address] = links
		select {
		case <-l.conn.Closed():
			continue
		default:
		}
		c.mu.Unlock()
		l.reused = true

		return l, nil
	}
	c.mu.Unlock()
	inner, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}

	return &link{inner: inner, conn: drpcconn.NewWithOptions(inner, drpcconn.Options{
		Manager: drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace},
	})}, nil
}

// reset closes the connection with a TCP reset, which discards the bytes that the peer has not acknowledged. After a network
// partition the kernel would otherwise deliver them, and the peer would process a query whose answer nobody waits for.
func (l *link) reset() {
	if tcp, ok := l.inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.conn.Close()
}

// put returns the connection to the pool after a call that succeeded, was declined, or was cancelled after the peer had accepted
// it. After any other error the connection may be unusable and is reset. If the peer did not accept the call, the other idle
// connections to it may be unusable as well and are closed.
func (c *Client) put(address netip.AddrPort, l *link, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sound := err == nil || errors.Is(err, ErrDeclined) || errors.Is(err, context.Canceled)
	select {
	case <-l.conn.Closed():
		sound = false
	default:
	}
	if sound && !c.ended && len(c.idle[address]) < maxIdle {
		l.usedAt = c.timers.Now()
		c.idle[address] = append(c.idle[address], l)

		return
	}
	l.reset()
	if errors.Is(err, ErrNotAccepted) {
		for _, other := range c.idle[address] {
			_ = other.conn.Close()
		}
		delete(c.idle, address)
	}
}
