package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// Defaults of a Client.
const (
	// DefaultPool is the number of relays to one peer at a time. An instance sends 29,300 target requests a second to
	// owners in all zones; at 2 ms each that is 60 in flight, spread over the peers.
	DefaultPool = 16
	// DefaultWaiters is the number of relays that wait for a connection to one peer.
	DefaultWaiters = 64
	// DefaultCallTimeout bounds a call of the control plane.
	DefaultCallTimeout = time.Second
	// DefaultDialTimeout bounds the opening of a connection with its Hello, two round trips. Between regions a round
	// trip takes 24 ms, and an instance in trouble has to be told from a distant one.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdle is the time after which an unused connection is closed.
	DefaultIdle = time.Minute
)

// controlPool is the number of calls of the control plane to one peer at a time.
const controlPool = 2

// relaySlack is added to a query's timeout for the way to the owner and back.
const relaySlack = 60 * time.Millisecond

// maxSilent is the number of cancelled calls without a byte from the peer after which a connection counts as stalled.
// Cancelled hedges alone would otherwise keep a stalled connection in use for ever.
const maxSilent = 2

// Client makes calls to peers. It is safe for concurrent use.
type Client struct {
	timers      *timer.Service
	sender      Sender
	dialer      func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	callTimeout time.Duration
	dialTimeout time.Duration
	pools       pools
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithSender sets the identity that each call carries. It is required.
func WithSender(sender Sender) ClientOption {
	return func(c *Client) { c.sender = sender }
}

// WithDialer replaces the function that opens TCP connections.
func WithDialer(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dialer = dial }
}

// WithPool sets how many relays to one peer run, and how many wait for a connection.
func WithPool(size, waiters int) ClientOption {
	return func(c *Client) { c.pools.relay, c.pools.waiters = max(size, 1), max(waiters, 0) }
}

// WithTimeouts sets the bounds of a call of the control plane and of the opening of a connection.
func WithTimeouts(call, dial time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout, c.dialTimeout = call, dial }
}

// WithIdle sets the time after which an unused connection is closed.
func WithIdle(idle time.Duration) ClientOption {
	return func(c *Client) { c.pools.idle = idle }
}

// NewClient returns a Client.
func NewClient(timers *timer.Service, options ...ClientOption) *Client {
	c := &Client{
		timers: timers,
		dialer: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address.String())
		},
		callTimeout: DefaultCallTimeout,
		dialTimeout: DefaultDialTimeout,
	}
	c.pools = pools{
		pools:   make(map[poolKey]*pool),
		all:     make(map[*link]struct{}),
		dial:    c.dial,
		now:     timers.Now,
		relay:   DefaultPool,
		waiters: DefaultWaiters,
		idle:    DefaultIdle,
	}
	for _, option := range options {
		option(c)
	}

	return c
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.pools.close()
}

// Unreached is the failure of a relay of which no byte was handed to a connection to the peer. It tells a peer that
// cannot be reached from a peer that could not reach the target.
type Unreached struct {
	*target.Failure
}

// Unwrap makes the *target.Failure visible to errors.As.
func (u *Unreached) Unwrap() error {
	return u.Failure
}

// Relay runs a at the peer. An error is or wraps a *target.Failure: that of the peer, an Unreached with NotRun when no byte of
// the request was handed to a connection, or Unknown.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, a attempt.Attempt) (target.Reply, error) {
	var out relayReply
	timeout := a.Query.Timeout.Std() + relaySlack
	request := &relayRequest{Sender: c.sender, Attempt: a, Late: a.Late != nil}
	handed, err := c.call(ctx, poolKey{address: to}, timeout, rpcRelay, request, &out, func() bool {
		late := out.Late && a.Late != nil
		if late {
			a.Late()
			a.Late, out = nil, relayReply{}
		}

		return late
	})
	switch {
	case err != nil:
		failure := relayFailure(ctx, handed, err)
		if !handed {
			return target.Reply{}, &Unreached{Failure: failure}
		}

		return target.Reply{}, failure
	case out.Failure != nil:
		return target.Reply{}, out.Failure
	case out.Late:
		return target.Reply{}, &target.Failure{Outcome: target.Unknown, Code: target.Malformed, Message: "relay: late twice or unasked"}
	}
	if err := out.Reply.Matches(&a.Query); err != nil {
		return target.Reply{}, &target.Failure{Outcome: target.Unknown, Code: target.Mismatched, Message: err.Error()}
	}

	return *out.Reply, nil
}

