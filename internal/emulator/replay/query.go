package replay

import (
	"math"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/coverage"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
)

// query is one attempt of a caller at a query. A retry after a refusal is another one.
type query struct {
	sim       *simulation
	firstSent time.Duration // when the caller sent its first attempt
	attempts  int           // attempts of the caller so far, including this one

	origin, gatherer *instance     // the instance that received the query, and the one that gathers it
	answerDelay      time.Duration // the network delay of the answer from the gatherer to the origin
	assumedDelay     time.Duration // the delay that the gatherer was told to assume
	answered, failed int           // the shards that have answered, and those that cannot answer any more
	shards           []shardState
	done             bool
	decisionPending  bool // a later call of decide is scheduled
}

// shardState is the state of the requests that a query sends to one shard.
type shardState struct {
	tried       []*replica
	outstanding int
	answered    bool
	failed      bool
}

// send sends a query to a random instance, as a load balancer does.
func (s *simulation) send(q *query) {
	q.attempts++
	q.origin = s.instances[s.random.IntN(len(s.instances))]
	i := q.origin
	if !s.policy.Off.Has(Admission) {
		verdict := admission.Decide(admission.Facts{InFlight: i.active, Limit: admission.Limit(i.processor)})
		if !verdict.Admit {
			s.refuse(q)

			return
		}
	}
	q.gatherer = s.chooseGatherer(q)
	if q.gatherer == i && s.isUnreachable(i) {
		s.refuse(q)

		return
	}
	i.active++
	if q.gatherer == i {
		q.gather()

		return
	}
	zone := q.gatherer.location.AvailabilityZone
	if !i.location.Allows(s.allowed, zone) {
		s.result.SentOutside++
	}
	delay := s.transfer(i, zone, answerBytes)
	q.answerDelay, q.assumedDelay = delay, i.location.RoundTrip(zone)/2
	if i.location.RoundTrips != nil {
		s.schedule(2*delay, func() { i.location.RoundTrips.Observe(zone, 2*delay) })
	}
	s.schedule(delay, func() {
		q.gatherer.active++
		q.gather()
	})
}

// refuse refuses a query. The caller retries after the delay that the refusal asks for, unless it has no retries or no time left.
func (s *simulation) refuse(q *query) {
	s.refusals++
	left := q.firstSent + s.pattern.Queries.Deadline.Std() - s.now
	retry := admission.Retry(admission.Refusal{TimeLeft: left}, s.random.Float64())
	if q.attempts > s.pattern.Queries.Repeats || retry >= left {
		s.result.Refused++

		return
	}
	s.schedule(retry, func() { s.send(&query{sim: s, firstSent: q.firstSent, attempts: q.attempts}) })
}

// chooseGatherer chooses the instance that gathers the query.
func (s *simulation) chooseGatherer(q *query) *instance {
	if s.policy.Off.Has(Placement) {
		return q.origin
	}
	candidates := make([]placement.Candidate, 0, len(s.instances))
	for _, i := range s.instances {
		c := i.candidate()
		// An instance without connectivity to the replicas declines.
		c.Excluded = i == q.origin || s.isUnreachable(i)
		candidates = append(candidates, c)
	}
	own := q.origin.candidate()
	own.Unreachable = s.isUnreachable(q.origin)
	verdict := placement.Choose(own, candidates,
		placement.Query{Shards: len(s.shards), PartBytes: s.pattern.Targets.PartBytes, Scope: s.scope}, q.origin.location,
		func(int) time.Duration { return time.Duration(s.random.Int64N(int64(3 * time.Millisecond))) })
	if verdict.Index < 0 {
		return q.origin
	}

	return s.instances[verdict.Index]
}

// candidate describes the instance to the placement decision.
func (i *instance) candidate() placement.Candidate {
	return placement.Candidate{
		AvailabilityZone: i.location.AvailabilityZone, Processor: i.processor, LinkBits: i.linkBits, Active: i.active,
		LocalShards: i.localShards, RegionShards: i.regionShards,
	}
}

