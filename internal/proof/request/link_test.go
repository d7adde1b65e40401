package request_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// links are the connections of callers and between instances, which the test can break.
type links struct {
	mu     sync.Mutex
	open   map[*link]struct{}
	silent atomic.Bool
	// peersBroken and callersBroken say which connections break, those opened later included.
	peersBroken, callersBroken bool
}

// link is a connection that carries nothing while its links are silent, as during a partition.
type link struct {
	net.Conn
	links  *links
	peer   bool
	partly func()
	once   sync.Once
}

func (l *links) track(inner net.Conn, peer bool, partly func()) *link {
	c := &link{Conn: inner, links: l, peer: peer, partly: partly}
	l.mu.Lock()
	defer l.mu.Unlock()
	if peer && l.peersBroken || !peer && l.callersBroken {
		_ = inner.Close()
	}
	l.open[c] = struct{}{}

	return c
}

// dial opens a connection to a peer. During a partition nobody answers.
func (l *links) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if l.silent.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}

	return l.track(inner, true, nil), nil
}

// sever breaks the connections between instances and, if callers is true, those of callers, now and in future.
func (l *links) sever(callers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersBroken, l.callersBroken = true, l.callersBroken || callers
	for c := range l.open {
		if c.peer || callers {
			_ = c.Conn.Close()
		}
	}
}

// Read implements net.Conn.
func (c *link) Read(b []byte) (int, error) {
	if c.partly != nil {
		b = b[:min(len(b), 16)]
	}
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && c.partly != nil {
			c.once.Do(c.partly)
		}
		if err != nil || !c.peer || !c.links.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *link) Write(b []byte) (int, error) {
	if c.peer && c.links.silent.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *link) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()

	return c.Conn.Close()
}
