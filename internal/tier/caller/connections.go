package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// sweepInterval is the interval between checks for idle connections. It is short enough because callers stop reusing a
	// connection after four fifths of the idle timeout, and the shortest timeout in the users' configurations is 15 s.
	sweepInterval = time.Second
	// defaultIdleTimeout applies if the configuration sets no limit or no configuration is known. It protects against callers that
	// open connections and send nothing.
	defaultIdleTimeout = time.Minute
)

// Connections closes callers' connections that have been idle for longer than the configuration in force allows. It replaces the
// timeouts of http.Server, which are fixed when the server starts, whereas a configuration may change them at any time.
//
// A connection counts as idle until the headers of a request are complete, so the idle timeout also limits the time to send them, unless
// the configuration has a limit for that and the connection keeps it, as those of package inbound do.
type Connections struct {
	limits func() route.Limits
	timers *timer.Service

	mu   sync.Mutex
	open map[net.Conn]*connection
}

// connection is the state of a caller's connection, either serving a request or idle, and the time of its last change.
type connection struct {
	mu      sync.Mutex
	serving bool
	since   time.Time
}

type connectionKey struct{}

// NewConnections returns a Connections that calls limits at each check for the limits in force.
func NewConnections(limits func() route.Limits, timers *timer.Service) *Connections {
	return &Connections{limits: limits, timers: timers, open: make(map[net.Conn]*connection)}
}

// Attach makes c track the connections of server. It must be called before the server starts.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState = c.handleState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c.track(conn))
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if state, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			state.setServing(true, c.timers.Now())
		}
		handler.ServeHTTP(w, r)
	})
}

// Run closes idle connections until ctx is done.
func (c *Connections) Run(ctx context.Context) error {
	ticks := c.timers.Subscribe(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			c.sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Connections) track(conn net.Conn) *connection {
	tracked := &connection{since: c.timers.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = tracked

	return tracked
}

func (c *Connections) handleState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if tracked := c.open[conn]; tracked != nil {
			tracked.setServing(false, c.timers.Now())
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

func (c *Connections) sweep(now time.Time) {
	limits := c.limits()
	limit := limits.IdleTimeout
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.open {
		if limits.HeaderTimeout > 0 && isReadingHead(conn) {
			continue
		}
		if tracked.idleTime(now) > limit {
			// The server then reports StateClosed, which removes the connection from c.open.
			_ = conn.Close()
		}
	}
}

// isReadingHead reports whether the connection limits the time for a head by itself, and is reading one.
func isReadingHead(conn net.Conn) bool {
	reading, ok := conn.(interface{ ReadingHead() bool })

	return ok && reading.ReadingHead()
}

func (c *connection) setServing(serving bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.since = serving, now
}

// idleTime returns how long the connection has been idle, 0 while it serves a request.
func (c *connection) idleTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		return 0
	}

	return now.Sub(c.since)
}
