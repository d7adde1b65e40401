package dispatch

import (
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
)

// reasonLimited is the reason of a query that was not answered because of the rate limits of targets.
const reasonLimited = "TargetsLimited"

// replica is a target that was chosen for a subrequest.
type replica struct {
	link *target.Link
	// preferred is the replica with the lowest cost, whether or not it was its turn.
	preferred *target.Link
	facts     choice.Facts
	// second is the verdict on the replica with the second lowest cost.
	second choice.Verdict
	// wait is the time until this instance may send the request to a target that limits its rate.
	wait time.Duration
}

// chooseReplica chooses the replica with the lowest cost among those that the subrequest was not sent to yet, and reserves a turn at
// it. A replica that limits the rate of requests is passed over until it is this instance's turn. If that is true of all, the one whose
// turn comes first within maxWait is chosen.
func (q *activeQuery) chooseReplica(s *subrequest, now time.Time, maxWait time.Duration) (r replica, ok bool) {
	q.loadReplicas(s.service, now)
	var limited []int
	skip := func(k int) bool { return s.attempted(q.links[k]) || slices.Contains(limited, k) }
	for {
		verdict := choice.Choose(q.facts, q.d.settings.Place, skip)
		if verdict.Index < 0 {
			break
		}
		if r.preferred == nil {
			r.preferred = q.links[verdict.Index]
		}
		if _, ok := q.links[verdict.Index].Reserve(now, 0); !ok {
			limited = append(limited, verdict.Index)

			continue
		}
		second := choice.Choose(q.facts, q.d.settings.Place, func(k int) bool { return k == verdict.Index || skip(k) })

		r.link, r.facts, r.second = q.links[verdict.Index], q.facts[verdict.Index], second

		return r, true
	}

	ok = q.reserveTurn(&r, limited, now, maxWait)

	return r, ok
}

// loadReplicas sets links and facts to the replicas of a service. A replica that a query has just crashed, as seen by any instance, counts
// as failing.
func (q *activeQuery) loadReplicas(service string, now time.Time) {
	q.loadLinks(service)
	q.facts = q.facts[:0]
	for _, l := range q.links {
		facts := l.Facts(q.request.Route.Name, now)
		if q.d.isLost(l, now) {
			facts.Failures = 1
		}
		q.facts = append(q.facts, facts)
	}
}

// reserveTurn chooses the link whose turn comes first and reserves it, if it comes within maxWait.
func (q *activeQuery) reserveTurn(r *replica, limited []int, now time.Time, maxWait time.Duration) (ok bool) {
	first, turnIn := -1, time.Duration(0)
	for _, k := range limited {
		if in := q.links[k].TurnIn(now); first < 0 || in < turnIn {
			first, turnIn = k, in
		}
	}
	if first < 0 {
		return false
	}
	wait, ok := q.links[first].Reserve(now, maxWait)
	if !ok {
		q.recordTurn(wait)

		return false
	}
	r.link, r.facts, r.wait = q.links[first], q.facts[first], wait

	return true
}

// recordTurn records the time after which a subrequest could be sent.
func (q *activeQuery) recordTurn(in time.Duration) {
	if q.turnIn == 0 || in < q.turnIn {
		q.turnIn = in
	}
}

// longestWait returns how long a subrequest can wait for its turn and still be answered within the objective.
func (q *activeQuery) longestWait(now time.Time) time.Duration {
	left := q.answerBy() - q.request.Elapsed - now.Sub(q.request.Received)

	return max(left-q.d.responseTimeP90(q.request.Route.Name), 0)
}

// servable reports whether the rate limits of targets leave enough shards for an answer. A query that is not servable is refused before
// anything is sent. Shards that peers gather count as servable, because the turns of the peers are not known. A query that an earlier
// gatherer may have sent is not refused as one that has not run.
func (q *activeQuery) servable(now time.Time) bool {
	if q.forwarded || q.subset || q.request.MaybeSent || !q.d.pool.Limited() {
		return true
	}
	grouped := q.grouped()
	longest, limited := q.longestWait(now), 0
	var unservable []*target.Link
	for i := range q.subrequests {
		if grouped.Has(i) {
			continue
		}
		if in := q.shardTurn(q.subrequests[i].service, now); in > longest {
			q.recordTurn(in)
			limited++
			unservable = append(unservable, q.links[0])
		}
	}

	if limited <= len(q.subrequests)-q.minimumParts() {
		return true
	}
	for _, l := range unservable {
		l.RecordDemand()
	}

	return false
}

// grouped returns the subrequests that peers gather.
func (q *activeQuery) grouped() (grouped set.Set[int]) {
	for _, g := range q.groups {
		for _, i := range g.Shards {
			grouped.Add(i)
		}
	}

	return grouped
}

// shardTurn returns the time until this instance may send a request to one of the replicas of a service, 0 if there is none.
func (q *activeQuery) shardTurn(service string, now time.Time) (first time.Duration) {
	q.loadLinks(service)
	for k, l := range q.links {
		if in := l.TurnIn(now); k == 0 || in < first {
			first = in
		}
	}

	return first
}
