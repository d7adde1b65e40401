// Package slots limits how many requests a target runs at a time.
//
// Only the owner of a target sends to it and keeps its limit and one bounded queue, so the limit is exact without consensus
// between instances. The queue is ordered by worth, then by deadline:
//
//	table := slots.NewTable(timers)
//	reply, err := table.Run(ctx, a, func(ctx context.Context) (target.Reply, error) {
//		return client.Query(ctx, a.Replica.Address, &a.Query)
//	})
//
// The limit is between 1 and the slots of the contract. It is halved when the target sheds a request and grows with each
// success. For a short time, instances may disagree on the owner of a target; the target then sheds and the limits fall.
//
// The variants Split and Adaptive have no owner. They exist for comparison in the benchmark.
package slots

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

const (
	// defaultQueue is 16 times the largest number of slots in use, far more requests than can run within a deadline.
	defaultQueue = 64
	// defaultTargets is more than the 3,200 replicas expected in two years.
	defaultTargets = 4096
)

// Table holds the limits and queues of targets. It is safe for concurrent use. Function fields must be set before the first
// use. They are called without a lock held.
type Table struct {
	// OnDelay is called with the time that each request spent in a queue, which is 0 if it ran at once. For a request that is
	// refused because of the length of the queue, it is called with the expected time in the queue: otherwise admission would
	// see no delay for a queue that refuses most requests.
	OnDelay func(service string, delay time.Duration)
	// OnBound is called when a bound refuses or evicts a request: "Queue" or "Targets".
	OnBound func(bound string)

	timers     *timer.Service
	log        *event.Log
	maxQueue   int
	maxTargets int
	variant    Variant

	mu      sync.Mutex
	targets map[netip.AddrPort]*limiter // at most maxTargets
	seq     uint64
}

// Option configures a Table.
type Option func(*Table)

// WithQueue bounds the queue of each target.
func WithQueue(n int) Option { return func(t *Table) { t.maxQueue = max(0, n) } }

// WithTargets bounds the number of targets. A target that was evicted starts again with the first limit of the variant; for
// Owner, that is the slots of the contract.
func WithTargets(n int) Option { return func(t *Table) { t.maxTargets = max(1, n) } }

// WithVariant sets how the limit of a target is determined. The default is Owner.
func WithVariant(v Variant) Option { return func(t *Table) { t.variant = v } }

// WithLog makes the Table log each halving of a limit.
func WithLog(log *event.Log) Option { return func(t *Table) { t.log = log } }

// NewTable returns an empty Table.
func NewTable(timers *timer.Service, options ...Option) *Table {
	t := &Table{
		timers:     timers,
		maxQueue:   defaultQueue,
		maxTargets: defaultTargets,
		variant:    Owner(),
		targets:    make(map[netip.AddrPort]*limiter),
	}
	for _, option := range options {
		option(t)
	}

	return t
}

// Run calls run once a slot of the target of a is free. It may refuse the attempt with a *target.Failure of outcome NotRun and
// one of these codes:
//   - TooLate: the attempt cannot end before its deadline.
//   - QueueFull: the queue is full of attempts that precede this one, an attempt that precedes it evicted it from the queue, or
//     the table is full and all its targets are in use.
//   - Cancelled: ctx was cancelled while the attempt was queued.
func (t *Table) Run(
	ctx context.Context,
	a attempt.Attempt,
	run func(ctx context.Context) (target.Reply, error),
) (target.Reply, error) {
	p, err := t.enter(ctx, &a)
	if p.boundReached != "" && t.OnBound != nil {
		t.OnBound(p.boundReached)
	}
	delay := p.expectedDelay
	if err == nil {
		delay, err = t.wait(ctx, p.limiter, p.waiter)
	}
	if p.limiter != nil && t.OnDelay != nil {
		t.OnDelay(a.Query.Service, delay)
	}
	if err != nil {
		return target.Reply{}, err
	}

	started := t.timers.Now()
	err = errPanicked
	defer func() { t.leave(&a, p.limiter, started, err) }()
	reply, err := run(ctx)

	return reply, err
}

// errPanicked is the error that leave gets when run panics.
var errPanicked = errors.New("run did not return")

// QueueDelay returns the moving average of the time in the queue of a target, or the time that its oldest queued request has
// waited if that is longer. It returns 0 for a target without requests.
func (t *Table) QueueDelay(address netip.AddrPort) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[address]
	if l == nil || l.idle() {
		return 0
	}
	delay := l.meanDelay
	for _, w := range l.waiting {
		delay = max(delay, t.timers.Since(w.enqueuedAt))
	}

	return delay
}

// Limit returns the largest number of requests that may run on the target at a time, or 0 for an unknown target.
func (t *Table) Limit(address netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[address]; l != nil {
		return int(l.limit)
	}

	return 0
}

// enterResult says which limiter a request belongs to, and how enter refused it.
type enterResult struct {
	limiter       *limiter
	waiter        *waiter
	boundReached  string        // "Queue", "Targets" or empty
	expectedDelay time.Duration // the expected time in the queue of a request that is not run at once
}

