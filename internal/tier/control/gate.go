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
	// gateMinimum and gateMaximum bound the pause between calls of an instance while the store fails. Each call is paid for, and
	// after the store's return an instance has 4 s at least until it has to be up to date.
	gateMinimum = 50 * time.Millisecond
	gateMaximum = 2 * time.Second
	// wholeCall is the time that a call needs to try a store that may be slow, most of callTimeout.
	wholeCall = 3 * callTimeout / 4
	// gateEager is the longest pause of an instance that cannot serve without an answer.
	gateEager = 400 * time.Millisecond
)

// Gate lets one call of an instance at a time try a store that fails, while the other calls wait. It answers outages and
// rejections of some instances, in which the calls of all parts would otherwise be repeated side by side.
type Gate struct {
	timers *timer.Service
	eager  func() bool

	mu      sync.Mutex
	failing bool
	trying  bool
	pause   time.Duration
	until   time.Time
	changed chan struct{}
}

// NewGate returns a Gate that is open. While eager returns true the pauses stay short.
func NewGate(timers *timer.Service, eager func() bool) *Gate {
	return &Gate{timers: timers, eager: eager, changed: make(chan struct{})}
}

// enter waits until a call may be made. A call that waits for a change is not made to try a store that fails, because it would hold
// up the others for as long as it waits.
func (g *Gate) enter(ctx context.Context, waits bool) error {
	for {
		g.mu.Lock()
		now := g.timers.Now()
		if !g.failing || !waits && !g.trying && !now.Before(g.until) {
			if deadline, ok := ctx.Deadline(); g.failing && ok && deadline.Sub(now) < wholeCall {
				// The wait has used up the time of the call. Its next try has all of it.
				g.mu.Unlock()

				return context.DeadlineExceeded
			}
			g.trying = g.failing
			g.mu.Unlock()

			return nil
		}
		wait, changed := g.until.Sub(now), g.changed
		if g.trying || waits {
			wait = gateMaximum
		}
		g.mu.Unlock()
		select {
		case <-changed:
		case <-g.timers.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leave notes the end of a call.
func (g *Gate) leave(err error, waits bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !waits {
		g.trying = false
	}
	answered := err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrLeaseEnded) || errors.Is(err, ErrForgotten)
	switch {
	case answered:
		g.failing, g.pause = false, 0
	case errors.Is(err, context.Canceled):
		// The call was ended by this instance, which says nothing of the store.
	default:
		g.failing = true
		longest := gateMaximum
		if g.eager() {
			longest = gateEager
		}
		g.pause = min(max(2*g.pause, gateMinimum), longest)
		g.until = g.timers.Now().Add(g.pause/2 + rand.N(g.pause))
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// gated makes a call through the gate.
func gated[T any](ctx context.Context, g *Gate, waits bool, call func() (T, error)) (result T, err error) {
	if err := g.enter(ctx, waits); err != nil {
		return result, err
	}
	result, err = call()
	g.leave(err, waits)

	return result, err
}

// Configurations returns source with its calls through the gate.
func (g *Gate) Configurations(source ConfigurationSource) ConfigurationSource {
	return ConfigurationSource{
		Read: func(ctx context.Context) (Stored, error) {
			return gated(ctx, g, false, func() (Stored, error) { return source.Read(ctx) })
		},
		Wait: func(ctx context.Context, after uint64, wait time.Duration) (Stored, error) {
			return gated(ctx, g, true, func() (Stored, error) { return source.Wait(ctx, after, wait) })
		},
	}
}

// Targets returns source with its calls through the gate.
func (g *Gate) Targets(source TargetSource) TargetSource {
	return TargetSource{List: func(ctx context.Context) (Listed, error) {
		return gated(ctx, g, false, func() (Listed, error) { return source.List(ctx) })
	}}
}

// listing is the result of a call that returns entries and a revision.
type listing struct {
	entries  []Entry
	revision uint64
}

// granted is the result of a call that creates a lease.
type granted struct {
	lease Lease
	ttl   time.Duration
}

// Own returns store with its calls through the gate.
func (g *Gate) Own(store OwnStore) OwnStore {
	return OwnStore{
		Get: func(ctx context.Context, key string) (Entry, uint64, error) {
			l, err := gated(ctx, g, false, func() (listing, error) {
				entry, revision, err := store.Get(ctx, key)

				return listing{entries: []Entry{entry}, revision: revision}, err
			})
			if err != nil {
				return Entry{}, 0, err
			}

			return l.entries[0], l.revision, nil
		},
		List: func(ctx context.Context, prefix string) ([]Entry, uint64, error) {
			l, err := gated(ctx, g, false, func() (l listing, err error) {
				l.entries, l.revision, err = store.List(ctx, prefix)

				return l, err
			})

			return l.entries, l.revision, err
		},
		Wait: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
			l, err := gated(ctx, g, true, func() (l listing, err error) {
				l.entries, l.revision, err = store.Wait(ctx, prefix, after, wait)

				return l, err
			})

			return l.entries, l.revision, err
		},
		Commit: func(ctx context.Context, t Transaction) (uint64, error) {
			return gated(ctx, g, false, func() (uint64, error) { return store.Commit(ctx, t) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error) {
			l, err := gated(ctx, g, false, func() (l granted, err error) {
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
