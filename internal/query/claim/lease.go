package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// requestedLease is a lease with the time at which it was requested. The store counts the TTL from a later time, so the lease does
// not expire before requested plus TTL.
type requestedLease struct {
	platform.Lease
	requested time.Time
}

// leases stores the lease that new claims share. At most one request for a lease is in progress at a time.
type leases struct {
	mu      sync.Mutex
	shared  requestedLease
	pending *pendingGrant
}

// pendingGrant is a request for a lease that is in progress. lease and err are set before done is closed.
type pendingGrant struct {
	done  chan struct{}
	lease requestedLease
	err   error
}

// current returns the shared lease, or requests a new one if there is none or leaseSharing has passed since it was requested.
func (l *leases) current(ctx context.Context, c *Claims) (requestedLease, error) {
	l.mu.Lock()
	if age := c.timers.Since(l.shared.requested); l.shared.ID != 0 && age < leaseSharing {
		defer l.mu.Unlock()

		return l.shared, nil
	}
	g := l.pending
	if g == nil {
		g = &pendingGrant{done: make(chan struct{})}
		l.pending = g
		// The grant serves all claims that wait for it, so it is not cancelled when the ctx of the first one is done.
		go l.grant(context.WithoutCancel(ctx), c, g)
	}
	l.mu.Unlock()

	select {
	case <-g.done:
		return g.lease, g.err
	case <-ctx.Done():
		return requestedLease{}, ctx.Err()
	}
}

func (l *leases) grant(ctx context.Context, c *Claims, g *pendingGrant) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.timers.AfterFunc(grantTimeout, cancel)
	defer stop()

	requested := c.timers.Now()
	lease, err := c.GrantLease(ctx, leaseTTL)
	if err == nil && lease.TTL < Lifetime+leaseSharing {
		err = fmt.Errorf("the store grants a lease of %s, a claim needs %s", lease.TTL, Lifetime+leaseSharing)
	}

	l.mu.Lock()
	defer l.mu.Unlock()
	g.lease, g.err = requestedLease{Lease: lease, requested: requested}, err
	if err == nil {
		l.shared = g.lease
	}
	l.pending = nil
	close(g.done)
}

// drop removes the shared lease if it is lease id, which the store has reported as lapsed.
func (l *leases) drop(id control.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shared.ID == id {
		l.shared = requestedLease{}
	}
}