// Waiting returns the length of the queue of the target.
func (t *Table) Waiting(address netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[address]; l != nil {
		return len(l.waiting)
	}

	return 0
}

// enter assigns a slot to a, queues it or refuses it.
func (t *Table) enter(ctx context.Context, a *attempt.Attempt) (p enterResult, err error) {
	now := t.timers.Now()
	deadline, hasDeadline := ctx.Deadline()
	if hasDeadline && !now.Before(deadline) {
		return p, refuse(target.TooLate, "the deadline has passed")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limiter(a.Replica.Address)
	if l == nil {
		p.boundReached = "Targets"
		return p, refuse(target.QueueFull, "all targets in the table are in use")
	}
	l.setCeiling(t.variant.ceiling(max(1, a.Slots)), t.variant)
	l.lastUsed = now
	t.seq++
	w := &waiter{
		worth:       a.Worth,
		deadline:    deadline,
		hasDeadline: hasDeadline,
		sequence:    t.seq,
		enqueuedAt:  now,
		result:      make(chan error, 1),
	}
	p.limiter, p.waiter = l, w
	if l.free() && len(l.waiting) == 0 {
		l.inFlight++
		l.observeDelay(0)
		w.result <- nil
		return p, nil
	}
	at := l.queueIndex(w)
	p.expectedDelay = l.expectedDelay(at)
	if hasDeadline && now.Add(p.expectedDelay+l.meanServiceTime).After(deadline) {
		return p, refuse(target.TooLate, "the queue leaves no time to run before the deadline")
	}
	if len(l.waiting) >= t.maxQueue {
		p.boundReached = "Queue"
		if at >= len(l.waiting) {
			return p, refuse(target.QueueFull, "the queue is full")
		}
		l.evictLast()
	}
	l.insert(at, w)
	// If the ceiling has risen, a slot may be free although requests are queued.
	l.dispatch(now)

	return p, nil
}

// wait blocks until w has a slot, is refused or ctx is done, and returns the time in the queue.
func (t *Table) wait(ctx context.Context, l *limiter, w *waiter) (time.Duration, error) {
	select {
	case err := <-w.result:
		if err != nil || ctx.Err() == nil {
			return t.timers.Since(w.enqueuedAt), err
		}
		t.mu.Lock()
		t.release(l)
		t.mu.Unlock()
	case <-ctx.Done():
		t.mu.Lock()
		if !l.remove(w) {
			// w was assigned a slot or refused in the meantime.
			if err := <-w.result; err == nil {
				t.release(l)
			}
		}
		t.mu.Unlock()
	}
	delay := t.timers.Since(w.enqueuedAt)
	if errors.Is(ctx.Err(), context.Canceled) {
		return delay, refuse(target.Cancelled, "cancelled in the queue")
	}

	return delay, refuse(target.TooLate, "the deadline passed in the queue")
}

// release frees a slot and assigns it to the next queued request. t.mu must be held.
func (t *Table) release(l *limiter) {
	l.inFlight--
	l.dispatch(t.timers.Now())
}

// leave frees the slot of a run that ended with err and adapts the limit.
func (t *Table) leave(a *attempt.Attempt, l *limiter, started time.Time, err error) {
	now := t.timers.Now()
	t.mu.Lock()
	halved := false
	var failure *target.Failure
	switch {
	case err == nil:
		l.observeServiceTime(now.Sub(started))
		if t.variant.adaptive {
			l.raise(started)
		}
	case errors.As(err, &failure) && failure.Code == target.Shed:
		halved = t.variant.adaptive && l.halve(started, now)
	case errors.As(err, &failure) && failure.Outcome == target.Unknown && failure.Code != target.Cancelled:
		// A request without an answer, such as one that timed out, occupied its slot as well.
		l.observeServiceTime(now.Sub(started))
	}
	limit := int(l.limit)
	l.lastUsed = now
	t.release(l)
	t.mu.Unlock()

	if halved {
		t.log.Log(event.TargetLimitHalved, "Address", a.Replica.Address, "Service", a.Query.Service, "Limit", limit)
	}
}

// limiter returns the limiter of a target, which may be new. If the table is full, the least recently used idle target is
// evicted for it; if none is idle, limiter returns nil. t.mu must be held.
func (t *Table) limiter(address netip.AddrPort) *limiter {
	if l := t.targets[address]; l != nil {
		return l
	}
	if len(t.targets) >= t.maxTargets {
		var oldest netip.AddrPort
		var found *limiter
		for address, l := range t.targets {
			if l.idle() && (found == nil || l.lastUsed.Before(found.lastUsed)) {
				oldest, found = address, l
			}
		}
		if found == nil {
			return nil
		}
		delete(t.targets, oldest)
	}
	l := &limiter{}
	t.targets[address] = l

	return l
}

func refuse(code target.Code, message string) *target.Failure {
	return &target.Failure{Outcome: target.NotRun, Code: code, Message: message}
}
