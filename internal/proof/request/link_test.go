package request_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// network has the connections of callers and those between instances. A test can break them or simulate a partition.
type network struct {
	mu          sync.Mutex
	connections map[*trackedConnection]struct{}
	partitioned atomic.Bool
	// peerConnectionsBroken says that the connections between instances are broken, and callerConnectionsBroken that those of
	// callers are. Both include the connections that are opened later.
	peerConnectionsBroken, callerConnectionsBroken bool
}

// trackedConnection is a connection of the network. Between instances, it discards all data during a partition.
type trackedConnection struct {
	net.Conn
	network     *network
	peer        bool
	onFirstByte func()
	once        sync.Once
}

// track adds a connection. If onFirstByte is set, it is called when the first bytes are read, and reads return few bytes at a time.
func (n *network) track(inner net.Conn, peer bool, onFirstByte func()) *trackedConnection {
	c := &trackedConnection{Conn: inner, network: n, peer: peer, onFirstByte: onFirstByte}
	n.mu.Lock()
	defer n.mu.Unlock()
	if peer && n.peerConnectionsBroken || !peer && n.callerConnectionsBroken {
		_ = inner.Close()
	}
	n.connections[c] = struct{}{}

	return c
}

// dial opens a connection to a peer. During a partition it blocks until ctx ends.
func (n *network) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if n.partitioned.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}

	return n.track(inner, true, nil), nil
}

// breakConnections closes the connections between instances and, if callers is true, those of callers. Connections that are opened
// later are closed too.
func (n *network) breakConnections(callers bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerConnectionsBroken, n.callerConnectionsBroken = true, n.callerConnectionsBroken || callers
	for c := range n.connections {
		if c.peer || callers {
			_ = c.Conn.Close()
		}
	}
}

// Read implements net.Conn.
func (c *trackedConnection) Read(b []byte) (int, error) {
	if c.onFirstByte != nil {
		b = b[:min(len(b), 16)]
	}
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && c.onFirstByte != nil {
			c.once.Do(c.onFirstByte)
		}
		if err != nil || !c.peer || !c.network.partitioned.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *trackedConnection) Write(b []byte) (int, error) {
	if c.peer && c.network.partitioned.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.network.mu.Lock()
	delete(c.network.connections, c)
	c.network.mu.Unlock()

	return c.Conn.Close()
}
