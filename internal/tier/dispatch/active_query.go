package dispatch

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/coverage"
	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
)

const (
	// hedgeRetryDelay is the delay after which a hedge is tried again if there was no usable replica for it or if the retry budget
	// denied it.
	hedgeRetryDelay = 15 * time.Millisecond
	// farFuture is a delay that exceeds the duration of every request. A hedge with this delay is never sent.
	farFuture = time.Hour
)

// subrequest is the request of a query to one service: the request to one shard of a gathered query, or the whole of a forwarded
// query.
type subrequest struct {
	service  string
	attempts []*attempt
	// attemptsUsed counts the attempts that are charged against the limit of the route. Attempts that sent nothing are not counted.
	// outstanding counts the attempts that have no result yet. A peer that gathers the subrequest counts as one.
	attemptsUsed int
	outstanding  int
	// hedgeAt is the time at which the subrequest is late enough for a hedge.
	hedgeAt time.Time
	// answered is set once there is an answer, failed once there can be none any more.
	answered bool
	failed   bool
	// part is the result that answers the subrequest, nil if a peer gathered it, and stamp is the stamp of the answer.
	part  *target.Result
	stamp string
	// lastResult is the latest result, of whichever outcome.
	lastResult *target.Result
	// mayHaveRun is set if a target may have run the subrequest, and tried are targets to which a peer may have sent it.
	mayHaveRun bool
	tried      []string
}

// activeQuery is the state of a query that is being gathered or forwarded. Only the goroutine that executes run changes it. Results
// of attempts and answers of peers arrive through channels.
type activeQuery struct {
	d       *Dispatcher
	request *Query
	call    *target.Call
	// forwarded is set if the query goes to one target. subset is set if a peer gathers the query and asked this instance for some
	// of its shards.
	forwarded   bool
	subset      bool
	subrequests []subrequest
	// partCount is the number of answered subrequests, failedCount that of the failed ones.
	partCount   int
	failedCount int
	// stamps holds the stamps of all parts, so that no part is counted twice.
	stamps  set.Set[string]
	results chan attemptResult
	// finished is closed when the query has ended and no more results are received.
	finished chan struct{}
	answer   Answer
	// earlySent is set once the parts that had arrived by the objective were sent to the peer that asked for the subset.
	earlySent bool
	// groups are the shards that peers gather.
	groups []Group
	// groupResults delivers the answers of the peers that gather groups, and peerRecords holds the records of these answers.
	groupResults chan groupResult
	peerRecords  [][]byte
	// links and facts are buffers that are reused for each choice of a replica.
	links []*target.Link
	facts []choice.Facts
	suspicion
	// turnIn is the shortest time after which a subrequest that failed for a rate limit could be sent, 0 if none did.
	turnIn time.Duration
}

func newActiveQuery(d *Dispatcher, request *Query, services []string) *activeQuery {
	q := &activeQuery{
		d:       d,
		request: request,
		call: &target.Call{
			Route:         request.Route.Name,
			RequestID:     request.RequestID,
			Method:        request.Method,
			Head:          request.Head,
			Body:          request.Body,
			Deadline:      request.Deadline,
			NewConnection: !request.Route.Idempotent,
		},
		subrequests:  make([]subrequest, len(services)),
		results:      make(chan attemptResult, len(services)),
		finished:     make(chan struct{}),
		groupResults: make(chan groupResult),
	}
	if request.Route.Gather != nil {
		q.call.MaxReplyBytes = target.PartReplyBytes
	}
	for i, s := range services {
		q.subrequests[i].service, q.subrequests[i].tried = s, request.Tried
	}
	q.limitCallToScope()

	return q
}

// run starts the subrequests and returns when the answer is known, the deadline has passed or ctx is done.
func (q *activeQuery) run(ctx context.Context) Answer {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer q.endTrial()
	if refused := q.start(ctx, q.d.timers.Now()); refused {
		return q.answer
	}
	defer q.end(ctx)

	timeout := q.d.timers.After(q.d.timers.Until(q.request.Deadline))
	unreachable := q.d.pool.Unreachable()
	for {
		wait, done := q.decide(q.d.timers.Now())
		if done {
			return q.answer
		}
		select {
		case r := <-q.results:
			q.handleResult(r)
		case r := <-q.groupResults:
			q.handleGroupResult(r)
		case <-q.d.timers.After(wait):
			q.sendDueHedges(q.d.timers.Now())
		case <-unreachable:
			if q.endUnreachable() {
				return q.answer
			}
			unreachable = nil
		case <-timeout:
			if q.subset {
				q.mergeParts()

				return q.finish(Answered, "Deadline")
			}

			return q.finish(TimedOut, "Deadline")
		case <-ctx.Done():
			return q.finish(Abandoned, "CallerLeft")
		}
	}
}

