package fanout

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// flight is one attempt. Its goroutine writes the result and then hands the flight back through the query's queue.
type flight struct {
	query   *query
	round   *round
	shard   *shard
	replica contract.Replica
	id      string
	ctx     attemptContext
	started time.Time
	timeout time.Duration
	kind    kind
	// late is set when the owner of the target has said that the attempt is a straggler.
	late atomic.Bool
	// moves is set when the owner has given the attempt back, not run, for another replica.
	moves bool

	// The result: hits if replied, otherwise outcome and code.
	replied bool
	hits    []target.Hit
	outcome target.Outcome
	code    target.Code

	next *flight
}

// kind says why an attempt is made.
type kind uint8

const (
	first kind = iota
	retry
	hedged
)

// run makes the attempt, unless the query has cancelled it before its goroutine got to run.
func (f *flight) run() {
	defer f.query.queue.push(f)
	if f.ctx.Err() != nil {
		f.outcome, f.code = target.NotRun, target.Cancelled

		return
	}
	e := f.query.engine
	a := f.query.attempt
	a.Replica = f.replica
	a.Query.AttemptID = f.id
	a.Query.Version = f.round.pin.Version
	a.Query.Shard, a.Query.Shards = f.shard.number, f.round.pin.Shards()
	a.Query.Timeout = duration.Duration(f.timeout)
	if f.round.hedging && f.query.engine.HedgeDelay == nil {
		a.Late = f.noteLate
		a.Movable = f.kind == first && len(f.shard.replicas) > 1
	}

	reply, err := e.Run(&f.ctx, a)
	if err == nil {
		// The client has compared the reply as well. A relay between them may be wrong.
		if mismatch := reply.Matches(&a.Query); mismatch != nil {
			e.counters.mismatches.Add(1)
			e.Log.Log(event.TargetMismatch, "Address", f.replica.Address, "RequestID", a.Query.RequestID, "Error", mismatch)
			f.outcome, f.code = target.Unknown, target.Mismatched
		} else {
			f.replied, f.hits = true, reply.Hits
		}
	} else {
		f.fail(err)
	}
}

// noteLate is called by the owner of the target.
func (f *flight) noteLate() {
	f.late.Store(true)
	f.query.queue.signal()
}

// fail records the outcome of an error and passes on what it says about the target. It does so even for attempts that the
// query no longer waits for.
func (f *flight) fail(err error) {
	e := f.query.engine
	f.outcome = target.Unknown
	var failure *target.Failure
	if !errors.As(err, &failure) {
		return
	}
	f.code = failure.Code
	if failure.Outcome != target.NotRun {
		return
	}
	f.outcome = target.NotRun
	switch f.code {
	case target.VersionUnavailable:
		e.Withdraw(f.replica.Address, f.round.pin.Version)
	case target.Waiting:
		f.moves = f.kind == first
	case target.Shed, target.QueueFull:
		if e.Overloaded != nil {
			e.Overloaded(f.query.request.Service)
		}
	}
}

// queue hands finished flights to the query. It never blocks a finished attempt, also when the query is over, and it wakes
// the query once for all flights that have finished since it last looked.
type queue struct {
	head atomic.Pointer[flight]
	wake chan struct{}
}

func (q *queue) push(f *flight) {
	for {
		head := q.head.Load()
		f.next = head
		if q.head.CompareAndSwap(head, f) {
			if head == nil {
				q.signal()
			}

			return
		}
	}
}

// signal makes the query look at its queue and its timers.
func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the finished flights, the first one first.
func (q *queue) take() *flight {
	var ordered *flight
	for f := q.head.Swap(nil); f != nil; {
		next := f.next
		f.next = ordered
		ordered, f = f, next
	}

	return ordered
}