// gather sends the first request to each shard.
func (q *query) gather() {
	s := q.sim
	q.shards = make([]shardState, len(s.shards))
	for n := range q.shards {
		q.gatherer.budgets[n].CountFirst(s.decisionTime(), s.budgetLimits(), 1)
		s.requests[n].first = append(s.requests[n].first, s.now)
		q.attempt(n)
	}
	s.schedule(q.firstSent+s.pattern.Queries.Deadline.Std()-s.now, q.expire)
}

// decisionTime returns the current simulated time as the time.Time that the decisions expect.
func (s *simulation) decisionTime() time.Time { return epoch.Add(s.now) }

// attempt sends a request to a replica of shard n that has not been tried yet. If there is none and no request is outstanding, the
// shard has failed.
func (q *query) attempt(n int) {
	s, shard := q.sim, &q.shards[n]
	r := q.chooseReplica(n)
	if r == nil {
		if shard.outstanding == 0 && !shard.failed {
			shard.failed = true
			q.failed++
			q.decide()
		}

		return
	}
	shard.tried = append(shard.tried, r)
	shard.outstanding++
	g, state, sent := q.gatherer, q.gatherer.state(r), s.now
	state.inFlight = append(state.inFlight, sent)
	if state.leaving {
		s.result.SentLeaving++
	}
	if state.absence.Away(s.decisionTime()) {
		s.result.SentAway++
	}
	state.absence.Take()
	if !g.location.Allows(s.allowed, r.zone) {
		s.result.SentOutside++
	}
	s.watchSilence(g)
	if p := s.partition(g); p != nil {
		s.lose(g, r, p, func() {
			state.requestEnded(sent, s.now, false)
			q.attemptEnded(n, false, s.now-sent)
		})
	} else {
		q.reach(n, r, sent)
	}
	if !s.policy.Off.Has(Hedging) {
		s.schedule(q.hedgeDelay(n, r), func() {
			if !q.done && !shard.answered && shard.outstanding > 0 {
				q.sendExtra(n)
			}
		})
	}
}

// reach plays a request to shard n that reaches its replica.
func (q *query) reach(n int, r *replica, sent time.Duration) {
	s, g, state := q.sim, q.gatherer, q.gatherer.state(r)
	s.schedule(s.transfer(g, r.zone, 0), func() {
		r.serve(func(response response) {
			bytes := 0.0
			if response.ok {
				bytes = s.pattern.Targets.PartBytes
			}
			s.schedule(s.transfer(g, r.zone, bytes), func() {
				g.receive(s, bytes, partProcessorTime, func() {
					g.connectivity.monitor.Heard(s.decisionTime())
					state.requestEnded(sent, s.now, response.ok)
					state.reportedLoad, state.reportedAt = response.load, s.now
					state.hear(response, s.now)
					q.attemptEnded(n, response.ok, s.now-sent)
				})
			})
		})
	})
}

// chooseReplica returns a replica of shard n that has not been tried yet, or nil if there is none or MaxAttempts is reached.
func (q *query) chooseReplica(n int) *replica {
	s, replicas := q.sim, q.sim.shards[n]
	if len(q.shards[n].tried) >= s.pattern.Queries.MaxAttempts {
		return nil
	}
	skip := func(i int) bool {
		return !q.gatherer.location.Allows(s.scope, replicas[i].zone) || slices.Contains(q.shards[n].tried, replicas[i]) || !q.gatherer.state(replicas[i]).wantsRequests(&s.policy, s.now)
	}
	if s.policy.Off.Has(Choice) {
		var nearest *replica
		for i, r := range replicas {
			if !skip(i) && (nearest == nil || q.gatherer.location.Distance(r.zone) < q.gatherer.location.Distance(nearest.zone)) {
				nearest = r
			}
		}

		return nearest
	}
	facts := make([]choice.Facts, 0, len(replicas))
	for _, r := range replicas {
		facts = append(facts, q.gatherer.replicaFacts(r, s.now))
	}
	if verdict := choice.Choose(facts, q.gatherer.location, skip); verdict.Index >= 0 {
		return replicas[verdict.Index]
	}

	return nil
}