// relayFailure returns what err says about a relayed attempt.
func relayFailure(ctx context.Context, handed bool, err error) *target.Failure {
	failure := &target.Failure{Outcome: target.NotRun, Code: target.Unreachable, Message: fmt.Sprintf("relay: %v", err)}
	switch {
	case drpcerr.Code(err) == codeMalformed:
		failure.Code = target.BadQuery
	case drpcerr.Code(err) == codeUnimplemented:
	case handed:
		failure.Outcome = target.Unknown
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			failure.Code = target.Cancelled
		case errors.Is(err, context.DeadlineExceeded):
			failure.Code = target.Stalled
		case malformed.Has(err):
			failure.Code = target.Malformed
		default:
			failure.Code = target.Broken
		}
	case errors.Is(ctx.Err(), context.Canceled):
		failure.Code = target.Cancelled
	case errors.Is(err, errPoolFull):
		failure.Code = target.QueueFull
	case malformed.Has(err):
		failure.Code = target.BadQuery
	}

	return failure
}

// Ping asks the instance at the address whether it lives. The reply's Self tells which instance answered.
func (c *Client) Ping(ctx context.Context, to netip.AddrPort, gossip Gossip) (Gossip, error) {
	var out ack
	err := c.control(ctx, to, rpcPing, &ping{Sender: c.sender, Gossip: gossip}, &out)

	return out.Gossip, err
}

// PingRequest asks the instance at the address to ping member.
func (c *Client) PingRequest(
	ctx context.Context,
	to netip.AddrPort,
	member instance.Instance,
	gossip Gossip,
) (Gossip, error) {
	var out ack
	err := c.control(ctx, to, rpcPingRequest, &pingRequest{Sender: c.sender, Member: member, Gossip: gossip}, &out)

	return out.Gossip, err
}

// Sync exchanges member tables.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, table Table) (Table, error) {
	var out syncReply
	err := c.control(ctx, to, rpcSync, &syncRequest{Sender: c.sender, Table: table}, &out)

	return out.Table, err
}

// Configuration returns the peer's raw record if its revision is over have, and nothing otherwise.
func (c *Client) Configuration(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error) {
	var out configurationReply
	err := c.control(ctx, to, rpcConfiguration, &configurationRequest{Sender: c.sender, Have: have}, &out)
	if err != nil {
		return nil, err
	}
	raw, err := unpack(out.Record)

	return raw, Error.Wrap(err)
}

// Push offers a raw record to the peer.
func (c *Client) Push(ctx context.Context, to netip.AddrPort, raw []byte) error {
	packed, err := pack(raw)
	if err != nil {
		return Error.Wrap(err)
	}

	return c.control(ctx, to, rpcPush, &record{Sender: c.sender, Record: packed}, &done{})
}

func (c *Client) control(ctx context.Context, to netip.AddrPort, rpc string, in, out any) error {
	_, err := c.call(ctx, poolKey{address: to, control: true}, c.callTimeout, rpc, in, out, nil)

	return Error.Wrap(err)
}

// call makes one call and reports whether a byte of the request was handed to a connection. A call with more takes messages
// into out until more returns false.
func (c *Client) call(
	ctx context.Context,
	key poolKey,
	timeout time.Duration,
	rpc string,
	in, out any,
	more func() bool,
) (handed bool, err error) {
	data, err := encoding{}.Marshal(in)
	if err != nil {
		return false, err
	}
	ctx, cancel := c.timers.WithTimeout(ctx, timeout)
	defer cancel()
	l, err := c.pools.acquire(ctx, key)
	if err != nil {
		return false, err
	}
	written, read := l.transport.written.Load(), l.transport.read.Load()
	err = l.invoke(ctx, rpc, encoded(data), out, more)
	handed = l.transport.written.Load() != written

	keep := true
	switch {
	case ctx.Err() == nil || l.transport.read.Load() != read:
		l.silent = 0
	default:
		l.silent++
	}
	if err != nil && (errors.Is(ctx.Err(), context.DeadlineExceeded) || l.silent >= maxSilent) {
		keep = false
	}
	c.pools.release(key, l, keep)
	if err != nil && ctx.Err() != nil {
		// drpc reports a connection closed by the cancellation in several ways.
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}

	return handed, err
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (l *link, err error) {
	ctx, cancel := c.timers.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dialer(ctx, address)
	if err != nil {
		return nil, err
	}
	transport := &countedConn{Conn: raw}
	l = &link{
		transport: transport,
		conn:      drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions(0)}),
	}
	if err := l.invoke(ctx, rpcHello, &hello{Sender: c.sender}, &done{}, nil); err != nil {
		_ = l.conn.Close()

		return nil, err
	}

	return l, nil
}
