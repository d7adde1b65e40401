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

// shardAttempt is one attempt to query a shard. Its goroutine sets the result and then returns the attempt through the queue of the
// query.
type shardAttempt struct {
	query   *query
	round   *round
	shard   *shard
	replica contract.Replica
	id      string
	ctx     attemptContext
	started time.Time
	timeout time.Duration
	kind    kind

	// The result: hits if replied is true, otherwise outcome and code. reused reports that the attempt failed on a connection that
	// had served earlier requests.
	replied bool
	hits    []target.Hit
	outcome target.Outcome
	code    target.Code
	reused  bool

	// next is the next attempt in the queue.
	next *shardAttempt
}

// kind is the reason for which an attempt is sent.
type kind uint8

const (
	firstAttempt kind = iota
	retryAttempt
	hedgeAttempt
)

// run sends the attempt, unless the query has cancelled it before its goroutine started.
func (a *shardAttempt) run() {
	defer a.query.queue.push(a)
	if a.ctx.Err() != nil {
		a.outcome, a.code = target.NotRun, target.Cancelled

		return
	}
	e := a.query.engine
	outgoing := a.query.attempt
	outgoing.Replica = a.replica
	outgoing.Query.AttemptID = a.id
	outgoing.Query.Version = a.round.pin.Version
	outgoing.Query.Shard, outgoing.Query.Shards = a.shard.number, a.round.pin.Shards()
	outgoing.Query.Timeout = duration.Duration(a.timeout)

	reply, err := e.Run(&a.ctx, outgoing)
	if err == nil {
		// The client has compared the reply with its request as well, but a relay between the two may have mixed up replies.
		if mismatch := reply.Matches(&outgoing.Query); mismatch != nil {
			e.counters.mismatches.Add(1)
			e.Log.Log(event.TargetMismatch, "Address", a.replica.Address, "RequestID", outgoing.Query.RequestID, "Error", mismatch)
			a.outcome, a.code = target.Unknown, target.Mismatched
		} else {
			a.replied, a.hits = true, reply.Hits
		}
	} else {
		a.fail(err)
	}
}

// fail records the outcome of err and reports a missing version or a lack of capacity of the target to the engine. It does so
// even for attempts that the query no longer waits for.
func (a *shardAttempt) fail(err error) {
	e := a.query.engine
	a.outcome = target.Unknown
	var failure *target.Failure
	if !errors.As(err, &failure) {
		return
	}
	a.code, a.reused = failure.Code, failure.Reused
	if failure.Outcome != target.NotRun {
		return
	}
	a.outcome = target.NotRun
	switch a.code {
	case target.VersionUnavailable:
		e.Withdraw(a.replica.Address, a.round.pin.Version)
	case target.Shed, target.QueueFull:
		if e.Overloaded != nil {
			e.Overloaded(a.query.request.Service)
		}
	}
}

// queue passes finished attempts to the query. It never blocks a finished attempt, even after the query has ended, and it wakes
// the query once for all attempts that have finished since the query last emptied the queue.
type queue struct {
	head atomic.Pointer[shardAttempt]
	wake chan struct{}
}

func (q *queue) push(a *shardAttempt) {
	for {
		head := q.head.Load()
		a.next = head
		if q.head.CompareAndSwap(head, a) {
			if head == nil {
				q.signal()
			}

			return
		}
	}
}

// signal wakes the query, which then processes its queue, sends the hedges that are due and checks whether it may return early.
func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take empties the queue and returns the finished attempts in the order in which they finished.
func (q *queue) take() *shardAttempt {
	var ordered *shardAttempt
	for a := q.head.Swap(nil); a != nil; {
		next := a.next
		a.next = ordered
		ordered, a = a, next
	}

	return ordered
}
