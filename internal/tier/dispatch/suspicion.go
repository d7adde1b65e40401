package dispatch

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// reasonQuarantined is the reason of a query that was not sent because it has crashed targets.
	reasonQuarantined = "Quarantined"
	// maxQueryCrashes is the number of targets that a query that was not a suspect before can lose and still be sent to others, although
	// none has answered it. It is 2 so that a query for one target survives the loss of that target.
	maxQueryCrashes = 2
	// spreadTime is the time in which the other instances learn of a crash: three messages between regions.
	spreadTime = 100 * time.Millisecond
	// hedgedShards is the number of shards up to which a query is hedged before a target has answered it. That more are late for reasons
	// of their own at the same time is unlikely.
	hedgedShards = 2
)

// suspicion is what an active query knows of whether it crashes the targets that run it.
type suspicion struct {
	// answered is set once a target has answered a subrequest.
	answered bool
	// careful is set while the query is sent to one target at a time. held are the subrequests that wait for an answer to another one.
	careful bool
	held    []int
	// sparing is set if holdEndangered has held back subrequests, and endangeredAt is when the next one of them is sent.
	sparing      bool
	endangeredAt time.Time
	// verdict is the one with which the query began.
	verdict quarantine.Verdict
	// crashes counts the targets that have ended during the query. abandoned is set once that has happened to one that was sent the query
	// with care.
	crashes   int
	abandoned bool
	// crashedAt is when the last of them ended.
	crashedAt time.Time
	// inTrial is set while the query, a suspect, is the only one of its kind that this instance sends.
	inTrial bool
	// active is the number of attempts that have no result yet.
	active int
}

// fingerprint returns the fingerprint of the query. It is made of the request line, the Host header, which is the first one of Head, and
// the body. The other headers differ between requests that ask the same.
func (q *Query) fingerprint() suspect.Fingerprint {
	if q.Fingerprint == (suspect.Fingerprint{}) {
		line, rest, _ := bytes.Cut(q.Head, []byte("\r\n"))
		host, _, _ := bytes.Cut(rest, []byte("\r\n"))
		q.Fingerprint = suspect.NewFingerprint(line, host, q.Body)
	}

	return q.Fingerprint
}

// Suspicion returns how a query may be sent.
func (d *Dispatcher) Suspicion(q *Query) quarantine.Verdict {
	if d.suspects.Empty() {
		return quarantine.Verdict{}
	}

	verdict := d.suspects.Verdict(q.fingerprint(), d.timers.Now())
	if verdict.Mode == quarantine.Careful && !d.mayTry(q.fingerprint(), verdict.TrialInstances()) {
		verdict.Mode = quarantine.Blocked
	}

	return verdict
}

// refuseQuarantined ends a query that may not be sent to targets.
func (q *activeQuery) refuseQuarantined(left time.Duration) {
	q.recordTurn(left)
	switch {
	case q.subset:
		q.mergeParts()
		q.finish(Answered, reasonQuarantined)
	case q.request.MaybeSent:
		q.finish(Unknown, reasonQuarantined)
	default:
		q.finish(NotRun, reasonQuarantined)
	}
}

// beginTrial makes the query the only one of those that ask the same which this instance sends. It reports whether there is no other one.
func (q *activeQuery) beginTrial(now time.Time) bool {
	q.inTrial = q.d.suspects.BeginTrial(q.request.fingerprint(), now)

	return q.inTrial
}

func (q *activeQuery) endTrial() {
	if q.inTrial {
		q.d.suspects.EndTrial(q.request.fingerprint())
	}
}

// holdAll makes all subrequests wait.
func (q *activeQuery) holdAll() {
	q.careful = true
	for i := range q.subrequests {
		q.held = append(q.held, i)
	}
}

// holdEndangered holds back the subrequests that could crash the last replica of a shard, because other queries have just crashed its other
// replicas. They are sent once a target has answered the query. At least one subrequest of this instance is sent at once.
func (q *activeQuery) holdEndangered(now time.Time) {
	if q.forwarded || !q.d.suspects.AnyLost(now) {
		return
	}
	var endangered []int
	for i := range q.subrequests {
		if !q.sparesReplica(i, now) {
			endangered = append(endangered, i)
		}
	}
	if len(endangered) == len(q.subrequests) {
		// Otherwise each peer would also send one subrequest at once.
		q.groups = nil
	}
	grouped := q.grouped()
	for _, i := range endangered {
		if !grouped.Has(i) {
			q.held = append(q.held, i)
		}
	}
	q.sparing = len(q.held) > 0
	if q.sparing && len(q.held) == len(q.subrequests)-grouped.Len() {
		q.takeFastestHeld(now)
	}
	q.expectAnswer(now)
}

