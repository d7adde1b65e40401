// Package fanout processes a caller's request from admission to the merged answer.
//
// An Engine pins the request to one index version, queries one replica of each shard, sends retries and hedges within the retry
// budget, and merges the replies into an Answer that states its snapshot and coverage:
//
//	engine := &fanout.Engine{Service: lookup, Pin: pin, Choose: choose, Run: dispatcher.Do, ...}
//	answer, err := engine.Answer(ctx, request)
//
// Every error is a *caller.Refusal. Its outcome is NotRun only if every attempt is known not to have run, and Unknown if
// at least one target may have run an attempt. An attempt of a non-idempotent request is retried only after a NotRun failure.
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
	// hopMargin is subtracted from the remaining time at each hop. It covers the processing time of this process.
	hopMargin = 2 * time.Millisecond
	// minimumTimeout is the shortest timeout with which an attempt is sent. Targets need 0.5 to 1 ms for a request.
	minimumTimeout = time.Millisecond
	// cancelledWait limits the wait for the results of cancelled attempts while every result so far is NotRun. These results
	// decide whether the outcome of the refusal is NotRun and the claim can be released.
	cancelledWait = 2 * time.Millisecond
	// releaseTimeout limits the deletion of a claim. The store answers in milliseconds.
	releaseTimeout = 100 * time.Millisecond
)

// Engine answers requests. All fields that are not marked as optional must be set before the first request. No field may be
// changed afterwards.
type Engine struct {
	// Service looks up the contract of a service.
	Service func(name string) (contract.Service, bool)
	// Pin selects the index version of a request. The version must be greater than newerThan.
	Pin func(service string, s contract.Service, newerThan uint64) (snapshot.Pin, bool)
	// Choose selects one of replicas that is not in tried. It must not retain tried.
	Choose func(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool)
	// Run runs one attempt. An error that is not a *target.Failure counts as Unknown.
	Run func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
	// Claim records the RequestID of a non-idempotent request; release deletes the record. An error that is a
	// *caller.Refusal is returned to the caller; any other error becomes ClaimUnavailable.
	Claim func(ctx context.Context, requestID string) (release func(context.Context) error, err error)
	// Admit waits until the request is admitted. done is called when an admitted request ends; answered reports whether the
	// caller got an answer. An error that is a *caller.Refusal is returned to the caller with the outcome NotRun; any other
	// error becomes Overloaded.
	Admit func(ctx context.Context, service string, s contract.Service) (done func(answered bool), err error)
	// Withdraw is called when a target has refused an attempt because it does not have the version.
	Withdraw func(address netip.AddrPort, version uint64)
	// Overloaded is called when a target or its owner has refused an attempt for lack of capacity. Optional.
	Overloaded func(service string)
	// Random returns random bits for identifiers. It must be safe for concurrent use.
	Random func() uint64

	Budget *budget.Budget
	Hedge  *hedge.Hedge
	Timers *timer.Service
	// HedgeDelay, HedgeSpend and HedgeQuorum replace parts of the hedging policy: the age at which an attempt is hedged, the
	// budget that the hedge is charged to, and the number of shards that must have answered before hedging starts. Optional.
	HedgeDelay  func(service string) (time.Duration, bool)
	HedgeSpend  func(service string, n int) bool
	HedgeQuorum func(shards int) int
	// Hedges returns the maximum number of hedges of a shard. The default is maxHedges, and a higher value has no effect. Optional.
	Hedges func() int
	// FirstAnswer replaces the time after which a QuickMatch query may return a partial answer. Optional.
	FirstAnswer func(s *contract.Service) time.Duration
	// Log is optional.
	Log *event.Log
	// ReturnPath is the time that an answer needs to reach the caller. It is subtracted from the deadline.
	ReturnPath time.Duration

	counters counters
}

type counters struct {
	attempts, retries, hedges, hedgeWins, restarts, mismatches, early atomic.Uint64
}

// Statistics counts what an Engine has done since its start.
type Statistics struct {
	// Attempts counts all requests to targets. Retries and Hedges count the extra requests among them.
	Attempts, Retries, Hedges uint64
	// HedgeWins counts the shards whose first reply came from a hedge.
	HedgeWins uint64
	// Restarts counts the requests that were restarted on a newer snapshot.
	Restarts uint64
	// Mismatches counts the replies that were discarded because they do not match their attempt.
	Mismatches uint64
	// Early counts the partial answers returned at or after FirstUseful and before the deadline.
	Early uint64
}

// Statistics returns the current counts.
func (e *Engine) Statistics() Statistics {
	return Statistics{
		Attempts:   e.counters.attempts.Load(),
		Retries:    e.counters.retries.Load(),
		Hedges:     e.counters.hedges.Load(),
		HedgeWins:  e.counters.hedgeWins.Load(),
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
		return caller.Answer{}, e.completeRefusal(&r, refuse(target.NotRun, caller.UnknownService, "no service %q", r.Service))
	}
	if err := checkRequest(&r, &s); err != nil {
		return caller.Answer{}, e.completeRefusal(&r, refuse(target.NotRun, caller.BadRequest, "%v", err))
	}
	if r.RequestID == "" {
		r.RequestID = fmt.Sprintf("%016x%016x", e.Random(), e.Random())
	}
	answer, refusal := e.admit(ctx, &r, &s, began)
	if refusal != nil {
		return caller.Answer{}, e.completeRefusal(&r, refusal)
	}

	return answer, nil
}

