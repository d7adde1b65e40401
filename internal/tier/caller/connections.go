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
	// sweepPeriod is the time between two looks at the connections. Callers stay a fifth below the idle timeout, and the shortest
	// of the users' configurations is 15 s.
	sweepPeriod = time.Second
	// defaultIdleTimeout holds where the configuration gives no limit, or none is known. It protects from callers that open
	// connections and send nothing.
	defaultIdleTimeout = time.Minute
)

// Connections closes callers' connections that are idle for longer than the configuration in force allows. The limits of an
// http.Server are fixed at its start, while a configuration may change them at any time.
//
// A connection counts as idle until the headers of a request are whole, so the same limit bounds headers that never end.
type Connections struct {
	limits func() route.Limits
	timers *timer.Service

	mu   sync.Mutex
	open map[net.Conn]*connection
}

// connection is what a caller's connection is doing: it serves a request, or has been idle since a moment.
type connection struct {
	mu      sync.Mutex
	serving bool
	since   time.Time
}

type connectionKey struct{}

// NewConnections returns a Connections that keeps to the limits that limits returns.
func NewConnections(limits func() route.Limits, timers *timer.Service) *Connections {
	return &Connections{limits: limits, timers: timers, open: make(map[net.Conn]*connection)}
}

// Attach makes server report its connections. It is called before the server starts.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState = c.changed
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c.add(conn))
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if of, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			of.set(true, c.timers.Now())
		}
		handler.ServeHTTP(w, r)
	})
}

// Run closes connections until ctx ends.
func (c *Connections) Run(ctx context.Context) error {
	ticks := c.timers.Subscribe(sweepPeriod)
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

func (c *Connections) add(conn net.Conn) *connection {
	added := &connection{since: c.timers.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = added

	return added
}

func (c *Connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if of := c.open[conn]; of != nil {
			of.set(false, c.timers.Now())
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

func (c *Connections) sweep(now time.Time) {
	limit := c.limits().IdleTimeout
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, of := range c.open {
		if of.idle(now) > limit {
			// The server reports the connection as closed afterwards, which removes it.
			_ = conn.Close()
		}
	}
}

func (c *connection) set(serving bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.since = serving, now
}

// idle returns how long the connection has been idle.
func (c *connection) idle(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		return 0
	}

	return now.Sub(c.since)
}
