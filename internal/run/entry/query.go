package entry

import (
	"context"
	"errors"
	"net/netip"
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

// The values of the metric label result for requests that got an answer. The label of a refusal or failure is its code.
const (
	resultWhole   = "Whole"
	resultPartial = "Partial"
)

// service returns the contract of the service in the configuration in force.
func (e *Entry) service(name string) (contract.Service, bool) {
	active, ok := e.keeper.Current()
	if !ok {
		return contract.Service{}, false
	}
	s, ok := active.Configuration.Services[name]

	return s, ok
}

// answer runs a caller's request and records its result, duration and coverage in the metrics.
func (e *Entry) answer(ctx context.Context, r caller.Request) (caller.Answer, error) {
	started := e.timers.Now()
	answer, err := e.engine.Answer(ctx, r)
	s, ok := e.service(r.Service)
	if !ok {
		return answer, err
	}
	result := resultWhole
	var refusal *caller.Refusal
	switch {
	case errors.As(err, &refusal):
		result = string(refusal.Code)
	case !answer.Coverage.Whole:
		result = resultPartial
	}
	e.metrics.Request(ctx, s.Caller, s.Class, result, s.Worth, e.timers.Since(started))
	if err == nil {
		e.metrics.Coverage(ctx, s.Caller, s.Class, answer.Coverage.Fraction())
	}

	return answer, err
}

// pin chooses the index version of a request. It also passes the number of shards to admission control, except for services
// whose queries read a single record.
func (e *Entry) pin(service string, s contract.Service, newerThan uint64) (snapshot.Pin, bool) {
	pin, ok := e.catalog.Pin(service, s.Replicas, newerThan)
	e.logCoverage(service, pin, ok)
	if ok && s.Class != contract.OneRecord {
		e.admission.ObserveShards(service, pin.Shards())
	}

	return pin, ok
}

// logCoverage logs that no version of a service covers all shards. It logs this once until a complete version is pinned again.
func (e *Entry) logCoverage(service string, pin snapshot.Pin, ok bool) {
	if ok && pin.Coverage() == 1 {
		e.incompleteServices.Delete(service)

		return
	}
	if _, logged := e.incompleteServices.LoadOrStore(service, struct{}{}); !logged {
		e.log.Log(event.SnapshotIncomplete, "Service", service, "Version", pin.Version, "Coverage", pin.Coverage())
	}
}

// admit waits until admission control admits the request. The caller must call done when the request has ended.
func (e *Entry) admit(ctx context.Context, service string, s contract.Service) (done func(answered bool), err error) {
	finish, err := e.admission.Admit(ctx, service, s)
	if err != nil {
		return nil, err
	}

	return func(answered bool) { finish(admission.Result{Answered: answered}) }, nil
}

// claim records the RequestID of a non-idempotent request in the store. It converts each kind of failure to the refusal that the
// caller gets.
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

// recordRefusal reports to admission control that a target or its owner refused an attempt for lack of capacity. It closes the
// retry budget while the service is overloaded.
func (e *Entry) recordRefusal(service string) {
	e.admission.ObserveRefusal(service)
	e.budget.SetOverloaded(service, e.admission.Overloaded(service))
}

// runAttempt runs one attempt at the owner of its target. It records the result, the duration and the report of the target.
func (e *Entry) runAttempt(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	linkAttempt := e.links.Begin(a.Replica.Address)
	reply, err := e.dispatcher.Do(ctx, a)
	elapsed := linkAttempt.Elapsed()

	var failure *target.Failure
	errors.As(err, &failure)
	linkAttempt.End(classifyResult(ctx, failure, err))
	switch {
	case err == nil:
		e.recordReplyReport(a, &reply.Report)
		e.observeDelay(a.Query.Service, reply.Queued)
		e.metrics.Attempt(ctx, a.Query.Service, resultWhole, elapsed)
	case failure != nil:
		if failure.Report != nil {
			e.recordReplyReport(a, failure.Report)
		}
		e.metrics.Attempt(ctx, a.Query.Service, string(failure.Code), elapsed)
	}

	return reply, err
}

// observeDelay passes the queueing delay at a target's owner to admission control. It closes the retry budget while the service
// is overloaded.
func (e *Entry) observeDelay(service string, delay time.Duration) {
	e.admission.Observe(service, delay)
	e.budget.SetOverloaded(service, e.admission.Overloaded(service))
}

// recordReplyReport records the report that came with the reply or failure of an attempt, and passes it to the poller.
func (e *Entry) recordReplyReport(a attempt.Attempt, report *target.Report) {
	e.recordReport(a.Replica.Address, *report)
	e.poller.Replied(a.Replica.Address, report)
}

// recordReport updates the tables of index versions and of target state with a report.
func (e *Entry) recordReport(address netip.AddrPort, report target.Report) {
	e.catalog.Learn(address, report)
	e.links.Learn(address, &report)
}

// classifyResult classifies the end of an attempt by what it shows about the target.
func classifyResult(ctx context.Context, failure *target.Failure, err error) link.Result {
	switch {
	case err == nil:
		return link.Answered
	case ctx.Err() != nil && (failure == nil || failure.Code == target.Cancelled):
		return link.Abandoned
	case failure == nil:
		return link.Failed
	}
	switch failure.Code {
	case target.OwnerLeaving:
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

// runLocal runs an attempt in this instance once a slot of the target is free, and adds the queueing delay to the reply.
func (e *Entry) runLocal(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	arrived := e.timers.Now()

	return e.slots.Run(ctx, a, func(ctx context.Context) (target.Reply, error) {
		queued := e.timers.Since(arrived)
		reply, err := e.targets.Query(ctx, a.Replica.Address, &a.Query)
		reply.Queued = queued

		return reply, err
	})
}
