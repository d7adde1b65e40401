// Package fanout takes a caller's request from admission to the merged answer.
//
// An Engine pins the request to one index version, asks one replica of each shard, retries and hedges within the budget,
// and merges the replies into an Answer that states its snapshot and coverage:
//
//	engine := &fanout.Engine{Service: lookup, Pin: pin, Choose: choose, Run: dispatcher.Do, ...}
//	answer, err := engine.Answer(ctx, request)
//
// Every error is a *caller.Refusal. Its outcome is NotRun only if each attempt is known not to have run, and Unknown as soon
// as one target may have run its part. A part of a non-idempotent request is sent again only after a NotRun failure.
package fanout

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/policy/budget"
	"github.com/hickorynotch/hickorynotch/internal/policy/hedge"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

const (
	// hopMargin is taken from the remaining time at each hop, for the work of this process.
	hopMargin = 2 * time.Millisecond
	// minimumTimeout is the shortest time for which a target is asked. Targets need 0.5 to 1 ms for a request.
	minimumTimeout = time.Millisecond
	// settleTime bounds the wait for the results of cancelled attempts when no attempt is known to have run. These results
	// decide whether the refusal can say NotRun and the claim can be released.
	settleTime = 2 * time.Millisecond
	// silentFactor is what the age of an attempt is allowed over that of package hedge before it counts as late without a
	// word from the owner of its target. The age includes the wait for a slot, which no hedge shortens by itself.
	silentFactor = 1.5
	// releaseTimeout bounds the deletion of a claim. The store answers in milliseconds.
	releaseTimeout = 100 * time.Millisecond
)

// Engine answers requests. All fields must be set before the first request, except those marked as optional, and not be
// changed afterwards.
type Engine struct {
	// Service looks up the contract of a service.
	Service func(name string) (contract.Service, bool)
	// Pin chooses the index version of a request, above newerThan.
	Pin func(service string, s contract.Service, newerThan uint64) (snapshot.Pin, bool)
	// Choose picks one of replicas that is not in tried. It must not keep tried.
	Choose func(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool)
	// Run runs one attempt. An error that is no *target.Failure counts as Unknown.
	Run func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
	// Claim records the RequestID of a non-idempotent request; release deletes the record. An error that is a
	// *caller.Refusal is passed on, and any other one becomes ClaimUnavailable.
	Claim func(ctx context.Context, requestID string) (release func(context.Context) error, err error)
	// Admit waits for admission; done ends it and says whether the caller got an answer. An error that is a *caller.Refusal
	// is passed on as NotRun, and any other one becomes Overloaded.
	Admit func(ctx context.Context, service string, s contract.Service) (done func(answered bool), err error)
	// Withdraw learns that a target refused a version as unavailable.
	Withdraw func(address netip.AddrPort, version uint64)
	// Overloaded learns that a target or its owner refused an attempt for lack of capacity. Optional.
	Overloaded func(service string)
	// Random returns random bits for identifiers. It must be safe for concurrent use.
	Random func() uint64

	Budget *budget.Budget
	Hedge  *hedge.Hedge
	Timers *timer.Service
	// HedgeDelay, HedgeSpend and HedgeQuorum replace parts of the hedging policy: the age at which an attempt is hedged, what
	// pays for it, and how many of the other shards must have answered before. Optional.
	HedgeDelay  func(service string) (time.Duration, bool)
	HedgeSpend  func(service string, n int) bool
	HedgeQuorum func(shards int) int
	// Hedges replaces the largest number of hedges of a shard, which is maxHedges and cannot be more. Optional.
	Hedges func() int
	// FirstAnswer replaces the time after which a QuickMatch query answers with what it has. Optional.
	FirstAnswer func(s *contract.Service) time.Duration
	// Log is optional.
	Log *event.Log
	// ReturnPath is the time that an answer needs on its way to the caller. It is taken from the deadline.
	ReturnPath time.Duration

	counters counters
}

type counters struct {
	attempts, retries, hedges, hedgeWins, moves, restarts, mismatches, early atomic.Uint64
}

