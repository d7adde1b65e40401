package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

var (
	errClientClosed = errors.New("the client is closed")
	errPoolFull     = errors.New("too many calls wait for a connection to the peer")
	errNoConnection = errors.New("no connection to the peer within a part of the time that remains")
)

// countedConn counts the bytes that it was asked to write and those that it read.
type countedConn struct {
	net.Conn
	written atomic.Uint64
	read    atomic.Uint64
	// heard counts what all connections of the pool read.
	heard *atomic.Uint64
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
	c.heard.Add(uint64(n))

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
func (l *link) invoke(ctx context.Context, rpc string, in, out any) error {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()

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
	// heard counts the bytes read from the peer. It tells a silent peer from a stalled connection.
	heard atomic.Uint64
	// dials are the times at which the dials in progress began, oldest first.
	dials []time.Time
}

// dialed is the result of a dial.
type dialed struct {
	link *link
	err  error
}

// pools is the set of all pools of a Client.
type pools struct {
	mu     sync.Mutex
	pools  map[poolKey]*pool
	all    map[*link]struct{}
	closed bool
	swept  time.Time
	// ctx ends with the client.
	ctx     context.Context //nolint:containedctx // dials outlive the calls that began them
	stop    context.CancelFunc
	timers  *timer.Service
	dial    func(ctx context.Context, address netip.AddrPort, heard *atomic.Uint64) (*link, error)
	relay   int
	waiters int
	idle    time.Duration
}

// acquire returns an open connection for one call, for which it waits at most patience. Every success is followed by release.
// It also returns what had been heard of the peer when the call began.
//
// A dial goes on without the call, because a call with little time must neither wait for a dead peer nor keep a distant one
// from ever being reached. When a dial has hung for the patience of a call, the call does not begin another one.
func (p *pools) acquire(ctx context.Context, key poolKey, patience time.Duration) (l *link, heard uint64, err error) {
	own, stale, err := p.enter(key)
	closeAll(stale)
	if err != nil {
		return nil, 0, err
	}
	heard = own.heard.Load()
	began := p.timers.Now()
	if err := p.occupy(ctx, own, patience); err != nil {
		p.leave(key, own)

		return nil, heard, err
	}
	l, oldest := p.pop(own, began)
	if l != nil {
		return l, heard, nil
	}
	patience -= p.timers.Since(oldest)
	if patience <= 0 {
		p.exit(key, own)

		return nil, heard, errNoConnection
	}
	result, given := make(chan dialed), make(chan struct{})
	go p.open(key, own, result, given)
	waiting, cancel := p.timers.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case r := <-result:
		return r.link, heard, r.err
	case <-waiting.Done():
		close(given)

		return nil, heard, errNoConnection
	}
}

// occupy takes a place within patience.
func (p *pools) occupy(ctx context.Context, own *pool, patience time.Duration) error {
	select {
	case own.places <- struct{}{}:
		return nil
	default:
	}
	waiting, cancel := p.timers.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case own.places <- struct{}{}:
		return nil
	case <-waiting.Done():
	}
	p.mu.Lock()
	hangs := len(own.dials) == cap(own.places)
	p.mu.Unlock()
	if hangs {
		return errNoConnection
	}
	// Calls hold the places. The peer is busy and not lost, so the call waits on instead of going past it.
	select {
	case own.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errPoolFull
	}
}

// open dials in the place of a call, which passes to the dial. When the dial succeeds after the call has closed given, because
// it waits no longer, the connection becomes idle.
func (p *pools) open(key poolKey, own *pool, result chan<- dialed, given <-chan struct{}) {
	began := p.timers.Now()
	p.mu.Lock()
	own.dials = append(own.dials, began)
	p.mu.Unlock()
	l, err := p.dial(p.ctx, key.address, &own.heard)
	if err == nil {
		err = p.add(l)
	}
	p.mu.Lock()
	at := slices.Index(own.dials, began)
	own.dials = slices.Delete(own.dials, at, at+1)
	p.mu.Unlock()
	if err != nil {
		l = nil
		p.exit(key, own)
	}
	select {
	case result <- dialed{link: l, err: err}:
	case <-given:
		if l != nil {
			p.release(key, l, true, time.Time{})
		}
	}
}

// exit gives up a place.
func (p *pools) exit(key poolKey, own *pool) {
	<-own.places
	p.leave(key, own)
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

// pop returns an idle connection, or nil and when the oldest dial in progress began, now when there is none.
func (p *pools) pop(own *pool, now time.Time) (l *link, oldest time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(own.idle) > 0 {
		last := len(own.idle) - 1
		l := own.idle[last]
		own.idle = own.idle[:last]
		if !l.closed() {
			return l, now
		}
		delete(p.all, l)
	}
	if len(own.dials) > 0 {
		return nil, own.dials[0]
	}

	return nil, now
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

// release ends the use of l, which is closed unless keep is true. If l was silent since a time, the idle connections that were
// not used since are closed too: the next call then dials, which tells a frozen peer from a stalled connection.
func (p *pools) release(key poolKey, l *link, keep bool, silentSince time.Time) {
	p.mu.Lock()
	own := p.pools[key]
	keep = keep && !p.closed && !l.closed()
	var stale []*link
	if keep {
		l.used = p.timers.Now()
		own.idle = append(own.idle, l)
	} else {
		delete(p.all, l)
		stale = append(stale, l)
	}
	if own != nil && !silentSince.IsZero() {
		own.idle = slices.DeleteFunc(own.idle, func(idle *link) bool {
			if !idle.used.Before(silentSince) {
				return false
			}
			delete(p.all, idle)
			stale = append(stale, idle)

			return true
		})
	}
	p.mu.Unlock()

	closeAll(stale)
	if own != nil {
		p.exit(key, own)
	}
}

// sweep takes connections that are idle for too long out of their pools and returns them. It runs with calls, at most
// twice in an idle time, so that the client needs no goroutine of its own.
func (p *pools) sweep() (stale []*link) {
	now := p.timers.Now()
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
	p.stop()
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
