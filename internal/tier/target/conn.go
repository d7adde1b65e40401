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
	// readBuffer holds a typical part with its headers.
	readBuffer = 2 << 10
	// defaultIdle is how long a connection is kept without use if the target names no limit. The users' targets name 10 s.
	defaultIdle = 8 * time.Second
	// idleShare is the share of the idle time named by the target after which a connection is not used any more. The rest
	// covers the delay of the network and of timers.
	idleShare = 0.85
)

var (
	errNoConnection = errors.New("no connection to the target became free in time")
	errCancelled    = errors.New("the attempt was cancelled")
	errRetired      = errors.New("the target is gone")
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is when the last response ended, or when the connection was opened.
	usedAt time.Time
	limit  time.Duration // longest idle time
	reused bool
}

func (c *conn) close() {
	_ = c.Close()
}

// sound reports whether an idle connection is still open and carries no unread bytes.
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

// Cancel ends attempts from another goroutine. The zero value is ready to use.
type Cancel struct {
	mu     sync.Mutex
	done   bool
	closer io.Closer
	wake   chan struct{}
}

// Do ends the attempt. Its connection is closed, which makes the target drop the request.
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

// hold makes Do close closer. It reports false if Do was called before.
func (c *Cancel) hold(closer io.Closer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return false
	}
	c.closer = closer

	return true
}

// release takes the connection back. It reports false if Do has closed it.
func (c *Cancel) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closer = nil

	return !c.done
}

// waiter returns a channel that is closed by Do.
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

// acquire returns a connection: an idle one, a new one, or the next that becomes free before deadline.
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
		// A new connection takes the place of an idle one.
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

// abandon takes a waiter out of the queue. A connection that it was given in the meantime goes on to the next.
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

// closeFunc makes a cancel function an io.Closer.
type closeFunc func()

// Close implements io.Closer.
func (f closeFunc) Close() error {
	f()

	return nil
}

// put makes a connection available again, first to an attempt that waits.
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

// drop closes a connection. An attempt that waits opens another in its place.
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

// dropUnproven closes the idle connections that have carried no response since the given time. What silenced one
// connection usually silenced all that were open.
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
