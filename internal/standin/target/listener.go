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
			tracked := l.target.track(c)
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

	return l.replace(nil)
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return l.address
}

// refuse closes the port if on is true, and reopens it at the same address otherwise.
func (l *listener) refuse(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || on == (l.inner == nil) {
		return nil
	}
	if on {
		return l.replace(nil)
	}
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), l.address.Network(), l.address.String())
	if err != nil {
		return err
	}

	return l.replace(inner)
}

// replace sets the inner listener and closes the former one. l.mu must be locked.
func (l *listener) replace(inner net.Listener) error {
	old := l.inner
	l.inner = inner
	close(l.changed)
	l.changed = make(chan struct{})
	if old == nil {
		return nil
	}

	return old.Close()
}

// queryStart is the start of the request line of a query.
const queryStart = "POST " + wire.QueryPath

// conn is an accepted connection that can be silenced: it then discards all data in both directions.
type conn struct {
	net.Conn
	target *Target
	over   bool // accepted beyond the connection limit
	silent atomic.Bool
	opened sync.Once
	// last holds the most recently read bytes, which may be the beginning of a queryStart that continues in the next read.
	last []byte
}

// track wraps an accepted connection and counts it in the journal.
func (t *Target) track(inner net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &conn{Conn: inner, target: t, over: t.connections > 0 && len(t.conns) >= t.connections}
	t.conns[c] = struct{}{}
	t.journal.connections++
	t.journal.mostOpen = max(t.journal.mostOpen, len(t.conns))

	return c
}

// Read implements net.Conn. It delays the first read by the connect time.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(func() {
		if c.target.connectTime > 0 {
			<-c.target.timers.After(c.target.connectTime)
		}
	})
	if c.target.hook != nil {
		b = b[:min(len(b), len(queryStart))]
	}
	for {
		n, err := c.Conn.Read(b)
		if c.target.hook != nil && c.starts(b[:n]) {
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
	delete(c.target.conns, c)
	c.target.mu.Unlock()

	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
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
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// starts reports whether read completes a queryStart. A queryStart may be split over two reads, because net/http reads one byte
// ahead while it finishes the previous request.
func (c *conn) starts(read []byte) bool {
	seen := slices.Concat(c.last, read)
	if bytes.Contains(seen, []byte(queryStart)) {
		c.last = nil

		return true
	}
	c.last = bytes.Clone(seen[max(0, len(seen)-len(queryStart)+1):])

	return false
}