// Statistics counts what an Engine has done since its start.
type Statistics struct {
	// Attempts counts all target requests, and Retries and Hedges those of them that were extra.
	Attempts, Retries, Hedges uint64
	// HedgeWins counts the hedges that replied before the first attempt.
	HedgeWins uint64
	// Moves counts the attempts that an owner gave back before they had a slot, and that went to another replica. At most the
	// first attempt of a shard moves.
	Moves uint64
	// Restarts counts the requests that were restarted on a newer snapshot.
	Restarts uint64
	// Mismatches counts the replies that were discarded because they belong to another attempt.
	Mismatches uint64
	// Early counts the partial answers given at FirstUseful.
	Early uint64
}

// Statistics returns the counts.
func (e *Engine) Statistics() Statistics {
	return Statistics{
		Attempts:   e.counters.attempts.Load(),
		Retries:    e.counters.retries.Load(),
		Hedges:     e.counters.hedges.Load(),
		HedgeWins:  e.counters.hedgeWins.Load(),
		Moves:      e.counters.moves.Load(),
		Restarts:   e.counters.restarts.Load(),
		Mismatches: e.counters.mismatches.Load(),
		Early:      e.counters.early.Load(),
	}
}

// Answer runs r and returns its answer or a *caller.Refusal. When ctx is done, all attempts of r are cancelled.
func (e *Engine) Answer(ctx context.Context, r caller.Request) (caller.Answer, error) {
	began := e.Timers.Now()
	s, ok := e.Service(r.Service)
	if !ok {
		return caller.Answer{}, e.report(&r, refuse(target.NotRun, caller.UnknownService, "no service %q", r.Service))
	}
	if err := check(&r, &s); err != nil {
		return caller.Answer{}, e.report(&r, refuse(target.NotRun, caller.BadRequest, "%v", err))
	}
	if r.RequestID == "" {
		r.RequestID = fmt.Sprintf("%016x%016x", e.Random(), e.Random())
	}
	answer, refusal := e.admit(ctx, &r, &s, began)
	if refusal != nil {
		return caller.Answer{}, e.report(&r, refusal)
	}

	return answer, nil
}

// check returns the faults of r that the contract decides.
func check(r *caller.Request, s *contract.Service) error {
	if err := r.Check(); err != nil {
		return err
	}
	var faults fault.List
	if (r.RequestID == "" || r.Generated) && !s.Idempotent {
		faults.Add("RequestID", "must not be empty, because the service is not idempotent")
	}
	if r.Key == "" && s.Class == contract.OneRecord {
		faults.Add("Key", "must not be empty, because the service reads one record")
	}

	return faults.Err()
}

// admit takes r through admission and claim, and releases the claim if r has not run.
func (e *Engine) admit(
	parent context.Context,
	r *caller.Request,
	s *contract.Service,
	began time.Time,
) (caller.Answer, *caller.Refusal) {
	allowed := s.Deadline.Std()
	if r.Timeout > 0 {
		allowed = min(allowed, r.Timeout.Std())
	}
	end := began.Add(allowed - e.ReturnPath)
	if e.timeout(end, began) < minimumTimeout {
		return caller.Answer{}, refuse(target.NotRun, caller.TooLate, "%s leave no time for a target", allowed)
	}

	// The deadline cancels by the timer service and not by a context deadline, so that a fake clock drives it.
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer e.Timers.AfterFunc(end.Sub(began), cancel)()

	done, err := e.Admit(ctx, r.Service, *s)
	if err != nil {
		refusal := passOn(err, caller.Overloaded)
		refusal.Outcome = target.NotRun

		return caller.Answer{}, refusal
	}
	answered := false
	defer func() { done(answered) }()

	var release func(context.Context) error
	if s.ClaimsInStore() {
		if release, err = e.Claim(ctx, r.RequestID); err != nil {
			return caller.Answer{}, claimRefusal(err)
		}
	}
	answer, refusal := newQuery(ctx, e, r, s, began, end).run(parent)
	answered = refusal == nil
	if refusal != nil && refusal.Outcome == target.NotRun && release != nil {
		e.release(parent, r, refusal, release)
	}

	return answer, refusal
}

