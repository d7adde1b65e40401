package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// claimAttempt is the state of the claim for one copy of a request.
type claimAttempt struct {
	claims *Claims
	key    string
	token  string
	// lease is the lease of the earliest write that may have taken effect. version is the version of the key.
	lease   requestedLease
	version uint64
	// unsettled counts the writes with an unknown outcome. Such a write may take effect even after the claim was deleted.
	unsettled int
}

func (a *claimAttempt) create(ctx context.Context) error {
	b := backoff{timers: a.claims.timers}
	for leaseLapsed := false; ; {
		settled, err := a.write(ctx)
		if settled {
			return err
		}
		switch {
		case errors.Is(err, platform.ErrUnknown):
			a.unsettled++
		case errors.Is(err, platform.ErrLeaseLapsed) && !leaseLapsed:
			// The store lost the lease before its TTL had passed, and nothing was written. A new lease is tried once.
			leaseLapsed = true

			continue
		}
		if a.unsettled == 0 {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if b.wait(ctx) != nil {
			return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrLeftBehind, err)
		}
	}
}

// write tries once to create the claim. If settled is true, err is the final result of the claim. If settled is false, the
// outcome is unknown or nothing was written.
func (a *claimAttempt) write(ctx context.Context) (settled bool, err error) {
	c := a.claims
	lease, err := c.leases.current(ctx, c)
	if err != nil {
		// A grant writes no claim, so a grant with an unknown outcome must not be counted as a write with an unknown outcome.
		return false, fmt.Errorf("lease: %v", err) //nolint:errorlint // callers must not match the error of the grant
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
			a.lease = requestedLease{}
		}
	}

	return false, err
}

// readBack reads the key that caused the conflict of a repeated write, and compares its value with the token.
func (a *claimAttempt) readBack(ctx context.Context) (settled bool, err error) {
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
	// One of the writes with an unknown outcome has created the key.
	a.unsettled--

	return true, a.checkLifetime(ctx)
}

// checkLifetime releases the claim and returns an error if the lease may expire within Lifetime. This happens if the process was
// paused after it had selected the lease and before the write.
func (a *claimAttempt) checkLifetime(ctx context.Context) error {
	if a.claims.timers.Since(a.lease.requested) <= a.lease.TTL-Lifetime {
		return nil
	}
	if err := a.release(ctx); err != nil {
		return fmt.Errorf("%w: the lease is too old: %w", ErrUnavailable, err)
	}

	return fmt.Errorf("%w: the lease is too old", ErrUnavailable)
}

// release deletes the claim. The store never reuses a version, so a conflict means that this claim no longer exists.
func (a *claimAttempt) release(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	for b := (backoff{timers: a.claims.timers}); ; {
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
		if b.wait(ctx) != nil {
			return fmt.Errorf("%w: %w", ErrLeftBehind, err)
		}
	}
}

// backoff computes and waits for the delays between repetitions of a store operation.
type backoff struct {
	timers *timer.Service
	next   time.Duration
}

// wait waits for the next delay. It returns an error if ctx is done first.
func (b *backoff) wait(ctx context.Context) error {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	over := make(chan struct{})
	stop := b.timers.AfterFunc(b.next, func() { close(over) })
	defer stop()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
