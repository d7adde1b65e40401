package target

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// listener accepts connections for a Target. Its port can be closed and reopened while the server runs.
type listener struct {
	target  *Target
	address net.Addr

	mu      sync.Mutex
	inner   net.Listener  // nil while connections are refused
	changed chan struct{} // closed and replaced when inner changes
	closed  bool
}

func newListener(inner net.Listener, t *Target) *listener {
	return &listener{target: t, address: inner.Addr(), inner: inner, changed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, changed, closed := l.inner, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case inner == nil:
			<-changed
			continue
		}
		c, err := inner.Accept()
		if err == nil {
			tracked := l.target.trackConn(c)
			if l.target.hook != nil {
				l.target.hook(Connected)
			}

			return tracked, nil
		}
		select {
		case <-changed:
		default:
			return nil, err
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true

	return l.swapInner(nil)
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return l.address
}

// setRefusing closes the port if refusing is true, and reopens it at the same address otherwise.
func (l *listener) setRefusing(refusing bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refusing == (l.inner == nil) {
		return nil
	}
	if refusing {
		return l.swapInner(nil)
	}
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), l.address.Network(), l.address.String())
	if err != nil {
		return err
	}

	return l.swapInner(inner)
}

// swapInner sets the inner listener and closes the former one. l.mu must be locked.
func (l *listener) swapInner(inner net.Listener) error {
	previous := l.inner
	l.inner = inner
	close(l.changed)
	l.changed = make(chan struct{})
	if previous == nil {
		return nil
	}

	return previous.Close()
}

// queryStart is the start of the request line of a query.
const queryStart = "POST " + wire.QueryPath

// conn is an accepted connection that can be silenced: it then discards all data in both directions.
type conn struct {
	net.Conn
	target         *Target
	overLimit      bool // accepted beyond the connection limit
	silent         atomic.Bool
	delayFirstRead sync.Once
	// recentBytes contains the bytes read last, fewer than queryStart has. They may be the beginning of a queryStart that continues
	// in the next read.
	recentBytes []byte
}

// trackConn wraps an accepted connection and counts it in the journal.
func (t *Target) trackConn(inner net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &conn{Conn: inner, target: t, overLimit: t.maxConnections > 0 && len(t.openConns) >= t.maxConnections}
	t.openConns[c] = struct{}{}
	t.journal.connections++
	t.journal.mostOpen = max(t.journal.mostOpen, len(t.openConns))

	return c
}

// Read implements net.Conn. It delays the first read by the connect time.
func (c *conn) Read(b []byte) (int, error) {
	c.delayFirstRead.Do(func() {
		if c.target.connectTime > 0 {
			<-c.target.timers.After(c.target.connectTime)
		}
	})
	if c.target.hook != nil {
		b = b[:min(len(b), len(queryStart))]
	}
	for {
		n, err := c.Conn.Read(b)
		if c.target.hook != nil && c.completesQueryStart(b[:n]) {
			c.target.hook(PartlyRead)
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
		c.target.mu.Lock()
		c.target.journal.silenced++
		c.target.mu.Unlock()
	}
}

// Write implements net.Conn. On a silenced connection it discards the bytes and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.target.mu.Lock()
	delete(c.target.openConns, c)
	c.target.mu.Unlock()

	return c.Conn.Close()
}

// closeWithReset closes the connection with a TCP reset.
func closeWithReset(c net.Conn) {
	inner := c
	if wrapped, ok := c.(*conn); ok {
		inner = wrapped.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// CloseConnections closes all connections, including those that a fault has hijacked from net/http.
func (t *Target) CloseConnections() {
	t.mu.Lock()
	open := make([]*conn, 0, len(t.openConns))
	for c := range t.openConns {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// completesQueryStart reports whether read completes a queryStart. A queryStart may be split over two reads, because net/http reads
// one byte ahead while it finishes the previous request.
func (c *conn) completesQueryStart(read []byte) bool {
	seen := slices.Concat(c.recentBytes, read)
	if bytes.Contains(seen, []byte(queryStart)) {
		c.recentBytes = nil

		return true
	}
	c.recentBytes = bytes.Clone(seen[max(0, len(seen)-len(queryStart)+1):])

	return false
}
