package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// defaultTimeout bounds a call. The store answers in milliseconds; a call that takes this long is lost.
	defaultTimeout = 2 * time.Second
	// watchWait is the time after which a watch without a change is answered, below the 30 s that the users' store allows, and
	// defaultWatchTimeout bounds a watch that is not.
	watchWait           = 28 * time.Second
	defaultWatchTimeout = 45 * time.Second
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	store        control.KeyValueStore
	targets      control.TargetSource
	timers       *timer.Service
	log          *event.Log
	timeout      time.Duration
	watchTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds each call but watches.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(c *Client) { c.log = log }
}

// NewClient returns a client of the store and of the targets that are registered with the platform.
func NewClient(store control.KeyValueStore, targets control.TargetSource, timers *timer.Service, options ...Option) *Client {
	c := &Client{
		store: store, targets: targets, timers: timers, timeout: defaultTimeout, watchTimeout: defaultWatchTimeout,
	}
	for _, option := range options {
		option(c)
	}

	return c
}

// Generation returns the highest generation of the store that a response has shown, as control.KeyValueStore does.
func (c *Client) Generation() uint64 { return c.store.Generation() }

// Read returns the entry of key. An absent key has version 0.
func (c *Client) Read(ctx context.Context, key string) (entry Entry, err error) {
	defer func() { err = annotate("read", key, err) }()
	if err := CheckKey(key); err != nil {
		return Entry{}, err
	}
	err = c.call(ctx, c.timeout, func(ctx context.Context) error {
		found, _, err := c.store.Get(ctx, key)
		entry = entryOf(&found)

		return unavailable(err)
	})

	return entry, err
}

// Watch returns the entry of key as soon as its version exceeds after. If that does not happen within a time that the
// platform allows, it returns the entry as it is.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (entry Entry, err error) {
	defer func() { err = annotate("watch", key, err) }()
	if err := CheckKey(key); err != nil {
		return Entry{}, err
	}
	err = c.call(ctx, c.watchTimeout, func(ctx context.Context) error {
		from := after
		if after == 0 {
			found, revision, err := c.store.Get(ctx, key)
			if err != nil || !found.Deleted {
				entry = entryOf(&found)

				return unavailable(err)
			}
			from = revision
		}
		changes, _, err := c.store.Wait(ctx, key, from, watchWait)
		if err != nil && !errors.Is(err, control.ErrCompacted) {
			return unavailable(err)
		}
		for i := len(changes) - 1; i >= 0; i-- {
			if changes[i].Key == key {
				entry = entryOf(&changes[i])

				return nil
			}
		}
		found, _, err := c.store.Get(ctx, key)
		entry = entryOf(&found)

		return unavailable(err)
	})

	return entry, err
}

// CompareAndSwap writes value under key if the version of key is expected, where 0 means absent, and returns the new
// version. With a lease, the key vanishes when the lease lapses.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
) (version uint64, err error) {
	defer func() { err = annotate("compare-and-swap", key, err) }()
	if err := CheckKey(key); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value: has %d bytes, at most %d are accepted", len(value), MaxValueBytes)
	}

	return c.commit(ctx, control.Transaction{
		Expect: map[string]uint64{key: expected}, Puts: []control.Put{{Key: key, Value: value, Lease: lease}},
	})
}

// Delete deletes key if its version is expected.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) (err error) {
	defer func() { err = annotate("delete", key, err) }()
	if err := CheckKey(key); err != nil {
		return err
	}
	_, err = c.commit(ctx, control.Transaction{Expect: map[string]uint64{key: expected}, Deletes: []string{key}})

	return err
}

func (c *Client) commit(ctx context.Context, t control.Transaction) (revision uint64, err error) {
	err = c.call(ctx, c.timeout, func(ctx context.Context) (err error) {
		revision, err = c.store.Commit(ctx, t)

		return outcome(err)
	})

	return revision, err
}

// GrantLease returns a new lease. The platform may grant another time than ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	defer func() { err = annotate("grant lease", "", err) }()
	err = c.call(ctx, c.timeout, func(ctx context.Context) (err error) {
		lease.ID, lease.TTL, err = c.store.Grant(ctx, ttl)

		return outcome(err)
	})

	return lease, err
}

// List returns the instances and targets that are registered with the platform. Entries that name no process are left out.
func (c *Client) List(ctx context.Context) (listed []Listed, err error) {
	defer func() { err = annotate("list", "", err) }()
	err = c.call(ctx, c.timeout, func(ctx context.Context) error {
		targets, err := c.targets.List(ctx)
		if err != nil {
			return unavailable(err)
		}
		if n := len(targets.Faults); n > 0 {
			c.log.Log(event.TargetRejected, "Entries", n, "Error", targets.Faults[0])
		}
		for _, t := range targets.Targets {
			state := Live
			if t.Draining {
				state = Leaving
			}
			listed = append(listed, Listed{
				Name: t.ID, Kind: Target, Address: t.Address, AvailabilityZone: zone.Zone(t.AvailabilityZone), State: state,
			})
		}
		instances, err := control.Instances(ctx, c.store, c.log)
		for _, i := range instances {
			listed = append(listed, Listed{
				Name: i.Name, Kind: EntryInstance, Address: i.Peer, AvailabilityZone: zone.Zone(i.AvailabilityZone), State: Live,
			})
		}

		return unavailable(err)
	})

	return listed, err
}

// call makes a call within a time. The deadline of ctx is on the clock of the timer service, which the calls' connections do not
// know, so only its end is passed on.
func (c *Client) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })()
	defer c.timers.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })()

	return f(detached)
}

func entryOf(e *control.Entry) Entry {
	if e.Deleted {
		return Entry{Key: e.Key}
	}

	return Entry{Key: e.Key, Value: e.Value, Version: e.Revision}
}

// unavailable returns the error of a read, which has no effect whatever became of it.
func unavailable(err error) error {
	if err == nil {
		return nil
	}

	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// outcome returns the error of a write by what it says of the effect.
func outcome(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, control.ErrConflict):
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, control.ErrLeaseEnded):
		return fmt.Errorf("%w: %w", ErrLeaseLapsed, err)
	case errors.Is(err, control.ErrNoEffect):
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}

// annotate says which operation failed.
func annotate(operation, key string, err error) error {
	if err == nil {
		return nil
	}
	if key != "" {
		return Error.Wrap(fmt.Errorf("%s %q: %w", operation, key, err))
	}

	return Error.Wrap(fmt.Errorf("%s: %w", operation, err))
}
