package caller

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("the request was given up before it was sent")

// countedConn is a connection that knows whether bytes were handed to it since its current request began.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write counts before it writes, because a byte may arrive even if Write fails.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()

		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()

	return c.Conn.Write(b)
}

// attempt follows one request over the connections that net/http chooses for it. net/http takes a second connection only after
// a reused one failed before any byte was written.
type attempt struct {
	mu          sync.Mutex
	connections []*countedConn
	// sealed is true once the request was given up; a connection that comes later may not be written to.
	sealed bool
}

func (a *attempt) use(info httptrace.GotConnInfo) {
	connection, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.written = false
	connection.sealed = a.sealed
	a.connections = append(a.connections, connection)
}

// seal reports whether no byte was handed to a connection, and makes sure that none will be: net/http may still be about to
// write when a cancelled request returns.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	for _, connection := range a.connections {
		connection.mu.Lock()
		untouched := !connection.written
		if untouched {
			connection.sealed = true
		}
		connection.mu.Unlock()
		if !untouched {
			return false
		}
	}

	return true
}