// endangeredWaits reports whether subrequests are held back by holdEndangered.
func (q *activeQuery) endangeredWaits() bool { return !q.careful && !q.answered && len(q.held) > 0 }

// endangeredDue reports whether the answer that the held subrequests wait for is late.
func (q *activeQuery) endangeredDue(now time.Time) bool {
	return q.endangeredWaits() && !now.Before(q.endangeredAt)
}

// startNextEndangered sends one of the subrequests that holdEndangered has held back, although no target has answered the query yet.
func (q *activeQuery) startNextEndangered(now time.Time) {
	if !q.endangeredWaits() {
		return
	}
	i := q.takeFastestHeld(now)
	q.expectAnswer(now)
	q.startHeld(i, now)
}

// expectAnswer sets the time after which the next held subrequest is sent even without an answer.
func (q *activeQuery) expectAnswer(now time.Time) {
	q.endangeredAt = now.Add(max(q.d.responseTimeP90(q.request.Route.Name), hedgeRetryDelay))
}

// takeFastestHeld removes the held subrequest that is likely to be answered first, and returns it.
func (q *activeQuery) takeFastestHeld(now time.Time) (fastest int) {
	position, lowest := 0, time.Duration(0)
	for k, i := range q.held {
		q.loadReplicas(q.subrequests[i].service, now)
		if v := choice.Choose(q.facts, q.d.settings.Place, func(int) bool { return false }); k == 0 || v.Cost < lowest {
			position, lowest = k, v.Cost
		}
	}
	fastest = q.held[position]
	q.held = slices.Delete(q.held, position, position+1)

	return fastest
}

// isLost reports whether a query has crashed the target's process so recently that it may not be back.
func (d *Dispatcher) isLost(l *target.Link, now time.Time) bool {
	return d.suspects.AnyLost(now) && d.suspects.IsLost(l.Process(), now)
}

// recordEvidence takes the result of an attempt as evidence for or against the query.
func (q *activeQuery) recordEvidence(r *attemptResult, now time.Time) {
	switch {
	case r.result.Outcome == target.Answered:
		q.clear(now)
	case r.result.Crashed && !q.answered:
		fingerprint := q.request.fingerprint()
		crash := suspect.Crash{Process: r.attempt.link.Process(), Alone: r.attempt.alone}
		verdict := q.d.suspects.RecordCrash(fingerprint, crash, now)
		q.d.log.Log(event.TargetCrashed, "Target", r.attempt.link.ID(), "Request", q.request.RequestID, "Query", fingerprint,
			"Alone", crash.Alone, "Blocked", verdict.Mode == quarantine.Blocked)
		q.d.metrics.TargetSignal(context.Background(), "Crashed")
		q.crashes++
		q.crashedAt = now
		q.abandoned = q.abandoned || q.careful && crash.Alone
		q.careful = true
	}
}

// end cancels the attempts of a query that has ended. Those of a query that may be crashing targets go on for spreadTime, so that all its
// crashes are known. Its failure is answered after that time, because the caller may send it to another instance at once.
func (q *activeQuery) end(ctx context.Context) {
	if q.answered || q.crashes == 0 && !q.subset {
		q.cancelAttempts()

		return
	}
	// collectCrashes may need the fingerprint after the caller has got the request back.
	q.request.fingerprint()
	spread := q.d.timers.After(spreadTime)
	go func() {
		defer q.cancelAttempts()
		q.collectCrashes(spread)
	}()
	if q.subset {
		return
	}
	select {
	case <-q.d.timers.After(min(spreadTime, q.d.timers.Until(q.request.Deadline))):
	case <-ctx.Done():
	}
}

