package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// held is a lease with the time before it was requested. The store counts its time from a later moment.
type held struct {
	platform.Lease
	requested time.Time
}

// leases keeps the lease of the present slice. At most one grant is under way at a time.
type leases struct {
	mu     sync.Mutex
	held   held
	flight *flight
}

type flight struct {
	done  chan struct{}
	lease held
	err   error
}

// current returns the lease of the present slice, or a new one for the slice that begins.
func (l *leases) current(ctx context.Context, c *Claims) (held, error) {
	l.mu.Lock()
	if age := c.timers.Since(l.held.requested); l.held.ID != 0 && age < slice {
		defer l.mu.Unlock()

		return l.held, nil
	}
	f := l.flight
	if f == nil {
		f = &flight{done: make(chan struct{})}
		l.flight = f
		// The grant serves all claims that wait for it, so it is not cancelled with the first of them.
		go l.grant(context.WithoutCancel(ctx), c, f)
	}
	l.mu.Unlock()

	select {
	case <-f.done:
		return f.lease, f.err
	case <-ctx.Done():
		return held{}, ctx.Err()
	}
}

func (l *leases) grant(ctx context.Context, c *Claims, f *flight) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.timers.AfterFunc(grantTimeout, cancel)
	defer stop()

	requested := c.timers.Now()
	lease, err := c.GrantLease(ctx, leaseTTL)
	if err == nil && lease.TTL < Lifetime+slice {
		err = fmt.Errorf("the store grants a lease of %s, a claim needs %s", lease.TTL, Lifetime+slice)
	}

	l.mu.Lock()
	defer l.mu.Unlock()
	f.lease, f.err = held{Lease: lease, requested: requested}, err
	if err == nil {
		l.held = f.lease
	}
	l.flight = nil
	close(f.done)
}

// drop forgets a lease that the store does not know any more.
func (l *leases) drop(id control.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.ID == id {
		l.held = held{}
	}
}
