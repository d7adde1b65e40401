package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer. A typical response of one shard fits with its headers.
	readBufferSize = 2 << 10
	// defaultIdleTimeout is the idle timeout of connections to targets that announce none. The targets in production announce 10 s.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutFraction is the fraction of the target's announced idle timeout for which an idle connection is reused. The
	// remainder is a margin for network and timer delays, so that a request is not sent on a connection that the target is closing.
	idleTimeoutFraction = 0.85
)

var (
	errNoConnection = errors.New("no connection to the target became available in time")
	errCancelled    = errors.New("attempt cancelled")
	errLinkClosed   = errors.New("target removed from the directory or pool closed")
)

// conn is a connection to a target. It carries one request at a time, without pipelining.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	allowance *allowance
	// lastUsed is the time at which the last response was read completely, or at which the connection was opened.
	lastUsed    time.Time
	idleTimeout time.Duration // idle time after which the connection is no longer reused
	// sentAt is when the request under way was sent, zero if there is none. pool is that of the target.
	sentAt time.Time
	pool   *Pool
	reused bool // set once the connection was acquired without opening it
}

func (c *conn) close() {
	_ = c.Close()
}

// Close closes the connection. If no target was heard since its request was sent, it is reset: bytes that a partition has held up must not
// reach the target later.
func (c *conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.sentAt.IsZero() && !c.pool.heardSince(c.sentAt) {
		_ = tcp.SetLinger(0)
	}

	return c.Conn.Close()
}

// healthy reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without blocking.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var open bool
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))

		return true
	})

	return err == nil && open
}

// Cancel cancels an attempt from another goroutine. The zero value is ready to use.
type Cancel struct {
	mu       sync.Mutex
	done     bool
	closer   io.Closer     // closed by Cancel; nil while there is nothing to close
	doneChan chan struct{} // created by the first call of doneSignal
}

// Cancel cancels the attempt. It closes the attempt's connection, which makes the target drop the request.
func (c *Cancel) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	if c.closer != nil {
		_ = c.closer.Close()
	}
	if c.doneChan != nil {
		close(c.doneChan)
	}
}

// Cancelled reports whether Cancel was called.
func (c *Cancel) Cancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.done
}

// attach registers closer to be closed by Cancel. It returns false and registers nothing if Cancel was already called.
func (c *Cancel) attach(closer io.Closer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return false
	}
	c.closer = closer

	return true
}

// detach removes the registered closer. It returns false if Cancel was called, which may have closed it.
func (c *Cancel) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closer = nil

	return !c.done
}

// doneSignal returns a channel that is closed when Cancel is called.
func (c *Cancel) doneSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneChan == nil {
		c.doneChan = make(chan struct{})
		if c.done {
			close(c.doneChan)
		}
	}

	return c.doneChan
}

// acquire returns an idle connection, opens a new one, or, at the connection limit, waits until deadline for one to be released.
// With newConnection set, idle connections are not used, but a wait may still yield a connection that was used before.
func (l *Link) acquire(cancel *Cancel, deadline time.Time, newConnection bool) (*conn, error) {
	timers := l.pool.timers
	l.mu.Lock()
	for !newConnection && len(l.idle) > 0 {
		c := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if timers.Since(c.lastUsed) < c.idleTimeout && c.healthy() {
			l.mu.Unlock()
			c.reused = true

			return c, nil
		}
		l.open--
		c.close()
	}
	if l.closed {
		l.mu.Unlock()

		return nil, errLinkClosed
	}
	if limit := max(l.pool.connections(l.service), 1); l.open < limit {
		l.open++
		l.mu.Unlock()

		return l.dial(cancel, deadline)
	} else if newConnection && len(l.idle) > 0 {
		// The connection limit is reached: close the oldest idle connection and open the new one in its place.
		c := l.idle[0]
		l.idle = l.idle[1:]
		l.mu.Unlock()
		c.close()

		return l.dial(cancel, deadline)
	}
	if len(l.waiters) >= maxWaiters {
		l.mu.Unlock()

		return nil, errNoConnection
	}
	waiter := make(chan *conn, 1)
	l.waiters = append(l.waiters, waiter)
	l.mu.Unlock()

	timer := time.NewTimer(timers.Until(deadline))
	defer timer.Stop()
	select {
	case c := <-waiter:
		if c == nil {
			return l.dial(cancel, deadline)
		}
		c.reused = true

		return c, nil
	case <-timer.C:
	case <-cancel.doneSignal():
	}
	l.cancelWait(waiter)

	return nil, errNoConnection
}

// cancelWait removes a waiter from the queue. If it has already been assigned a connection, or the right to open one, that is
// passed to the next waiter.
func (l *Link) cancelWait(waiter chan *conn) {
	l.mu.Lock()
	for i, w := range l.waiters {
		if w == waiter {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			l.mu.Unlock()

			return
		}
	}
	l.mu.Unlock()
	if c := <-waiter; c != nil {
		l.release(c)
	} else {
		l.discard(nil)
	}
}

// dial opens a connection that is already counted in l.open. If it fails, the first waiter in the queue may open one instead.
func (l *Link) dial(cancel *Cancel, deadline time.Time) (*conn, error) {
	ctx, stop := context.WithTimeout(context.Background(), min(l.pool.dialTimeout, l.pool.timers.Until(deadline)))
	defer stop()
	if !cancel.attach(closerFunc(stop)) {
		l.discard(nil)

		return nil, errCancelled
	}
	began := l.pool.timers.Now()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", l.address.String())
	l.recordDial(err, began)
	if !cancel.detach() && err == nil {
		_ = netConn.Close()
		err = errCancelled
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.recordEnded()
		}
		l.discard(nil)

		return nil, Error.Wrap(err)
	}

	return l.pool.newConn(netConn), nil
}

func (p *Pool) newConn(netConn net.Conn) *conn {
	allowance := newAllowance(netConn, p.replyMemory)

	return &conn{
		pool:        p,
		Conn:        netConn,
		allowance:   allowance,
		reader:      bufio.NewReaderSize(allowance, readBufferSize),
		lastUsed:    p.timers.Now(),
		idleTimeout: defaultIdleTimeout,
	}
}

// closerFunc adapts a function to io.Closer.
type closerFunc func()

// Close implements io.Closer.
func (f closerFunc) Close() error {
	f()

	return nil
}

// release returns a connection to the link. The first waiter in the queue gets it; without waiters it becomes idle.
func (l *Link) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.open--
		c.close()

		return
	}
	if len(l.waiters) > 0 {
		l.waiters[0] <- c
		l.waiters = l.waiters[1:]

		return
	}
	l.idle = append(l.idle, c)
}

// discard closes c, if it is not nil, and gives up its place within the connection limit. The first waiter in the queue may open
// another connection instead.
func (l *Link) discard(c *conn) {
	if c != nil {
		c.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) > 0 && !l.closed {
		l.waiters[0] <- nil
		l.waiters = l.waiters[1:]

		return
	}
	l.open--
}

// HasIdle reports whether the link has an open connection that no request uses.
func (l *Link) HasIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.idle) > 0
}

// closeIdleSince closes the idle connections that have not completed a response since the given time. It is called when a request
// on a reused connection ends without a response: a cause such as a network partition usually affects all connections that were
// open at the time.
func (l *Link) closeIdleSince(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, c := range l.idle {
		if c.lastUsed.After(since) {
			kept = append(kept, c)

			continue
		}
		l.open--
		c.close()
	}
	l.idle = kept
}
