package dispatch

import (
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// attempt is one try to have a subrequest answered by one target.
type attempt struct {
	link   *target.Link
	cancel target.Cancel
	ended  bool
	// outcome is that of an attempt that has ended.
	outcome target.Outcome
	// alone is set for an attempt of a query that is sent with care, and thus to one target at a time.
	alone bool
}

// attemptResult is the result of an attempt. index is the position of its subrequest.
type attemptResult struct {
	index   int
	attempt *attempt
	result  target.Result
}

// startFirstAttempts sends the subrequests that no peer gathers.
func (q *activeQuery) startFirstAttempts(now time.Time) {
	for i := range q.subrequests {
		if q.subrequests[i].outstanding == 0 && !slices.Contains(q.held, i) {
			q.startFirstAttempt(i, now)
		}
	}
}

// startFirstAttempt sends subrequest i for the first time.
func (q *activeQuery) startFirstAttempt(i int, now time.Time) {
	s := &q.subrequests[i]
	if n := len(q.request.Tried); n > 0 {
		// The instance that tried them has counted the first request.
		s.attemptsUsed, s.mayHaveRun = n, true
		if !q.startExtraAttempt(i, now) {
			q.markFailed(s)
		}

		return
	}
	q.d.ledger.CountFirst(now, s.service)
	if q.request.MaybeSent && !q.allowResend(s, now) {
		q.markFailed(s)

		return
	}
	q.startAttempt(i, now)
}

// startAttempt sends subrequest i to the replica with the lowest cost among those that it was not sent to yet. It reports whether
// the route allows another attempt and there is such a replica.
func (q *activeQuery) startAttempt(i int, now time.Time) bool {
	s := &q.subrequests[i]
	if s.attemptsUsed >= q.attemptLimit() {
		return false
	}
	r, ok := q.chooseReplica(s, now, q.longestWait(now))
	if r.preferred != nil {
		r.preferred.RecordDemand()
	}
	if !ok {
		q.markFailed(s)

		return false
	}
	q.sendAttempt(i, r, now)

	return true
}

// sendAttempt starts an attempt at a target and sets the time at which the subrequest is hedged.
func (q *activeQuery) sendAttempt(i int, r replica, now time.Time) {
	s := &q.subrequests[i]
	// Targets that end while they have a query that is not sent with care may have ended together, for a reason of their own.
	a := &attempt{link: r.link, alone: q.careful && q.active == 0}
	q.active++
	s.attempts = append(s.attempts, a)
	s.attemptsUsed++
	s.outstanding++
	q.answer.Attempts++
	s.hedgeAt = now.Add(farFuture)
	if s.attemptsUsed < q.attemptLimit() && q.request.Route.Idempotent && q.d.settings.Hedges {
		s.hedgeAt = now.Add(r.wait + hedging.Delay(hedging.Facts{
			Objective:          q.request.Route.Objective,
			ResponseTimeP90:    q.d.responseTimeP90(q.request.Route.Name),
			TimeLeft:           q.answerBy() - q.request.Elapsed - now.Sub(q.request.Received) - r.wait,
			SecondResponseTime: r.second.Cost,
			ResponseTime:       r.facts.ResponseTime,
			Stopped:            r.facts.Stopped(),
		}))
	}
	go func() {
		result := attemptResult{index: i, attempt: a, result: q.send(&r, &a.cancel)}
		select {
		case q.results <- result:
		case <-q.finished:
		}
	}()
}

// send makes an attempt once it is its turn. One that fails unexpectedly, for example on a malformed response, may have been run.
func (q *activeQuery) send(r *replica, cancel *target.Cancel) (result target.Result) {
	link := r.link
	defer func() {
		if err := q.d.log.Recovered(recover(), "Target", "Request", q.request.RequestID, "Target", link.ID()); err != nil {
			result = target.Result{Target: link.ID(), Outcome: target.Unknown, Sent: true, Err: err}
		}
	}()
	if r.wait > 0 {
		select {
		case <-q.d.timers.After(r.wait):
		case <-q.finished:
			link.Refund()

			return target.Result{Target: link.ID(), Outcome: target.NotRun, Cancelled: true}
		}
	}

	return link.Send(q.call, cancel)
}

// attemptLimit returns the number of targets that each subrequest may be sent to. It is 1 for a query that an earlier gatherer may
// have sent, because that gatherer may have used the other attempts.
func (q *activeQuery) attemptLimit() int {
	if q.request.MaybeSent {
		return 1
	}

	return q.request.Route.MaxAttempts
}

// allowResend reports whether a subrequest that a failed gatherer may have sent can be sent again. If so, it charges the subrequest
// to the retry budget. The replicas that the gatherer chose are not known. The subrequest is therefore sent again only if the
// service has no more replicas than the route allows attempts, so that this limit is kept whichever replicas were chosen.
func (q *activeQuery) allowResend(s *subrequest, now time.Time) bool {
	s.mayHaveRun = true
	q.loadLinks(s.service)
	if len(q.links) > q.request.Route.MaxAttempts {
		return false
	}
	if !q.d.ledger.AllowExtra(now, s.service) {
		q.answer.Denied++

		return false
	}

	return true
}

// attempted reports whether there was an attempt to send the subrequest to a target before.
func (s *subrequest) attempted(l *target.Link) bool {
	for _, a := range s.attempts {
		if a.link == l {
			return true
		}
	}

	return slices.Contains(s.tried, l.ID())
}

// sendDueHedges sends the subrequests that are late to another replica.
func (q *activeQuery) sendDueHedges(now time.Time) {
	if q.careful {
		q.startNextHeld(now)

		return
	}
	if q.endangeredDue(now) {
		q.startNextEndangered(now)
	}
	for i := range q.subrequests {
		s := &q.subrequests[i]
		if s.answered || s.failed || s.outstanding == 0 || now.Before(s.hedgeAt) {
			continue
		}
		if q.mayHedge() && q.startExtraAttempt(i, now) {
			q.answer.Hedges++
		} else {
			s.hedgeAt = now.Add(hedgeRetryDelay)
		}
	}
}

// startExtraAttempt sends a hedge or retry of subrequest i if there is a replica that it was not sent to and the retry budget
// allows it. A replica that seems to have stopped gets no hedge.
func (q *activeQuery) startExtraAttempt(i int, now time.Time) bool {
	s := &q.subrequests[i]
	if s.attemptsUsed >= q.attemptLimit() || !now.Before(q.request.Deadline) {
		return false
	}
	r, ok := q.chooseReplica(s, now, 0)
	if !ok {
		return false
	}
	if s.outstanding > 0 && r.facts.Stopped() {
		r.link.Refund()

		return false
	}
	if !q.d.ledger.AllowExtra(now, s.service) {
		r.link.Refund()
		q.answer.Denied++

		return false
	}
	r.second = choice.Verdict{}
	q.sendAttempt(i, r, now)

	return true
}
