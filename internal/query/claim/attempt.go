package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// attempt is the claim of one copy of a request.
type attempt struct {
	claims *Claims
	key    string
	token  string
	// lease is the first lease that the claim was written on, and version its version in the store.
	lease   held
	version uint64
	// unsettled counts the writes of unknown outcome. Such a write may still take effect after the claim was deleted.
	unsettled int
}

func (a *attempt) take(ctx context.Context) error {
	p := pause{timers: a.claims.timers}
	for lapsed := false; ; {
		settled, err := a.write(ctx)
		if settled {
			return err
		}
		switch {
		case errors.Is(err, platform.ErrUnknown):
			a.unsettled++
		case errors.Is(err, platform.ErrLeaseLapsed) && !lapsed:
			// The store lost the lease before its time, and nothing was written. The next lease is tried once.
			lapsed = true

			continue
		}
		if a.unsettled == 0 {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if p.wait(ctx) != nil {
			return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrLeftBehind, err)
		}
	}
}

// write tries once to create the claim. If settled is false, the outcome is not known or nothing was written.
func (a *attempt) write(ctx context.Context) (settled bool, err error) {
	c := a.claims
	lease, err := c.leases.current(ctx, c)
	if err != nil {
		// A grant writes no claim, so its own unknown outcome leaves none behind.
		return false, fmt.Errorf("lease: %v", err) //nolint:errorlint // the reason of a grant must not match here
	}
	if a.lease.ID == 0 {
		a.lease = lease
	}
	a.version, err = c.CompareAndSwap(ctx, a.key, []byte(a.token), 0, lease.ID)
	switch {
	case err == nil:
		return true, a.checkLifetime(ctx)
	case errors.Is(err, platform.ErrConflict) && a.unsettled > 0:
		return a.readBack(ctx)
	case errors.Is(err, platform.ErrConflict):
		return true, ErrDuplicate
	case errors.Is(err, platform.ErrLeaseLapsed):
		c.leases.drop(lease.ID)
		if a.unsettled == 0 {
			a.lease = held{}
		}
	}

	return false, err
}

// readBack finds out whose claim a repeated write met.
func (a *attempt) readBack(ctx context.Context) (settled bool, err error) {
	entry, err := a.claims.Read(ctx, a.key)
	switch {
	case err != nil:
		return false, err
	case entry.Version == 0:
		return false, errors.New("the claim that was met is gone")
	case string(entry.Value) != a.token:
		return true, ErrDuplicate
	}
	a.version = entry.Version
	// One of the writes is the one that was read.
	a.unsettled--

	return true, a.checkLifetime(ctx)
}

// checkLifetime gives the claim up if its lease may lapse within Lifetime, which happens if the process was paused
// between choosing the lease and writing.
func (a *attempt) checkLifetime(ctx context.Context) error {
	if a.claims.timers.Since(a.lease.requested) <= a.lease.TTL-Lifetime {
		return nil
	}
	if err := a.release(ctx); err != nil {
		return fmt.Errorf("%w: the lease is too old: %w", ErrUnavailable, err)
	}

	return fmt.Errorf("%w: the lease is too old", ErrUnavailable)
}

// release deletes the claim. Versions of the store are not used twice, so a conflict means that this claim is gone.
func (a *attempt) release(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	for p := (pause{timers: a.claims.timers}); ; {
		err := a.claims.Delete(ctx, a.key, a.version)
		switch {
		case err == nil || errors.Is(err, platform.ErrConflict):
			if a.unsettled > 0 {
				return fmt.Errorf("%w: a write of unknown outcome may still take effect", ErrLeftBehind)
			}

			return nil
		case !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, platform.ErrUnavailable):
			return fmt.Errorf("%w: %w", ErrLeftBehind, err)
		}
		if p.wait(ctx) != nil {
			return fmt.Errorf("%w: %w", ErrLeftBehind, err)
		}
	}
}

// pause spaces the repetitions of a store operation.
type pause struct {
	timers *timer.Service
	next   time.Duration
}

// wait returns an error if ctx ends first.
func (p *pause) wait(ctx context.Context) error {
	p.next = min(max(2*p.next, firstPause), lastPause)
	over := make(chan struct{})
	stop := p.timers.AfterFunc(p.next, func() { close(over) })
	defer stop()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
