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
	// maxIdle bounds the idle connections to one peer. An instance hands over few queries at a time.
	maxIdle = 6
	// idleTime is how long an idle connection is kept.
	idleTime = 15 * time.Second
	// noticeTimeout bounds a notice, with the opening of a connection to another region.
	noticeTimeout = 300 * time.Millisecond
	// softCancelGrace is the time for which the end of a query waits for a message that is being sent.
	softCancelGrace = 5 * time.Millisecond
)

// Errors of Gather that leave the query free to be gathered elsewhere.
var (
	// ErrNotAccepted means that the peer did not take the query in time. It may still gather it.
	ErrNotAccepted = errors.New("the peer did not accept the query that was sent to it")
	// ErrDeclined means that the peer does not gather the query.
	ErrDeclined = errors.New("the peer declined the query")
	// ErrLost means that the connection to the peer broke after it had accepted the query.
	ErrLost = errors.New("the peer was lost while it gathered")
)

// Client calls peers. It is safe for concurrent use.
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

// NewClient returns a Client without connections.
func NewClient(timers *timer.Service) *Client {
	return &Client{timers: timers, idle: make(map[netip.AddrPort][]*link)}
}

// Close closes the idle connections.
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

// Keep closes the idle connections to peers for which keep returns false, and those that were idle for long.
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

// Reply is the end of a call.
type Reply struct {
	Answer dispatch.Answer
	// Accepted holds what the peer said first; its Version is 0 if it said nothing.
	Accepted GatherAccepted
	// Active is the number of queries that the peer gathered at the end.
	Active int
}

// Gather hands a query to the peer at address. The peer has to accept it within the bound. Parts of a subset that the peer has at the
// objective are given to early.
func (c *Client) Gather(
	ctx context.Context, address netip.AddrPort, request *GatherRequest, acceptBound time.Duration,
	early func(dispatch.Answer),
) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()

	started := c.timers.Now()
	// The bound covers the opening of a connection as well.
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
	// Opening a connection takes time of the query.
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
	err = l.conn.Invoke(ctx, rpcNotice, encoding{}, &NoticeRequest{Leader: n.Leader, Version: n.Version, Mirror: n.Mirror}, &NoticeTaken{})
	if err != nil {
		err = errors.Join(ErrNotAccepted, err)
	}
	c.put(address, l, err)

	return err
}

// take returns an idle connection or opens one.
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

// reset closes the connection so that bytes that the peer has not received are discarded. After a network partition they would
// otherwise reach it as a query that nobody waits for.
func (l *link) reset() {
	if tcp, ok := l.inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.conn.Close()
}

// put keeps the connection after a call that ended well, was declined, or was cancelled after the peer had accepted it. Any other
// end leaves the state of the connection in doubt, and a peer that does not answer that of the other idle connections to it.
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
