// Package claim ensures that a non-idempotent request runs at most once, even if copies of it reach several instances.
//
// Before any target is contacted, the instance creates Claims/<RequestID> in the platform's store by compare-and-swap.
// Only one copy can create the key. The key is attached to a lease, so the store deletes it when the lease expires, which is no
// earlier than Lifetime after the claim was created. If the request ends without having run, its claim is released.
//
//	claims := claim.New(timers, claim.WithStore(client))
//	release, err := claims.Take(ctx, request.RequestID)
//	// errors.Is(err, claim.ErrDuplicate): another copy of the request has the claim
//
// A write with an unknown outcome is repeated. If the key then exists, its value is compared with the random token of this claim.
// Only an equal token proves that the key was written by this claim.
package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// Error is the class of the errors of this package.
var Error = errs.Class("claim")

// The errors of a claim that was not created or not released.
var (
	// ErrDuplicate means that another copy of the request has the claim.
	ErrDuplicate = errors.New("a copy of the request was taken before")
	// ErrUnavailable means that the store gave no definite result. The request must not run.
	ErrUnavailable = errors.New("the store cannot say whether a copy of the request runs")
	// ErrLeftBehind means that the claim of a request that did not run may remain in the store, so that a retry needs a new
	// RequestID. It is returned together with ErrUnavailable, or by a release.
	ErrLeftBehind = errors.New("a claim may be left behind; a retry needs a new RequestID")
)

// RateError is the error of a claim that exceeds MaxRate. The store was not contacted.
type RateError struct {
	// RetryAfter is the time after which a claim is possible again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateError) Error() string {
	return fmt.Sprintf("over %d claims a second, possible again in %s", MaxRate, e.RetryAfter)
}

const (
	// Prefix is the prefix of the keys of claims.
	Prefix = "Claims/"
	// Lifetime is the minimum time for which a claim that is not released remains in the store. The sum of Lifetime, leaseSharing
	// and a margin of one minute is 10 minutes, the longest lease that the users' platform grants.
	Lifetime = 8 * time.Minute
	// MaxRate is the maximum number of claims of an instance within one second. The store handles several hundred writes per
	// second from all instances together.
	MaxRate = 50

	// leaseSharing is the time for which new claims use the same lease, so that a claim requires one store operation and not two.
	leaseSharing = time.Minute
	// leaseTTL covers the lifetime of a claim that is written at the end of leaseSharing. The margin of one minute is for the write
	// itself and for clocks that run at different rates.
	leaseTTL = Lifetime + leaseSharing + time.Minute

	// The delay between repetitions of a store operation doubles from minBackoff to maxBackoff, so that repetitions do not overload
	// a store that has failed.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// grantTimeout limits the request for a lease. Several claims wait for the same request, so it is not bound to the deadline
	// of one of them.
	grantTimeout = 5 * time.Second
)

// Claims creates claims in the store. It is safe for concurrent use.
type Claims struct {
	// The operations of the store. Package wire/platform documents them.
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected uint64, lease control.Lease) (uint64, error)
	Read           func(ctx context.Context, key string) (platform.Entry, error)
	Delete         func(ctx context.Context, key string, expected uint64) error
	GrantLease     func(ctx context.Context, ttl time.Duration) (platform.Lease, error)

	timers *timer.Service
	leases leases
	rate   rateLimit
}

// Option configures Claims.
type Option func(*Claims)

// WithStore sets the store operations to those of client.
func WithStore(client *platform.Client) Option {
	return func(c *Claims) {
		c.CompareAndSwap = client.CompareAndSwap
		c.Read = client.Read
		c.Delete = client.Delete
		c.GrantLease = client.GrantLease
	}
}

// New returns Claims. The store operations must be set with WithStore or one by one.
func New(timers *timer.Service, options ...Option) *Claims {
	c := &Claims{timers: timers}
	for _, option := range options {
		option(c)
	}

	return c
}

// Take claims requestID. If it returns no error, no other copy of the request can be claimed until Lifetime has passed, and the
// caller of Take must call release if the request ends without having run. The error of release matches ErrLeftBehind if the claim
// may remain in the store.
func (c *Claims) Take(ctx context.Context, requestID string) (release func(ctx context.Context) error, err error) {
	defer func() { err = Error.Wrap(err) }()

	key := Prefix + requestID
	if requestID == "" {
		return nil, errors.New("RequestID: must not be empty")
	}
	if err := platform.CheckKey(key); err != nil {
		return nil, fmt.Errorf("RequestID: %w", err)
	}
	if err := c.rate.allow(c.timers.Now()); err != nil {
		return nil, err
	}
	// The token must differ between instances even if they have the same seed, so it is not derived from a seed.
	a := &claimAttempt{claims: c, key: key, token: rand.Text()}
	if err := a.create(ctx); err != nil {
		return nil, err
	}

	return a.release, nil
}