// collectCrashes records the crashes of targets until spread delivers a value.
func (q *activeQuery) collectCrashes(spread <-chan time.Time) {
	for q.active > 0 {
		select {
		case r := <-q.results:
			r.attempt.ended = true
			q.active--
			if r.result.Crashed {
				q.recordEvidence(&r, q.d.timers.Now())
			}
		case <-spread:
			return
		}
	}
}

// clear records that a target has answered the query, and sends the subrequests that waited for that.
func (q *activeQuery) clear(now time.Time) {
	if q.answered {
		return
	}
	q.answered = true
	if !q.d.suspects.Empty() && q.d.suspects.RecordAnswer(q.request.fingerprint(), now) {
		q.d.log.Log(event.QueryCleared, "Request", q.request.RequestID, "Query", q.request.fingerprint())
	}
	q.careful = false
	held := q.held
	q.held = nil
	for _, i := range held {
		q.startHeld(i, now)
	}
}

// mayHedge reports whether a late subrequest may be sent to another replica. As long as none of several replicas has answered the query,
// that can be due to the query.
func (q *activeQuery) mayHedge() bool {
	if q.answered {
		return true
	}
	own := len(q.subrequests)
	for _, g := range q.groups {
		own -= len(g.Shards)
	}

	return own <= hedgedShards
}

// hold makes a subrequest wait whose attempt has failed.
func (q *activeQuery) hold(i int) {
	s := &q.subrequests[i]
	if s.outstanding > 0 || s.answered || s.failed {
		return
	}
	if s.mayHaveRun && !q.request.Route.Idempotent {
		q.markFailed(s)

		return
	}
	q.held = append(q.held, i)
}

// settleTimeLeft returns how much longer the query waits before it is sent again after a crash.
func (q *activeQuery) settleTimeLeft(now time.Time) time.Duration {
	return q.crashedAt.Add(quarantine.SettleTime).Sub(now)
}

// startNextHeld sends one of the subrequests that wait, once no other attempt is under way. It is chosen at random, so that queries that
// were lost with the same targets are not sent to the same target again.
func (q *activeQuery) startNextHeld(now time.Time) {
	if q.settleTimeLeft(now) > 0 {
		return
	}
	if q.crashes > 0 && q.d.suspects.Verdict(q.request.fingerprint(), now).Mode == quarantine.Blocked {
		// Other requests of the query have crashed targets meanwhile.
		q.abandoned = true
	}
	rand.Shuffle(len(q.held), func(i, k int) { q.held[i], q.held[k] = q.held[k], q.held[i] })
	for len(q.held) > 0 && q.active == 0 {
		i := q.held[0]
		q.held = q.held[1:]
		if q.abandoned || q.crashes > maxQueryCrashes || q.mustSpare() && !q.sparesReplica(i, now) {
			q.markFailed(&q.subrequests[i])

			continue
		}
		q.startHeld(i, now)
	}
}

// mustSpare reports whether the query, once it is sent with care, must not crash the last replica of a shard: it was a suspect before, or
// holdEndangered has held back subrequests.
func (q *activeQuery) mustSpare() bool { return q.sparing || q.verdict.Mode == quarantine.Careful }

// sparesReplica reports whether a replica of the subrequest's service is left if the query crashes one. A service without a replica that has
// ended recently counts as having one left, because it may have only one. If all have ended, other processes may have taken their places
// that the registry does not list yet.
func (q *activeQuery) sparesReplica(i int, now time.Time) bool {
	alive, ended := 0, 0
	q.loadLinks(q.subrequests[i].service)
	for _, l := range q.links {
		if l.EndedRecently() || q.verdict.Crashed(l.Process()) || q.d.isLost(l, now) {
			ended++
		} else {
			alive++
		}
	}

	return alive > 1 || ended == 0 || alive == 0 && q.verdict.Waiting >= quarantine.LossTime
}

// startHeld sends a subrequest that waited.
func (q *activeQuery) startHeld(i int, now time.Time) {
	s := &q.subrequests[i]
	switch {
	case s.answered || s.failed:
	case len(s.attempts) == 0:
		q.startFirstAttempt(i, now)
	case s.lastResult != nil && !s.lastResult.Sent:
		// Nothing was sent to a target, so another attempt is no additional load.
		if q.startAttempt(i, now) {
			q.answer.Retries++
		}
	case q.startExtraAttempt(i, now):
		q.answer.Retries++
	default:
		q.markFailed(s)
	}
}