// start starts the subrequests. It reports whether the query is refused instead, before anything was sent.
func (q *activeQuery) start(ctx context.Context, now time.Time) (refused bool) {
	if q.refuseOutsideRegions() || q.refuseUnconnected() {
		return true
	}
	q.verdict = q.d.Suspicion(q.request)
	switch {
	case q.verdict.Mode == quarantine.Blocked, q.verdict.Mode == quarantine.Careful && !q.beginTrial(now):
		q.refuseQuarantined(q.verdict.Left)

		return true
	case q.verdict.Mode == quarantine.Careful:
		q.holdAll()
	case !q.forwarded && !q.subset && !q.request.MaybeSent:
		q.groups = q.d.groups(q.request)
	}
	if !q.servable(now) {
		q.finish(NotRun, reasonLimited)

		return true
	}
	if !q.careful {
		q.holdEndangered(now)
		q.startGroups(ctx)
		q.startFirstAttempts(now)

		return false
	}
	q.startNextHeld(now)
	if q.answer.Attempts > 0 {
		return false
	}
	q.refuseQuarantined(0)

	return true
}

// markFailed marks a subrequest as failed, unless it is answered or has outstanding attempts.
func (q *activeQuery) markFailed(s *subrequest) {
	if s.outstanding == 0 && !s.answered && !s.failed {
		s.failed = true
		q.failedCount++
	}
}

// handleResult handles the result of an attempt.
func (q *activeQuery) handleResult(r attemptResult) {
	s := &q.subrequests[r.index]
	r.attempt.ended, r.attempt.outcome = true, r.result.Outcome
	s.outstanding--
	q.active--
	now := q.d.timers.Now()
	q.d.observeAttempt(q.request.Route.Name, &r.result)
	q.recordEvidence(&r, now)
	defer func() {
		switch {
		case q.careful:
			q.startNextHeld(now)
		case q.active == 0:
			q.startNextEndangered(now)
		}
	}()
	if s.answered {
		return
	}
	s.lastResult = &r.result
	if r.result.Outcome != target.NotRun {
		s.mayHaveRun = true
	} else if r.result.Sent {
		q.answer.Shed = true
	}
	if q.usable(&r.result) {
		s.answered, s.part, s.stamp = true, &r.result, r.result.Reply.Stamp
		q.partCount++
		for _, a := range s.attempts {
			if !a.ended {
				a.cancel.Cancel()
			}
		}

		return
	}
	if !r.result.Sent {
		// Nothing was sent to a target, so another attempt is no additional load and is not charged to the budget.
		s.attemptsUsed--
	}
	if q.careful {
		q.hold(r.index)

		return
	}
	q.retry(&r, now)
}

// retry sends a subrequest again whose attempt has failed, if the route and the retry budget allow it.
func (q *activeQuery) retry(r *attemptResult, now time.Time) {
	s := &q.subrequests[r.index]
	if !r.result.Sent && q.forwarded && q.isUnreachable() {
		// A peer can send it instead of this instance.
		q.markFailed(s)

		return
	}
	if !r.result.Sent {
		if q.request.Route.Idempotent || !s.mayHaveRun {
			if q.startAttempt(r.index, now) {
				q.answer.Retries++
			}
		}

		return
	}
	if s.outstanding > 0 {
		return
	}
	if (q.request.Route.Idempotent || !s.mayHaveRun) && q.startExtraAttempt(r.index, now) {
		q.answer.Retries++

		return
	}
	q.markFailed(s)
}

// usable reports whether a result answers its subrequest. The result for a shard must be a success with a stamp that no other part
// has.
func (q *activeQuery) usable(r *target.Result) bool {
	if r.Outcome != target.Answered || r.Encoded() {
		return false
	}
	if q.forwarded {
		// A request that is not idempotent must not run twice, so the error response of a target that ran it is the final answer.
		return r.Success() && r.Reply.Stamp != "" || !q.request.Route.Idempotent && r.ForwardableError()
	}

	return r.Success() && r.Reply.Stamp != "" && q.stamps.Add(r.Reply.Stamp)
}

// decide ends the query if its answer is known, and otherwise returns the time until the next decision.
func (q *activeQuery) decide(now time.Time) (wait time.Duration, done bool) {
	if q.forwarded {
		return q.decideForwarded(now)
	}
	verdict := coverage.Decide(coverage.Facts{
		Shards:     len(q.subrequests),
		Parts:      q.partCount,
		Failed:     q.failedCount,
		Minimum:    q.minimumParts(),
		Elapsed:    q.request.Elapsed + now.Sub(q.request.Received),
		Objective:  q.request.Route.Objective,
		ReturnPath: q.d.settings.ReturnPath,
	})
	switch {
	case verdict.Return && q.subset && q.request.OnEarly != nil && !q.earlySent && q.partCount+q.failedCount < len(q.subrequests):
		q.sendEarly()

		return q.timeToNextHedge(now), false
	case verdict.Return, verdict.Fail && q.subset:
		q.mergeParts()
		q.finish(Answered, verdict.Reason)

		return 0, true
	case verdict.Fail:
		q.finish(q.failureStatus(), q.failureReason(verdict.Reason))

		return 0, true
	}
	wait = q.timeToNextHedge(now)
	if verdict.Wait > 0 {
		wait = min(wait, verdict.Wait)
	}

	return wait, false
}

