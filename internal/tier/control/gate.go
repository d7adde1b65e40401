package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// minimumProbeDelay and maximumProbeDelay bound the delay between the calls of an instance while the store fails. A failed
	// call has a cost too, so the delay grows. After the store's recovery, an instance has at least 4 s until it has to be up to
	// date, which limits the maximum.
	minimumProbeDelay = 50 * time.Millisecond
	maximumProbeDelay = 2 * time.Second
	// minimumProbeTime is the time that must remain before the deadline of a call for it to probe the store. It is most of
	// callTimeout, so that a slow store has time to answer.
	minimumProbeTime = 3 * callTimeout / 4
	// maximumUrgentProbeDelay replaces maximumProbeDelay in an instance that cannot serve before the store has answered.
	maximumUrgentProbeDelay = 400 * time.Millisecond
)

// Gate is a circuit breaker for the store calls of an instance. While the store fails, it lets one call at a time through as a
// probe, and the other calls wait. Without it, all components would retry in parallel during an outage, or while the store rejects
// the calls of some instances.
type Gate struct {
	timers   *timer.Service
	isUrgent func() bool

	mu           sync.Mutex
	failing      bool
	probing      bool
	probeDelay   time.Duration
	nextProbe    time.Time
	stateChanged chan struct{}
}

// NewGate returns a Gate that lets all calls through until one fails. While isUrgent returns true, the delay between probes is at
// most maximumUrgentProbeDelay before jitter instead of maximumProbeDelay.
func NewGate(timers *timer.Service, isUrgent func() bool) *Gate {
	return &Gate{timers: timers, isUrgent: isUrgent, stateChanged: make(chan struct{})}
}

// acquire blocks until a call may be made. A long poll is never the probe of a failing store, because the other calls would
// be blocked for as long as it lasts.
func (g *Gate) acquire(ctx context.Context, longPoll bool) error {
	for {
		g.mu.Lock()
		now := g.timers.Now()
		if !g.failing || !longPoll && !g.probing && !now.Before(g.nextProbe) {
			if deadline, ok := ctx.Deadline(); g.failing && ok && deadline.Sub(now) < minimumProbeTime {
				// Waiting has used up most of the call's time. Fail here, so that the retry can probe with a full timeout.
				g.mu.Unlock()

				return context.DeadlineExceeded
			}
			g.probing = g.failing
			g.mu.Unlock()

			return nil
		}
		wait, stateChanged := g.nextProbe.Sub(now), g.stateChanged
		if g.probing || longPoll {
			wait = maximumProbeDelay
		}
		g.mu.Unlock()
		select {
		case <-stateChanged:
		case <-g.timers.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release records the result of a call and wakes the calls that wait. Any answer of the store, including a conflict, a rejection and a part of
// a listing, shows that the store works again.
func (g *Gate) release(err error, longPoll bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !longPoll {
		g.probing = false
	}
	answered := err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrLeaseEnded) || errors.Is(err, ErrCompacted) ||
		errors.Is(err, ErrOthersChanged) || errors.Is(err, ErrRestored) || errors.Is(err, ErrRejected) || errors.Is(err, ErrIncomplete)
	switch {
	case answered:
		g.failing, g.probeDelay = false, 0
	case errors.Is(err, context.Canceled):
		// This instance cancelled the call, so the result says nothing about the store.
	default:
		g.failing = true
		maximum := maximumProbeDelay
		if g.isUrgent() {
			maximum = maximumUrgentProbeDelay
		}
		g.probeDelay = min(max(2*g.probeDelay, minimumProbeDelay), maximum)
		g.nextProbe = g.timers.Now().Add(g.probeDelay/2 + rand.N(g.probeDelay))
	}
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// gated runs call through the gate. The flag longPoll marks a long poll.
func gated[T any](ctx context.Context, g *Gate, longPoll bool, call func() (T, error)) (result T, err error) {
	if err := g.acquire(ctx, longPoll); err != nil {
		return result, err
	}
	result, err = call()
	g.release(err, longPoll)

	return result, err
}

// Configurations returns a copy of source whose calls pass the gate.
func (g *Gate) Configurations(source ConfigurationSource) ConfigurationSource {
	return ConfigurationSource{
		Decode: source.Decode, ReadsZones: source.ReadsZones,
		Read: func(ctx context.Context) (ConfigurationResult, error) {
			return gated(ctx, g, false, func() (ConfigurationResult, error) { return source.Read(ctx) })
		},
		Wait: func(ctx context.Context, after uint64, wait time.Duration) (ConfigurationResult, error) {
			return gated(ctx, g, true, func() (ConfigurationResult, error) { return source.Wait(ctx, after, wait) })
		},
	}
}

// Targets returns a copy of source whose calls pass the gate.
func (g *Gate) Targets(source TargetSource) TargetSource {
	return TargetSource{List: func(ctx context.Context) (Listed, error) {
		return gated(ctx, g, false, func() (Listed, error) { return source.List(ctx) })
	}}
}

// entryList is the result of a call that returns entries and a revision.
type entryList struct {
	entries  []Entry
	revision uint64
}

// grantedLease is the result of a call that creates a lease.
type grantedLease struct {
	lease Lease
	ttl   time.Duration
}

// KeyValueStore returns a copy of store whose calls pass the gate, except for End.
func (g *Gate) KeyValueStore(store KeyValueStore) KeyValueStore {
	return KeyValueStore{
		Generation: store.Generation,
		Get: func(ctx context.Context, key string) (Entry, uint64, error) {
			l, err := gated(ctx, g, false, func() (entryList, error) {
				entry, revision, err := store.Get(ctx, key)

				return entryList{entries: []Entry{entry}, revision: revision}, err
			})
			if err != nil {
				return Entry{}, 0, err
			}

			return l.entries[0], l.revision, nil
		},
		List: func(ctx context.Context, prefix string) ([]Entry, uint64, error) {
			l, err := gated(ctx, g, false, func() (l entryList, err error) {
				l.entries, l.revision, err = store.List(ctx, prefix)

				return l, err
			})

			return l.entries, l.revision, err
		},
		Wait: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
			l, err := gated(ctx, g, true, func() (l entryList, err error) {
				l.entries, l.revision, err = store.Wait(ctx, prefix, after, wait)

				return l, err
			})

			return l.entries, l.revision, err
		},
		Commit: func(ctx context.Context, t Transaction) (uint64, error) {
			return gated(ctx, g, false, func() (uint64, error) { return store.Commit(ctx, t) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error) {
			l, err := gated(ctx, g, false, func() (l grantedLease, err error) {
				l.lease, l.ttl, err = store.Grant(ctx, ttl)

				return l, err
			})

			return l.lease, l.ttl, err
		},
		Renew: func(ctx context.Context, lease Lease) error {
			_, err := gated(ctx, g, false, func() (Lease, error) { return lease, store.Renew(ctx, lease) })

			return err
		},
		End: store.End,
	}
}
