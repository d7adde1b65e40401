package target

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// endedCheckTimeout is the time limit for the check whether the process of a target has ended.
	endedCheckTimeout = 100 * time.Millisecond
	// endedValidity is the time for which the result of that check holds. A process that has ended is back after some seconds.
	endedValidity = 100 * time.Millisecond
	// restartTime is the time for which a target that has ended counts as not back, unless its entry has changed since.
	restartTime = 4 * time.Second
)

// connectionLost reports whether an exchange failed because the connection ended.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// hasEnded reports whether the target's process has ended: no process listens at its address. A lost connection alone does not say so. A
// connection that could be opened for the check is kept.
func (l *Link) hasEnded(deadline time.Time) bool {
	timers := l.pool.timers
	l.mu.Lock()
	known := !l.endedAt.IsZero() && timers.Since(l.endedAt) < endedValidity
	l.mu.Unlock()
	timeout := min(endedCheckTimeout, timers.Until(deadline))
	if known || timeout <= 0 {
		return known
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", l.address.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.recordEnded()

		return true
	}
	if err == nil {
		l.keepConn(netConn)
	}

	return false
}

// recordEnded records that no process listens at the target's address.
func (l *Link) recordEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedAt = l.pool.timers.Now()
}

// Process identifies the target's process.
func (l *Link) Process() string {
	t := l.Target()
	if t.Started.IsZero() {
		return t.ID
	}

	return t.ID + "@" + t.Started.UTC().Format(time.RFC3339Nano)
}

// EndedRecently reports whether the target's process has ended so recently, as far as this instance knows, that another one may not be back.
func (l *Link) EndedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.endedAt.IsZero() && l.pool.timers.Since(l.endedAt) < restartTime
}