// hedgeDelay returns the delay after which a request to replica r of shard n that is sent now is hedged.
func (q *query) hedgeDelay(n int, r *replica) time.Duration {
	s, facts := q.sim, q.gatherer.replicaFacts(r, q.sim.now)
	f := hedging.Facts{
		Objective: s.pattern.Queries.Objective.Std(), ResponseTimeP90: q.gatherer.responseTimes.Value(),
		TimeLeft: q.answerBy() - (s.now - q.firstSent), ResponseTime: facts.ResponseTime, Stopped: facts.Stopped(),
	}
	for _, other := range s.shards[n] {
		if other != r && q.gatherer.location.Allows(s.scope, other.zone) {
			f.SecondResponseTime = q.gatherer.state(other).responseTime.Value()
		}
	}

	return hedging.Delay(f)
}

// sendExtra sends an extra request (a hedge or a retry) to shard n if the budget allows it.
func (q *query) sendExtra(n int) {
	s := q.sim
	if !s.policy.Off.Has(Budget) && !q.gatherer.budgets[n].AllowExtra(s.decisionTime(), s.budgetLimits()) {
		return
	}
	before := len(q.shards[n].tried)
	q.attempt(n)
	if len(q.shards[n].tried) > before {
		s.requests[n].extra = append(s.requests[n].extra, s.now)
	}
}

// attemptEnded handles the end of a request to shard n. If no other request is outstanding after a failure, it retries.
func (q *query) attemptEnded(n int, ok bool, responseTime time.Duration) {
	shard := &q.shards[n]
	shard.outstanding--
	if ok {
		q.gatherer.responseTimes.Observe(responseTime)
	}
	switch {
	case q.done || shard.answered:
		return
	case ok:
		shard.answered = true
		q.answered++
		if shard.failed {
			shard.failed = false
			q.failed--
		}
		q.decide()
	case shard.outstanding == 0:
		q.sendExtra(n)
		if shard.outstanding == 0 && !shard.failed {
			shard.failed = true
			q.failed++
			q.decide()
		}
	}
}

// answerBy returns the time, counted from the caller's first attempt, by which the gatherer must answer to meet the objective.
func (q *query) answerBy() time.Duration {
	return q.sim.pattern.Queries.Objective.Std() - q.assumedDelay
}

// decide ends the query if its outcome is known. Otherwise, it schedules another call for the time at which the verdict may change.
func (q *query) decide() {
	s := q.sim
	if q.done {
		return
	}
	elapsed := s.now - q.firstSent
	if s.policy.Off.Has(Coverage) {
		if q.answered+q.failed == len(q.shards) {
			q.finish(q.answered >= q.minimumParts())
		}

		return
	}
	verdict := coverage.Decide(coverage.Facts{
		Shards: len(q.shards), Parts: q.answered, Failed: q.failed, Minimum: q.minimumParts(), Elapsed: elapsed,
		Objective: s.pattern.Queries.Objective.Std(), ReturnPath: q.assumedDelay,
	})
	switch {
	case verdict.Return:
		q.finish(true)
	case verdict.Fail:
		q.finish(false)
	case verdict.Wait > 0 && !q.decisionPending:
		q.decisionPending = true
		s.schedule(verdict.Wait, func() {
			q.decisionPending = false
			q.decide()
		})
	}
}

// minimumParts returns the smallest number of parts that an answer must have. Subtracting 1e-9 keeps a rounding error of the
// product from raising this number by one.
func (q *query) minimumParts() int {
	return max(1, int(math.Ceil(q.sim.pattern.Queries.MinimumCoverage*float64(len(q.shards))-1e-9)))
}

// expire ends the query at its deadline.
func (q *query) expire() {
	if !q.done {
		q.finish(q.answered >= q.minimumParts())
	}
}

// finish answers the query with the parts received so far, or fails it.
func (q *query) finish(answer bool) {
	s := q.sim
	q.done = true
	q.origin.active--
	if q.gatherer != q.origin {
		q.gatherer.active--
		s.transfer(q.origin, q.gatherer.location.AvailabilityZone, answerBytes)
	}
	if !answer {
		s.result.Failed++

		return
	}
	covered := float64(q.answered) / float64(len(q.shards))
	s.schedule(q.answerDelay, func() { s.recordAnswer(s.now-q.firstSent, covered) })
}
