// Package slots limits how many requests a target runs at a time.
//
// The owner of a target keeps its limit and one bounded queue, so the limit is exact without an agreement between
// instances. The queue is ordered by worth, then by deadline:
//
//	table := slots.NewTable(timers)
//	reply, err := table.Run(ctx, a, func(ctx context.Context) (target.Reply, error) {
//		return client.Query(ctx, a.Replica.Address, &a.Query)
//	})
//
// The limit is halved when the target sheds and grows step by step on success, from 1 up to the slots of the contract.
// A movable request that waits for longer than half the time after which a request in a slot is late is given back, not run,
// so that its sender asks another replica. At most one request in 20 of a target is.
//
// Owner views may differ for a short time, and shedding then corrects the limit.
//
// Split and Adaptive are the variants without an owner, for comparison in the bench.
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
	// defaultQueue is 16 times the largest number of slots in use, far more than can be served within a deadline.
	defaultQueue = 64
	// defaultTargets is above the 3,200 replicas expected in two years.
	defaultTargets = 4096
)

// Table holds the limits and queues of targets. It is safe for concurrent use. Function fields are set before the first
// use and are called without a lock held.
type Table struct {
	// OnDelay is called with the time that each request spent in a queue, 0 for one that ran at once, and with the time
	// that it would have spent there for one that the queue refuses. Otherwise a queue that refuses most requests would
	// look idle to admission.
	OnDelay func(service string, delay time.Duration)
	// Late returns the time in a slot after which an attempt is told that it is late, if it asks for that. Optional.
	Late func(service string) (time.Duration, bool)
	// OnHeld is called with the time that a request held a slot, if it ran; ended is false for one that was cancelled. Optional.
	OnHeld func(service string, held time.Duration, ended bool)
	// OnBound is called when a bound refuses or evicts a request: "Queue" or "Targets".
	OnBound func(bound string)

	timers  *timer.Service
	log     *event.Log
	queue   int
	bound   int
	variant Variant

	mu      sync.Mutex
	targets map[netip.AddrPort]*limiter // bounded by bound
	seq     uint64
}

// Option configures a Table.
type Option func(*Table)

// WithQueue bounds the queue of each target.
func WithQueue(n int) Option { return func(t *Table) { t.queue = max(0, n) } }

// WithTargets bounds the number of targets. The limit of a target that was evicted starts from the contract's slots.
func WithTargets(n int) Option { return func(t *Table) { t.bound = max(1, n) } }

// WithVariant sets how the limit of a target is found; the default is Owner.
func WithVariant(v Variant) Option { return func(t *Table) { t.variant = v } }

// WithLog sets the log for halved limits.
func WithLog(log *event.Log) Option { return func(t *Table) { t.log = log } }

// NewTable returns an empty Table.
func NewTable(timers *timer.Service, options ...Option) *Table {
	t := &Table{
		timers:  timers,
		queue:   defaultQueue,
		bound:   defaultTargets,
		variant: Owner(),
		targets: make(map[netip.AddrPort]*limiter),
	}
	for _, option := range options {
		option(t)
	}

	return t
}

// Run calls run when a slot of the target of a is free. It refuses the attempt with a *target.Failure, not run, when the
// attempt cannot run in time (TooLate), when the queue holds nothing of lower worth (QueueFull), or when ctx is cancelled
// in the queue (Cancelled).
func (t *Table) Run(
	ctx context.Context,
	a attempt.Attempt,
	run func(ctx context.Context) (target.Reply, error),
) (target.Reply, error) {
	p, err := t.enter(ctx, &a)
	if p.bound != "" && t.OnBound != nil {
		t.OnBound(p.bound)
	}
	delay := p.expected
	if err == nil {
		delay, err = t.wait(ctx, &a, p.limiter, p.waiter)
	}
	if p.limiter != nil && t.OnDelay != nil {
		t.OnDelay(a.Query.Service, delay)
	}
	if err != nil {
		return target.Reply{}, err
	}

	started := t.timers.Now()
	if a.Late != nil && t.Late != nil {
		if late, ok := t.Late(a.Query.Service); ok {
			defer t.timers.AfterFunc(late, a.Late)()
		}
	}
	err = errPanicked
	defer func() { t.leave(&a, p.limiter, started, err) }()
	reply, err := run(ctx)

	return reply, err
}

// errPanicked stands for the result of a run that did not return.
var errPanicked = errors.New("run did not return")

// QueueDelay returns the recent time in the queue of a target, and at least that of its longest waiting request.
func (t *Table) QueueDelay(address netip.AddrPort) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[address]
	if l == nil || l.idle() {
		return 0
	}
	delay := l.delay
	for _, w := range l.waiting {
		delay = max(delay, t.timers.Since(w.entered))
	}

	return delay
}

