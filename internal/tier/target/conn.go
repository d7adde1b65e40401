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
	// readBuffer is the size of a connection's read buffer. A typical response of one shard fits with its headers.
	readBuffer = 2 << 10
	// defaultIdle is the idle timeout of connections to targets that announce none. The targets in production announce 10 s.
	defaultIdle = 8 * time.Second
	// idleShare is the fraction of the target's announced idle timeout for which an idle connection is reused. The remainder is
	// a margin for network and timer delays, so that a request is not sent on a connection that the target is closing.
	idleShare = 0.85
)

var (
	errNoConnection = errors.New("no connection to the target became available in time")
	errCancelled    = errors.New("attempt cancelled")
	errRetired      = errors.New("target removed from the directory or fleet closed")
)

// conn is a connection to a target. It carries one request at a time, without pipelining.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is the time at which the last response was read completely, or at which the connection was opened.
	usedAt time.Time
	limit  time.Duration // idle time after which the connection is no longer reused
	reused bool          // set once the connection has been handed out from the pool
}

func (c *conn) close() {
	_ = c.Close()
}

// sound reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without blocking.
func (c *conn) sound() bool {
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
	mu     sync.Mutex
	done   bool
	closer io.Closer
	wake   chan struct{}
}

// Do cancels the attempt. It closes the attempt's connection, which makes the target drop the request.
func (c *Cancel) Do() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	if c.closer != nil {
		_ = c.closer.Close()
	}
	if c.wake != nil {
		close(c.wake)
	}
}

// Done reports whether Do was called.
func (c *Cancel) Done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.done
}

// hold registers closer to be closed by Do. It returns false and registers nothing if Do was already called.
func (c *Cancel) hold(closer io.Closer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return false
	}
	c.closer = closer

	return true
}

// release removes the registered closer. It returns false if Do was called, which may have closed it.
func (c *Cancel) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closer = nil

	return !c.done
}

// waiter returns a channel that is closed when Do is called.
func (c *Cancel) waiter() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{})
		if c.done {
			close(c.wake)
		}
	}

	return c.wake
}

// acquire returns an idle connection, opens a new one, or, at the connection limit, waits until deadline for one to be released.
// With fresh set, it does not take an idle connection, but a wait may still yield one that was used before.
func (l *Link) acquire(cancel *Cancel, deadline time.Time, fresh bool) (*conn, error) {
	timers := l.fleet.timers
	l.mu.Lock()
	for !fresh && len(l.idle) > 0 {
		c := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if timers.Since(c.usedAt) < c.limit && c.sound() {
			l.mu.Unlock()
			c.reused = true

			return c, nil
		}
		l.open--
		c.close()
	}
	if l.retired {
		l.mu.Unlock()

		return nil, errRetired
	}
	if limit := max(l.fleet.connections(l.service), 1); l.open < limit {
		l.open++
		l.mu.Unlock()

		return l.dial(cancel, deadline)
	} else if fresh && len(l.idle) > 0 {
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
	wait := make(chan *conn, 1)
	l.waiters = append(l.waiters, wait)
	l.mu.Unlock()

	timer := time.NewTimer(timers.Until(deadline))
	defer timer.Stop()
	select {
	case c := <-wait:
		if c == nil {
			return l.dial(cancel, deadline)
		}
		c.reused = true

		return c, nil
	case <-timer.C:
	case <-cancel.waiter():
	}
	l.abandon(wait)

	return nil, errNoConnection
}

// abandon removes a waiter from the queue. If it has already been assigned a connection, or the right to open one, that is passed
// to the next waiter.
func (l *Link) abandon(wait chan *conn) {
	l.mu.Lock()
	for i, w := range l.waiters {
		if w == wait {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			l.mu.Unlock()

			return
		}
	}
	l.mu.Unlock()
	if c := <-wait; c != nil {
		l.put(c)
	} else {
		l.drop(nil)
	}
}

// dial opens a connection that is already counted in l.open. If it fails, the first waiter in the queue may open one instead.
func (l *Link) dial(cancel *Cancel, deadline time.Time) (*conn, error) {
	ctx, stop := context.WithTimeout(context.Background(), min(l.fleet.dialTimeout, l.fleet.timers.Until(deadline)))
	defer stop()
	if !cancel.hold(closeFunc(stop)) {
		l.drop(nil)

		return nil, errCancelled
	}
	inner, err := new(net.Dialer).DialContext(ctx, "tcp", l.address.String())
	if !cancel.release() && err == nil {
		_ = inner.Close()
		err = errCancelled
	}
	if err != nil {
		l.drop(nil)

		return nil, Error.Wrap(err)
	}

	return &conn{
		Conn:   inner,
		reader: bufio.NewReaderSize(inner, readBuffer),
		usedAt: l.fleet.timers.Now(),
		limit:  defaultIdle,
	}, nil
}

// closeFunc adapts a function to io.Closer.
type closeFunc func()

// Close implements io.Closer.
func (f closeFunc) Close() error {
	f()

	return nil
}

// put returns a connection to the pool. The first waiter in the queue gets it; without waiters it becomes idle.
func (l *Link) put(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
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

// drop closes c, if it is not nil, and gives up its place within the connection limit. The first waiter in the queue may open
// another connection instead.
func (l *Link) drop(c *conn) {
	if c != nil {
		c.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) > 0 && !l.retired {
		l.waiters[0] <- nil
		l.waiters = l.waiters[1:]

		return
	}
	l.open--
}

// dropUnproven closes the idle connections that have not completed a response since the given time. It is called when a request
// on a reused connection ends without a response: a cause such as a network partition usually affects all connections that were
// open at the time.
func (l *Link) dropUnproven(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, c := range l.idle {
		if c.usedAt.After(since) {
			kept = append(kept, c)

			continue
		}
		l.open--
		c.close()
	}
	l.idle = kept
}
