// Package claim makes a non-idempotent request run at most once, although copies of it may reach several instances.
//
// Before any target is contacted, the instance creates Claims/<RequestID> in the platform's store by compare-and-swap.
// Only one copy can create it. The claim stands on a lease, so it vanishes by itself, no earlier than Lifetime after it was
// taken. If the request ends as not run, its claim is released.
//
//	claims := claim.New(timers, claim.WithStore(client))
//	release, err := claims.Take(ctx, request.RequestID)
//	// errors.Is(err, claim.ErrDuplicate): a copy of the request was taken before
//
// A write whose outcome is unknown is settled by repeating it and reading back the token that identifies this claim.
// Only the token proves that the claim is this one's.
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

// The reasons for which a claim is not taken or not released.
var (
	// ErrDuplicate means that another copy of the request has the claim.
	ErrDuplicate = errors.New("a copy of the request was taken before")
	// ErrUnavailable means that the store gave no definite result. The request must not run.
	ErrUnavailable = errors.New("the store cannot say whether a copy of the request runs")
	// ErrLeftBehind means that a claim of a request that did not run may stay in the store, so that a retry needs a new
	// RequestID. It accompanies ErrUnavailable, or is the error of a release.
	ErrLeftBehind = errors.New("a claim may be left behind; a retry needs a new RequestID")
)

// RateError refuses a claim beyond MaxRate. The store was not contacted.
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
	// Lifetime is the shortest time for which a claim that is not released stays in the store. With slice and a margin it makes
	// up the 10 minutes that a lease of the users' platform lasts at most.
	Lifetime = 8 * time.Minute
	// MaxRate is the number of claims that an instance takes within one second. The store takes several hundred writes a
	// second from all instances together.
	MaxRate = 50

	// slice is the time for which new claims share a lease, so that a claim costs one write and not two.
	slice = time.Minute
	// leaseTTL outlasts a claim written at the end of the slice, with a margin for the write itself and for clocks that
	// run at different rates.
	leaseTTL = Lifetime + slice + time.Minute

	// The time between repetitions of a write grows from firstPause to lastPause, so that an outage of the store is not
	// met with a load of repetitions.
	firstPause = 25 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// grantTimeout bounds a grant whatever the store operation does, because it is not bound to one request.
	grantTimeout = 5 * time.Second
)

// Claims takes claims. It is safe for concurrent use.
type Claims struct {
	// The operations of the store, as package platform describes them.
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected uint64, lease control.Lease) (uint64, error)
	Read           func(ctx context.Context, key string) (platform.Entry, error)
	Delete         func(ctx context.Context, key string, expected uint64) error
	GrantLease     func(ctx context.Context, ttl time.Duration) (platform.Lease, error)

	timers *timer.Service
	leases leases
	rate   rate
}

// Option configures Claims.
type Option func(*Claims)

// WithStore makes client the store of the claims.
func WithStore(client *platform.Client) Option {
	return func(c *Claims) {
		c.CompareAndSwap = client.CompareAndSwap
		c.Read = client.Read
		c.Delete = client.Delete
		c.GrantLease = client.GrantLease
	}
}

// New returns Claims. Its store operations must be set, by WithStore or one by one.
func New(timers *timer.Service, options ...Option) *Claims {
	c := &Claims{timers: timers}
	for _, option := range options {
		option(c)
	}

	return c
}

// Take claims requestID. Without an error, the caller alone may run the request until Lifetime has passed, and calls
// release if the request ends as not run. The error of release matches ErrLeftBehind if the claim may stay.
func (c *Claims) Take(ctx context.Context, requestID string) (release func(ctx context.Context) error, err error) {
	defer func() { err = Error.Wrap(err) }()

	key := Prefix + requestID
	if requestID == "" {
		return nil, errors.New("RequestID: must not be empty")
	}
	if err := platform.CheckKey(key); err != nil {
		return nil, fmt.Errorf("RequestID: %w", err)
	}
	if err := c.rate.take(c.timers.Now()); err != nil {
		return nil, err
	}
	// The token must differ between instances whatever their seeds are, so it does not come from a seed.
	a := &attempt{claims: c, key: key, token: rand.Text()}
	if err := a.take(ctx); err != nil {
		return nil, err
	}

	return a.release, nil
}
