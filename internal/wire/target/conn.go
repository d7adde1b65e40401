package target

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

var errSealed = errors.New("the exchange was given up before its first byte")

// conn notes whether the current exchange has handed a byte to the connection and whether one came back.
type conn struct {
	net.Conn
	pool    *pool
	address netip.AddrPort

	mu       sync.Mutex
	exchange uint64 // counts the exchanges that used the connection
	busy     bool
	written  bool
	read     bool
	sealed   bool
	lastRead time.Time
}

// begin starts an exchange and returns its number.
func (c *conn) begin() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange++
	c.busy, c.written, c.read = true, false, false

	return c.exchange
}

// end marks the connection as idle, unless another exchange has taken it already.
func (c *conn) end(exchange uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == exchange {
		c.busy = false
	}
}

// seal makes all later writes fail and reports whether the exchange has written and read a byte. net/http writes in a
// goroutine of its own, so without the seal the first byte could still leave after the exchange was found not to have run.
func (c *conn) seal() (written, read bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true

	return c.written, c.read
}

// closeUnproven closes c if it is idle and has carried no data since the given time.
func (c *conn) closeUnproven(since time.Time) {
	c.mu.Lock()
	stale := !c.busy && c.lastRead.Before(since)
	c.sealed = c.sealed || stale
	c.mu.Unlock()
	if stale {
		_ = c.Close()
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	first := !c.written
	c.written = true
	c.mu.Unlock()

	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && first {
		// The kernel took nothing, so the target cannot have seen the query.
		c.mu.Lock()
		c.written = false
		c.mu.Unlock()
	}

	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := c.pool.timers.Now()
		c.mu.Lock()
		c.read, c.lastRead = true, now
		c.mu.Unlock()
	}

	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.remove(c)

	return c.Conn.Close()
}

// pool lists the open connections by target. net/http bounds their number.
type pool struct {
	timers *timer.Service

	mu    sync.Mutex
	conns map[netip.AddrPort]map[*conn]struct{}
}

func (p *pool) add(inner net.Conn, address netip.AddrPort) *conn {
	c := &conn{Conn: inner, pool: p, address: address, lastRead: p.timers.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = make(map[*conn]struct{})
	}
	p.conns[address][c] = struct{}{}

	return c
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// open returns the number of open connections to address.
func (p *pool) open(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.conns[address])
}

// closeUnproven closes the idle connections to address that have carried no data since the given time. One stalled
// connection makes the others suspect, because the fault that stalled it usually took all that were open.
func (p *pool) closeUnproven(address netip.AddrPort, since time.Time) {
	p.mu.Lock()
	suspects := make([]*conn, 0, len(p.conns[address]))
	for c := range p.conns[address] {
		suspects = append(suspects, c)
	}
	p.mu.Unlock()

	for _, c := range suspects {
		c.closeUnproven(since)
	}
}
