package platform

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("the connection was given up")

// connection counts what is written to a TCP connection. net/http does not tell whether a failed request reached the
// connection, and its write may still be under way when it reports the failure.
type connection struct {
	net.Conn

	mu      sync.Mutex
	written int64
	writing bool
	sealed  bool
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()

		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()

	n, err = c.Conn.Write(b)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)

	return n, err
}

func (c *connection) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.written
}

// seal closes the connection and reports whether any byte after the first mark bytes was or may be written. No write
// begins after it.
func (c *connection) seal(mark int64) (touched bool) {
	c.mu.Lock()
	c.sealed = true
	touched = c.writing || c.written > mark
	c.mu.Unlock()
	// The connection is given up, so an error of its closing changes nothing.
	_ = c.Close()

	return touched
}

// trail records the connections that net/http uses for one request.
type trail struct {
	mu     sync.Mutex
	used   []use
	reused bool
}

type use struct {
	conn *connection
	mark int64
}

func (t *trail) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reused = t.reused || info.Reused
		if conn, ok := info.Conn.(*connection); ok {
			t.used = append(t.used, use{conn: conn, mark: conn.count()})
		}
	}}
}

// close gives up the connections of a failed request. touched is false only if none of its bytes was or will be
// written.
func (t *trail) close() (touched, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.used {
		if u.conn.seal(u.mark) {
			touched = true
		}
	}

	return touched, t.reused
}