// minimumParts returns the smallest number of parts that an answer must have: the route's minimum, except for a subset. The answer
// to a subset may have any number of parts, because the peer that asked for it decides whether the parts of all shards suffice.
// However, the route's minimum applies if the objective had already passed when the subset was requested, because the subset would
// otherwise be answered at once without any part. After parts were sent early, the answer waits for all others, unless a subrequest
// has failed.
func (q *activeQuery) minimumParts() int {
	if q.earlySent {
		return len(q.subrequests)
	}
	if q.subset && q.request.Elapsed < q.answerBy() {
		return 0
	}

	return q.request.Route.Gather.MinimumParts(len(q.subrequests))
}

// answerBy returns the time, counted from the caller's first attempt, by which an answer must be sent to meet the objective.
func (q *activeQuery) answerBy() time.Duration {
	return q.request.Route.Objective - q.d.settings.ReturnPath
}

// decideForwarded is the variant of decide for a forwarded request.
func (q *activeQuery) decideForwarded(now time.Time) (wait time.Duration, done bool) {
	s := &q.subrequests[0]
	switch {
	case s.answered:
		q.answer.Result = s.part
		q.finish(Answered, "Whole")

		return 0, true
	case s.failed:
		reason := "NoTarget"
		if s.lastResult != nil {
			reason = "TargetsFailed"
			q.answer.Result = s.lastResult
		} else if q.turnIn > 0 {
			reason = reasonLimited
		}
		q.finish(q.failureStatus(), q.failureReason(reason))

		return 0, true
	}

	return q.timeToNextHedge(now), false
}

// timeToNextHedge returns the time until the next subrequest is due for a hedge.
func (q *activeQuery) timeToNextHedge(now time.Time) time.Duration {
	wait := farFuture
	if q.careful {
		if q.active == 0 && len(q.held) > 0 {
			wait = q.settleTimeLeft(now)
		}

		return max(wait, 0)
	}
	if q.endangeredWaits() {
		wait = q.endangeredAt.Sub(now)
	}
	for i := range q.subrequests {
		if s := &q.subrequests[i]; !s.answered && !s.failed && s.outstanding > 0 {
			wait = min(wait, s.hedgeAt.Sub(now))
		}
	}

	return max(wait, 0)
}

// failureStatus returns the status of a query without an answer: NotRun if no target can have run any subrequest, else Unknown.
func (q *activeQuery) failureStatus() Status {
	for i := range q.subrequests {
		if s := &q.subrequests[i]; s.mayHaveRun || s.outstanding > 0 {
			return Unknown
		}
	}

	return NotRun
}

// finish sets the status and reason of the answer and returns the answer.
func (q *activeQuery) finish(status Status, reason string) Answer {
	q.answer.Status, q.answer.Reason, q.answer.TurnIn = status, reason, q.turnIn

	return q.answer
}

// cancelAttempts stops receiving results and cancels the outstanding attempts.
func (q *activeQuery) cancelAttempts() {
	close(q.finished)
	for i := range q.subrequests {
		for _, a := range q.subrequests[i].attempts {
			if !a.ended {
				a.cancel.Cancel()
			}
		}
	}
}

// mergeParts fills the answer with the parts that have arrived and were not sent early.
func (q *activeQuery) mergeParts() {
	m := newMerger(q.request.Route.Gather.MaxRecords)
	for i := range q.subrequests {
		s := &q.subrequests[i]
		if s.answered || q.subset {
			q.answer.Stamps = append(q.answer.Stamps, s.stamp)
			if q.subset {
				s.stamp = ""
			}
		}
		if s.part != nil {
			m.add(s.part.Body)
			s.part.Body = nil
		}
	}
	for _, records := range q.peerRecords {
		m.add(records)
	}
	q.answer.Missing = len(q.subrequests) - q.partCount
	q.answer.Records = m.encode()
}

// sendEarly sends the parts that have arrived to the peer that asked for the subset. That peer knows the state of all shards and
// decides whether to wait for the others.
func (q *activeQuery) sendEarly() {
	q.mergeParts()
	answer := q.answer
	answer.Status, answer.Reason, answer.MoreFollows = Answered, "ObjectiveReached", true
	q.request.OnEarly(answer)
	q.earlySent, q.answer.Stamps, q.answer.Records = true, nil, nil
}