// Limit returns the number of requests that the target runs at a time, 0 for an unknown target.
func (t *Table) Limit(address netip.AddrPort) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[address]; l != nil {
		return int(l.limit)
	}

	return 0
}

// place is where enter put a request.
type place struct {
	limiter  *limiter
	waiter   *waiter
	bound    string        // the bound that was reached
	expected time.Duration // the time in the queue of a refused request
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

// enter takes a slot or a place in the queue for a.
func (t *Table) enter(ctx context.Context, a *attempt.Attempt) (p place, err error) {
	now := t.timers.Now()
	deadline, limited := ctx.Deadline()
	if limited && !now.Before(deadline) {
		return p, refuse(target.TooLate, "the deadline has passed")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limiter(a.Replica.Address)
	if l == nil {
		p.bound = "Targets"
		return p, refuse(target.QueueFull, "all targets in the table are in use")
	}
	l.adjust(t.variant.ceiling(max(1, a.Slots)), t.variant)
	l.used = now
	l.moves = min(l.moves+moveShare, maxMoves)
	t.seq++
	w := &waiter{
		worth:    a.Worth,
		deadline: deadline,
		limited:  limited,
		seq:      t.seq,
		entered:  now,
		result:   make(chan error, 1),
	}
	p.limiter, p.waiter = l, w
	if l.free() && len(l.waiting) == 0 {
		l.inFlight++
		l.observeDelay(0)
		w.result <- nil
		return p, nil
	}
	at := l.place(w)
	p.expected = l.expected(at)
	if limited && now.Add(p.expected+l.mean).After(deadline) {
		return p, refuse(target.TooLate, "the queue leaves no time to run before the deadline")
	}
	if len(l.waiting) >= t.queue {
		p.bound = "Queue"
		if at >= len(l.waiting) {
			return p, refuse(target.QueueFull, "the queue is full")
		}
		l.evictLast()
	}
	l.insert(at, w)
	// A raised ceiling can leave a slot free while requests wait.
	l.dispatch(now)

	return p, nil
}

// wait blocks until w has a slot or is refused or given back, and returns the time in the queue.
func (t *Table) wait(ctx context.Context, a *attempt.Attempt, l *limiter, w *waiter) (time.Duration, error) {
	if a.Movable && t.Late != nil && len(w.result) == 0 {
		if late, ok := t.Late(a.Query.Service); ok {
			defer t.timers.AfterFunc(late/2, func() {
				t.mu.Lock()
				defer t.mu.Unlock()
				if l.move(w) {
					w.result <- refuse(target.Waiting, "no slot was free in time, and another replica may have one")
				}
			})()
		}
	}
	select {
	case err := <-w.result:
		if err != nil || ctx.Err() == nil {
			return t.timers.Since(w.entered), err
		}
		t.mu.Lock()
		t.release(l)
		t.mu.Unlock()
	case <-ctx.Done():
		t.mu.Lock()
		if !l.remove(w) {
			// Granted or refused in the meantime.
			if err := <-w.result; err == nil {
				t.release(l)
			}
		}
		t.mu.Unlock()
	}
	delay := t.timers.Since(w.entered)
	if errors.Is(ctx.Err(), context.Canceled) {
		return delay, refuse(target.Cancelled, "cancelled in the queue")
	}

	return delay, refuse(target.TooLate, "the deadline passed in the queue")
}

// release frees a slot. t.mu is held.
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
		l.observeTime(now.Sub(started))
		if t.variant.adapts {
			l.raise(started)
		}
	case errors.As(err, &failure) && failure.Code == target.Shed:
		halved = t.variant.adapts && l.halve(started, now)
	case errors.As(err, &failure) && failure.Outcome == target.Unknown && failure.Code != target.Cancelled:
		// A request that timed out held its slot for that time as well.
		l.observeTime(now.Sub(started))
	}
	limit := int(l.limit)
	l.used = now
	t.release(l)
	t.mu.Unlock()

	if t.OnHeld != nil && (err == nil || failure != nil && failure.Outcome == target.Unknown) {
		t.OnHeld(a.Query.Service, now.Sub(started), failure == nil || failure.Code != target.Cancelled)
	}
	if halved {
		t.log.Log(event.TargetLimitHalved, "Address", a.Replica.Address, "Service", a.Query.Service, "Limit", limit)
	}
}

// limiter returns the limiter of a target, and makes room for a new one by forgetting the idle target that was unused for
// the longest time. It returns nil when none is idle. t.mu is held.
func (t *Table) limiter(address netip.AddrPort) *limiter {
	if l := t.targets[address]; l != nil {
		return l
	}
	if len(t.targets) >= t.bound {
		var oldest netip.AddrPort
		var found *limiter
		for address, l := range t.targets {
			if l.idle() && (found == nil || l.used.Before(found.used)) {
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