// checkRequest validates r, including the fields that are required by the contract s.
func checkRequest(r *caller.Request, s *contract.Service) error {
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

// admit waits for admission, claims the RequestID if the service requires it, and runs r. It releases the claim if r has not run.
func (e *Engine) admit(
	parent context.Context,
	r *caller.Request,
	s *contract.Service,
	began time.Time,
) (caller.Answer, *caller.Refusal) {
	timeLimit := s.Deadline.Std()
	if r.Timeout > 0 {
		timeLimit = min(timeLimit, r.Timeout.Std())
	}
	end := began.Add(timeLimit - e.ReturnPath)
	if e.attemptTimeout(end, began) < minimumTimeout {
		return caller.Answer{}, refuse(target.NotRun, caller.TooLate, "%s leave no time for a target", timeLimit)
	}

	// The deadline is a timer of the timer service and not a context deadline, so that tests can control it with a fake clock.
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer e.Timers.AfterFunc(end.Sub(began), cancel)()

	done, err := e.Admit(ctx, r.Service, *s)
	if err != nil {
		refusal := refusalOf(err, caller.Overloaded)
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

// claimRefusal converts the error of a claim into a refusal. The outcome is Unknown only for a duplicate, because the other copy
// of the request may have run. After an error that is not a refusal the claim may exist, so a retry needs a new RequestID.
func claimRefusal(err error) *caller.Refusal {
	refusal := refusalOf(err, caller.ClaimUnavailable)
	if refusal.Code == caller.Duplicate {
		refusal.Outcome = target.Unknown

		return refusal
	}
	refusal.Outcome = target.NotRun
	var original *caller.Refusal
	if !errors.As(err, &original) {
		refusal.NewRequestID = true
	}

	return refusal
}

// release deletes the claim of r. The cancellation of ctx is ignored, because a caller that disconnected may send r again.
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

// completeRefusal sets the RequestID and Service of a refusal. It logs duplicates and requests with an unknown outcome.
func (e *Engine) completeRefusal(r *caller.Request, refusal *caller.Refusal) *caller.Refusal {
	refusal.RequestID, refusal.Service = r.RequestID, r.Service
	switch {
	case refusal.Code == caller.Duplicate:
		e.Log.Log(event.RequestDuplicate, "RequestID", r.RequestID, "Service", r.Service)
	case refusal.Outcome == target.Unknown:
		e.Log.Log(event.RequestUnknown, "RequestID", r.RequestID, "Service", r.Service, "Code", refusal.Code, "Reason", refusal.Message)
	}

	return refusal
}

// hedgeDelay returns the age at which an attempt of service is hedged. It returns false if attempts of service are not hedged.
func (e *Engine) hedgeDelay(service string) (time.Duration, bool) {
	if e.HedgeDelay != nil {
		return e.HedgeDelay(service)
	}

	return e.Hedge.Delay(service)
}

// hedgeSpend charges n hedges of service to the budget and reports whether the budget covered them.
func (e *Engine) hedgeSpend(service string, n int) bool {
	if e.HedgeSpend != nil {
		return e.HedgeSpend(service, n)
	}

	return e.Budget.Spend(service, n)
}

// hedgeQuorum returns how many shards must have answered before the remaining ones are hedged. The default is
// 80% of the shards other than the one to be hedged, rounded up.
func (e *Engine) hedgeQuorum(shards int) int {
	if e.HedgeQuorum != nil {
		return e.HedgeQuorum(shards)
	}

	return ((shards-1)*4 + 4) / 5
}

// hedges returns the maximum number of hedges of a shard.
func (e *Engine) hedges() int {
	if e.Hedges != nil {
		return min(e.Hedges(), maxHedges)
	}

	return maxHedges
}

// firstAnswer returns the time after which a request of s may return a partial answer.
func (e *Engine) firstAnswer(s *contract.Service) time.Duration {
	if e.FirstAnswer != nil {
		return e.FirstAnswer(s)
	}

	return s.FirstAnswer()
}

// attemptTimeout returns the timeout of an attempt that is sent now.
func (e *Engine) attemptTimeout(end, now time.Time) time.Duration {
	return end.Sub(now) - hopMargin
}

func refuse(outcome target.Outcome, code caller.Code, format string, args ...any) *caller.Refusal {
	return &caller.Refusal{Outcome: outcome, Code: code, Message: fmt.Sprintf(format, args...)}
}

// refusalOf returns a copy of the refusal that err wraps, or a NotRun refusal with the given code if err wraps none.
func refusalOf(err error, code caller.Code) *caller.Refusal {
	var original *caller.Refusal
	if errors.As(err, &original) {
		refusal := *original

		return &refusal
	}

	return refuse(target.NotRun, code, "%v", err)
}

// shardOf returns the shard that holds key.
func shardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// isDone reports whether ctx is done. It does not call ctx.Err, because Err of a context of a fake clock blocks
// until the context is done.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
