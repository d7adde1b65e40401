package entry

import (
	"context"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/policy/admission"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/claim"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/link"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// answered is the result label of a request that got a whole answer; refusals are labelled with their code.
const (
	answeredWhole   = "Whole"
	answeredPartial = "Partial"
)

func (e *Entry) service(name string) (contract.Service, bool) {
	active, ok := e.keeper.Current()
	if !ok {
		return contract.Service{}, false
	}
	s, ok := active.Configuration.Services[name]

	return s, ok
}

// extraLoad returns the ExtraLoad of a service, 0 for an unknown one.
func (e *Entry) extraLoad(service string) float64 {
	s, _ := e.service(service)

	return s.ExtraLoad
}

// answer runs a caller's request and records how it ended.
func (e *Entry) answer(ctx context.Context, r caller.Request) (caller.Answer, error) {
	began := e.timers.Now()
	answer, err := e.engine.Answer(ctx, r)
	s, ok := e.service(r.Service)
	if !ok {
		return answer, err
	}
	result := answeredWhole
	var refusal *caller.Refusal
	switch {
	case errors.As(err, &refusal):
		result = string(refusal.Code)
	case !answer.Coverage.Whole:
		result = answeredPartial
	}
	e.metrics.Request(ctx, s.Caller, s.Class, result, s.Worth, e.timers.Since(began))
	if err == nil {
		e.metrics.Coverage(ctx, s.Caller, s.Class, answer.Coverage.Fraction())
	}

	return answer, err
}

func (e *Entry) pin(service string, s contract.Service, newerThan uint64) (snapshot.Pin, bool) {
	pin, ok := e.catalog.Pin(service, s.Replicas, newerThan)
	e.noteCoverage(service, pin, ok)
	if ok && s.Class != contract.OneRecord {
		e.admission.ObserveShards(service, pin.Shards())
	}

	return pin, ok
}

// noteCoverage logs when the pinned version of a service begins to lack shards, once until it is whole again.
func (e *Entry) noteCoverage(service string, pin snapshot.Pin, ok bool) {
	if ok && pin.Coverage() == 1 {
		e.incomplete.Delete(service)

		return
	}
	if _, logged := e.incomplete.LoadOrStore(service, struct{}{}); !logged {
		e.log.Log(event.SnapshotIncomplete, "Service", service, "Version", pin.Version, "Coverage", pin.Coverage())
	}
}

func (e *Entry) admit(ctx context.Context, service string, s contract.Service) (done func(answered bool), err error) {
	finish, err := e.admission.Admit(ctx, service, s)
	if err != nil {
		return nil, err
	}

	return func(answered bool) { finish(admission.Result{Answered: answered}) }, nil
}

// claim records the RequestID of a non-idempotent request in the store and tells the reasons of a refusal apart.
func (e *Entry) claim(ctx context.Context, requestID string) (release func(context.Context) error, err error) {
	release, err = e.claims.Take(ctx, requestID)
	if err == nil {
		return release, nil
	}
	refusal := &caller.Refusal{Outcome: target.NotRun, Code: caller.ClaimUnavailable, Message: err.Error()}
	var rate *claim.RateError
	switch {
	case errors.Is(err, claim.ErrDuplicate):
		refusal.Outcome, refusal.Code = target.Unknown, caller.Duplicate
	case errors.As(err, &rate):
		refusal.Code = caller.Overloaded
		refusal = refusal.After(rate.RetryAfter)
	default:
		refusal.NewRequestID = errors.Is(err, claim.ErrLeftBehind)
	}

	return nil, refusal
}

// overloaded is told that a target or its owner refused an attempt for lack of capacity.
func (e *Entry) overloaded(service string) {
	e.admission.ObserveRefusal(service)
	e.budget.SetOverloaded(service, e.admission.Overloaded(service))
}

// runAttempt runs one attempt at the owner of its target and records what it showed of the target.
func (e *Entry) runAttempt(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	use := e.links.Begin(a.Replica.Address)
	reply, err := e.dispatcher.Do(ctx, a)
	took := use.Elapsed()

	var failure *target.Failure
	errors.As(err, &failure)
	use.End(resultOf(ctx, failure, err))
	switch {
	case err == nil:
		e.learn(a, &reply.Report)
		e.observeDelay(a.Query.Service, reply.Queued)
		e.metrics.Attempt(ctx, a.Query.Service, answeredWhole, took)
	case failure != nil:
		if failure.Report != nil {
			e.learn(a, failure.Report)
		}
		// An attempt that its owner gave back was no target request.
		if failure.Code != target.Waiting {
			e.metrics.Attempt(ctx, a.Query.Service, string(failure.Code), took)
		}
	}

	return reply, err
}

// observeDelay feeds the wait at a target's owner to admission and closes the budget of an overloaded service.
func (e *Entry) observeDelay(service string, delay time.Duration) {
	e.admission.Observe(service, delay)
	e.budget.SetOverloaded(service, e.admission.Overloaded(service))
}

func (e *Entry) learn(a attempt.Attempt, report *target.Report) {
	e.catalog.Learn(a.Replica.Address, *report)
	e.links.Learn(a.Replica.Address, report)
}

// resultOf says what the end of an attempt shows of the target.
func resultOf(ctx context.Context, failure *target.Failure, err error) link.Result {
	switch {
	case err == nil:
		return link.Answered
	case ctx.Err() != nil && (failure == nil || failure.Code == target.Cancelled):
		return link.Abandoned
	case failure == nil:
		return link.Failed
	}
	switch failure.Code {
	case target.OwnerLeaving, target.Waiting:
		return link.Abandoned
	case target.Shed, target.Draining, target.TooLate, target.Overconnected, target.VersionUnavailable, target.BadQuery,
		target.QueueFull:
		return link.Refused
	case target.Cancelled:
		return link.Abandoned
	default:
		if failure.Reused {
			return link.FailedReused
		}

		return link.Failed
	}
}

// runLocal runs an attempt whose target this instance owns.
func (e *Entry) runLocal(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	arrived := e.timers.Now()

	return e.slots.Run(ctx, a, func(ctx context.Context) (target.Reply, error) {
		queued := e.timers.Since(arrived)
		reply, err := e.targets.Query(ctx, a.Replica.Address, &a.Query)
		reply.Queued = queued

		return reply, err
	})
}
