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
)

var (
	errClientClosed = errors.New("the client is closed")
	errPoolFull     = errors.New("too many calls wait for a connection to the peer")
)

// countedConn counts the bytes that it was asked to write and those that it read.
type countedConn struct {
	net.Conn
	written atomic.Uint64
	read    atomic.Uint64
}

// Write implements net.Conn. The bytes count before they are written, because a failed write may have sent some.
func (c *countedConn) Write(data []byte) (int, error) {
	c.written.Add(uint64(len(data)))

	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.read.Add(uint64(n))

	return n, err
}

// link is one connection to a peer.
type link struct {
	transport *countedConn
	conn      *drpcconn.Conn
	used      time.Time
	// silent counts the last calls that were cancelled without a byte from the peer since they began.
	silent int
}

func (l *link) closed() bool {
	select {
	case <-l.conn.Closed():
		return true
	default:
		return false
	}
}

// invoke makes a call whose context does not end any more once the call has ended. drpc watches the context for a moment
// longer, and its end in that moment, by the timeout's release or by the caller, would fail the next call on the connection.
func (l *link) invoke(ctx context.Context, rpc string, in, out any, more func() bool) error {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()

	if more != nil {
		return l.receive(detached, rpc, in, out, more)
	}

	return l.conn.Invoke(detached, rpc, encoding{}, in, out)
}

// poolKey separates relays from the control plane, so that gossip never waits behind relays.
type poolKey struct {
	address netip.AddrPort
	control bool
}

// pool holds the connections to one peer for one purpose.
type pool struct {
	places  chan struct{} // one element for each connection in use
	waiting int           // calls that hold or wait for a place

	idle []*link // most recently used last
}

// pools is the set of all pools of a Client.
type pools struct {
	mu      sync.Mutex
	pools   map[poolKey]*pool
	all     map[*link]struct{}
	closed  bool
	swept   time.Time
	dial    func(ctx context.Context, address netip.AddrPort) (*link, error)
	now     func() time.Time
	relay   int
	waiters int
	idle    time.Duration
}

// acquire returns an open connection for one call. Every success is followed by release.
func (p *pools) acquire(ctx context.Context, key poolKey) (*link, error) {
	own, stale, err := p.enter(key)
	closeAll(stale)
	if err != nil {
		return nil, err
	}
	select {
	case own.places <- struct{}{}:
	case <-ctx.Done():
		p.leave(key, own)

		return nil, errPoolFull
	}
	if l := p.pop(own); l != nil {
		return l, nil
	}
	l, err := p.dial(ctx, key.address)
	if err == nil {
		err = p.add(l)
	}
	if err != nil {
		<-own.places
		p.leave(key, own)

		return nil, err
	}

	return l, nil
}

func (p *pools) enter(key poolKey) (own *pool, stale []*link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClientClosed
	}
	stale = p.sweep()
	own = p.pools[key]
	if own == nil {
		size := p.relay
		if key.control {
			size = controlPool
		}
		own = &pool{places: make(chan struct{}, size)}
		p.pools[key] = own
	}
	if own.waiting >= cap(own.places)+p.waiters {
		return nil, stale, errPoolFull
	}
	own.waiting++

	return own, stale, nil
}

func (p *pools) leave(key poolKey, own *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own.waiting--
	if own.waiting == 0 && len(own.idle) == 0 {
		delete(p.pools, key)
	}
}

func (p *pools) pop(own *pool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(own.idle) > 0 {
		last := len(own.idle) - 1
		l := own.idle[last]
		own.idle = own.idle[:last]
		if !l.closed() {
			return l
		}
		delete(p.all, l)
	}

	return nil
}

func (p *pools) add(l *link) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = l.conn.Close()

		return errClientClosed
	}
	p.all[l] = struct{}{}

	return nil
}

// release ends the use of l, which is closed unless keep is true.
func (p *pools) release(key poolKey, l *link, keep bool) {
	p.mu.Lock()
	own := p.pools[key]
	keep = keep && !p.closed && !l.closed()
	if keep {
		l.used = p.now()
		own.idle = append(own.idle, l)
	} else {
		delete(p.all, l)
	}
	p.mu.Unlock()

	if !keep {
		_ = l.conn.Close()
	}
	if own != nil {
		<-own.places
		p.leave(key, own)
	}
}

// sweep takes connections that are idle for too long out of their pools and returns them. It runs with calls, at most
// twice in an idle time, so that the client needs no goroutine of its own.
func (p *pools) sweep() (stale []*link) {
	now := p.now()
	if now.Sub(p.swept) < p.idle/2 {
		return nil
	}
	p.swept = now
	for key, own := range p.pools {
		kept := own.idle[:0]
		for _, l := range own.idle {
			if now.Sub(l.used) < p.idle && !l.closed() {
				kept = append(kept, l)
			} else {
				delete(p.all, l)
				stale = append(stale, l)
			}
		}
		own.idle = kept
		if own.waiting == 0 && len(own.idle) == 0 {
			delete(p.pools, key)
		}
	}

	return stale
}

// close closes all connections, also those in use, and refuses further calls.
func (p *pools) close() {
	p.mu.Lock()
	p.closed = true
	links := make([]*link, 0, len(p.all))
	for l := range p.all {
		links = append(links, l)
	}
	clear(p.all)
	p.mu.Unlock()
	closeAll(links)
}

func closeAll(links []*link) {
	for _, l := range links {
		_ = l.conn.Close()
	}
}