// claimRefusal turns the error of a claim into a refusal. Only a duplicate may have run, as another copy. After an error
// of unknown meaning the claim may exist, so the same RequestID cannot be used again.
func claimRefusal(err error) *caller.Refusal {
	refusal := passOn(err, caller.ClaimUnavailable)
	if refusal.Code == caller.Duplicate {
		refusal.Outcome = target.Unknown

		return refusal
	}
	refusal.Outcome = target.NotRun
	var given *caller.Refusal
	if !errors.As(err, &given) {
		refusal.NewRequestID = true
	}

	return refusal
}

// release deletes the claim of r. It does so even when the caller is gone, because the caller may send r again.
func (e *Engine) release(
	ctx context.Context,
	r *caller.Request,
	refusal *caller.Refusal,
	release func(context.Context) error,
) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer e.Timers.AfterFunc(releaseTimeout, cancel)()
	if err := release(ctx); err != nil {
		refusal.NewRequestID = true
		e.Log.Log(event.ClaimNotReleased, "RequestID", r.RequestID, "Service", r.Service, "Error", err)
	}
}

// report completes a refusal and logs it where operators need to know.
func (e *Engine) report(r *caller.Request, refusal *caller.Refusal) *caller.Refusal {
	refusal.RequestID, refusal.Service = r.RequestID, r.Service
	switch {
	case refusal.Code == caller.Duplicate:
		e.Log.Log(event.RequestDuplicate, "RequestID", r.RequestID, "Service", r.Service)
	case refusal.Outcome == target.Unknown:
		e.Log.Log(event.RequestUnknown, "RequestID", r.RequestID, "Service", r.Service, "Code", refusal.Code, "Reason", refusal.Message)
	}

	return refusal
}

// hedgeDelay returns the age at which an attempt of service is hedged, and false if it is not. The owner of the target tells
// earlier of an attempt that is late; the age is for owners that cannot.
func (e *Engine) hedgeDelay(service string) (time.Duration, bool) {
	if e.HedgeDelay != nil {
		return e.HedgeDelay(service)
	}

	delay, ok := e.Hedge.Delay(service)

	return time.Duration(silentFactor * float64(delay)), ok
}

// hedgeSpend reports whether n hedges of service are paid for.
func (e *Engine) hedgeSpend(service string, n int) bool {
	if e.HedgeSpend != nil {
		return e.HedgeSpend(service, n)
	}

	return e.Budget.Spend(service, n)
}

// hedgeQuorum returns how many shards must have answered before the rest is hedged: 80% of the other shards.
func (e *Engine) hedgeQuorum(shards int) int {
	if e.HedgeQuorum != nil {
		return e.HedgeQuorum(shards)
	}

	return ((shards-1)*4 + 4) / 5
}

// hedges returns the largest number of hedges of a shard.
func (e *Engine) hedges() int {
	if e.Hedges != nil {
		return min(e.Hedges(), maxHedges)
	}

	return maxHedges
}

// firstAnswer returns the time after which a request of s answers with what it has.
func (e *Engine) firstAnswer(s *contract.Service) time.Duration {
	if e.FirstAnswer != nil {
		return e.FirstAnswer(s)
	}

	return s.FirstAnswer()
}

// timeout returns the time that a target has if it is asked now.
func (e *Engine) timeout(end, now time.Time) time.Duration {
	return end.Sub(now) - hopMargin
}

func refuse(outcome target.Outcome, code caller.Code, format string, args ...any) *caller.Refusal {
	return &caller.Refusal{Outcome: outcome, Code: code, Message: fmt.Sprintf(format, args...)}
}

// passOn returns a copy of the refusal in err, or a refusal with the given code if err holds none.
func passOn(err error, code caller.Code) *caller.Refusal {
	var given *caller.Refusal
	if errors.As(err, &given) {
		refusal := *given

		return &refusal
	}

	return refuse(target.NotRun, code, "%v", err)
}

// shardOf returns the shard that holds key.
func shardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// isDone reports whether ctx is done. It does not call Err, which blocks on an unfinished context of a fake clock.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
