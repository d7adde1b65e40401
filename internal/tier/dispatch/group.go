package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"
)

// groupResult is an early or final answer of a peer that gathers a group, or the error of the call.
type groupResult struct {
	group  Group
	answer Answer
	err    error
}

// startGroups starts the calls to the peers that gather some of the shards.
func (q *activeQuery) startGroups(ctx context.Context) {
	noHedge := q.d.timers.Now().Add(farFuture)
	for _, g := range q.groups {
		for _, i := range g.Shards {
			// The peer hedges these subrequests, so this instance does not.
			q.subrequests[i].outstanding, q.subrequests[i].hedgeAt = 1, noHedge
		}
		go func() {
			answer, err := q.runGroup(ctx, g)
			q.deliverGroupResult(groupResult{group: g, answer: answer, err: err})
		}()
	}
}

// runGroup calls the peer that gathers a group. A call that fails unexpectedly may have been sent.
func (q *activeQuery) runGroup(ctx context.Context, g Group) (answer Answer, err error) {
	defer func() {
		if failure := q.d.log.Recovered(recover(), "Group", "Request", q.request.RequestID); failure != nil {
			answer, err = Answer{}, errors.Join(ErrMayHaveRun, failure)
		}
	}()

	return g.Run(ctx, func(early Answer) { q.deliverGroupResult(groupResult{group: g, answer: early}) })
}

// deliverGroupResult passes an answer of a peer to run, or drops it if the query has ended.
func (q *activeQuery) deliverGroupResult(r groupResult) {
	select {
	case q.groupResults <- r:
	case <-q.finished:
	}
}

// handleGroupResult handles an early or final answer of a peer. If the peer failed, this instance gathers the shards of the group.
func (q *activeQuery) handleGroupResult(r groupResult) {
	if !r.answer.MoreFollows {
		q.answer.Attempts += r.answer.Attempts
		q.answer.Hedges += r.answer.Hedges
		q.answer.Retries += r.answer.Retries
		q.answer.Denied += r.answer.Denied
	}
	now := q.d.timers.Now()
	if slices.ContainsFunc(r.answer.Stamps, func(stamp string) bool { return stamp != "" }) {
		q.clear(now)
	}
	failed := r.err != nil || len(r.answer.Stamps) != len(r.group.Shards) || !q.addStamps(r.answer.Stamps)
	if !failed {
		q.peerRecords = append(q.peerRecords, r.answer.Records)
	}
	for k, i := range r.group.Shards {
		s := &q.subrequests[i]
		if s.answered {
			continue
		}
		if !failed && r.answer.Stamps[k] != "" {
			s.answered, s.stamp, s.outstanding = true, r.answer.Stamps[k], 0
			q.partCount++

			continue
		}
		if r.answer.MoreFollows {
			continue
		}
		s.outstanding--
		switch {
		case failed && (r.err == nil || errors.Is(r.err, ErrMayHaveRun)):
			// A peer that answered without the expected stamps has sent the subrequests to targets as well.
			q.resend(i, now)
		case failed:
			q.startUngrouped(i, now)
		default:
			// The peer has made all attempts that the route allows.
			s.mayHaveRun = true
			q.markFailed(s)
		}
	}
}

// startUngrouped sends a subrequest that a peer was asked to send and did not.
func (q *activeQuery) startUngrouped(i int, now time.Time) {
	if q.careful {
		q.hold(i)
		q.startNextHeld(now)

		return
	}
	q.startFirstAttempt(i, now)
}

// resend sends a subrequest that a failed peer may have sent to targets, if the retry budget and the route allow it.
func (q *activeQuery) resend(i int, now time.Time) {
	s := &q.subrequests[i]
	if q.careful {
		s.mayHaveRun = true
		q.markFailed(s)

		return
	}
	// The peer sent the first request for the shard. The request of this instance is a retry.
	q.d.ledger.CountFirst(now, s.service)
	if !q.allowResend(s, now) {
		q.markFailed(s)

		return
	}
	q.answer.Retries++
	s.attemptsUsed = q.request.Route.MaxAttempts - 1
	q.startAttempt(i, now)
}

// addStamps records the stamps of a peer's parts. If one of them was recorded before, it records none and returns false.
func (q *activeQuery) addStamps(stamps []string) bool {
	for _, s := range stamps {
		if s != "" && q.stamps.Has(s) {
			return false
		}
	}
	for _, s := range stamps {
		if s != "" {
			q.stamps.Add(s)
		}
	}

	return true
}
