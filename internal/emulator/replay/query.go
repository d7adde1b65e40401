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

// query is one attempt of a caller to get a query answered.
type query struct {
	sim   *simulation
	sent  time.Duration // when the caller sent its first attempt
	tries int           // attempts of the caller so far, including this one

	origin, gatherer *instance     // the instance that received the query, and the one that gathers it
	back             time.Duration // the network delay of the answer from the gatherer to the origin
	parts, failed    int           // the shards that have answered, and those that cannot answer any more
	shards           []shard
	done             bool
	asked            bool // a later call of decide is scheduled
}

// shard is the state of the requests that a query sends to one shard.
type shard struct {
	tried       []*replica
	outstanding int
	answered    bool
	failed      bool
}

// send sends a query to a random instance, as a load balancer does.
func (s *simulation) send(q *query) {
	q.tries++
	q.origin = s.instances[s.random.IntN(len(s.instances))]
	i := q.origin
	if !s.policy.Off.Has(Admission) {
		verdict := admission.Decide(admission.Facts{InFlight: i.active, Limit: admission.Limit(i.processor)})
		if !verdict.Admit {
			s.refuse(q)

			return
		}
	}
	i.active++
	q.gatherer = s.place(q)
	if q.gatherer == i {
		q.gather()

		return
	}
	there := s.way(i, q.gatherer.place.AvailabilityZone, answerBytes)
	q.back = there
	s.schedule(there, func() {
		q.gatherer.active++
		q.gather()
	})
}

// refuse refuses a query. The caller retries after the delay that the refusal asks for, unless it has no retries or no time left.
func (s *simulation) refuse(q *query) {
	s.refusals++
	left := q.sent + s.pattern.Queries.Deadline.Std() - s.now
	retry := admission.Retry(admission.Refusal{Left: left}, s.random.Float64())
	if q.tries > s.pattern.Queries.Repeats || retry >= left {
		s.result.Refused++

		return
	}
	s.schedule(retry, func() { s.send(&query{sim: s, sent: q.sent, tries: q.tries}) })
}

// place chooses the instance that gathers the query.
func (s *simulation) place(q *query) *instance {
	if s.policy.Off.Has(Placement) {
		return q.origin
	}
	candidates := make([]placement.Candidate, 0, len(s.instances))
	for _, i := range s.instances {
		c := i.candidate()
		c.Excluded = i == q.origin
		candidates = append(candidates, c)
	}
	verdict := placement.Choose(q.origin.candidate(), candidates,
		placement.Query{Shards: len(s.shards), PartBytes: s.pattern.Targets.PartBytes}, q.origin.place,
		func(int) time.Duration { return time.Duration(s.random.Int64N(int64(3 * time.Millisecond))) })
	if verdict.Index < 0 {
		return q.origin
	}

	return s.instances[verdict.Index]
}

// candidate describes the instance to the placement decision.
func (i *instance) candidate() placement.Candidate {
	return placement.Candidate{
		AvailabilityZone: i.place.AvailabilityZone, Processor: i.processor, LinkBits: i.linkBits, Active: i.active,
		LocalShards: i.local, RegionShards: i.region,
	}
}

// gather sends the first request to each shard.
func (q *query) gather() {
	s := q.sim
	q.shards = make([]shard, len(s.shards))
	for n := range q.shards {
		q.gatherer.windows[n].Earn(s.time(), s.limits(), 1)
		s.requests[n].first = append(s.requests[n].first, s.now)
		q.attempt(n)
	}
	s.schedule(q.sent+s.pattern.Queries.Deadline.Std()-s.now, q.expire)
}

// time returns the simulated time in the form that the decisions expect.
func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// attempt sends a request to a replica of shard n that has not been tried yet. If there is none and no request is outstanding, the
// shard has failed.
func (q *query) attempt(n int) {
	s, of := q.sim, &q.shards[n]
	r := q.choose(n)
	if r == nil {
		if of.outstanding == 0 && !of.failed {
			of.failed = true
			q.failed++
			q.decide()
		}

		return
	}
	of.tried = append(of.tried, r)
	of.outstanding++
	g, l, sent := q.gatherer, q.gatherer.link(r), s.now
	l.sent = append(l.sent, sent)
	s.schedule(s.way(g, r.zone, 0), func() {
		r.serve(func(ok bool, load int) {
			bytes := 0.0
			if ok {
				bytes = s.pattern.Targets.PartBytes
			}
			s.schedule(s.way(g, r.zone, bytes), func() {
				g.receive(s, bytes, partWork, func() {
					l.ended(sent, s.now, ok)
					l.load, l.loadAt = load, s.now
					q.ended(n, ok, s.now-sent)
				})
			})
		})
	})
	if !s.policy.Off.Has(Hedging) {
		s.schedule(q.hedgeDelay(n, r), func() {
			if !q.done && !of.answered && of.outstanding > 0 {
				q.again(n)
			}
		})
	}
}

// choose returns a replica of shard n that has not been tried yet, or nil if there is none or MaxAttempts is reached.
func (q *query) choose(n int) *replica {
	s, replicas := q.sim, q.sim.shards[n]
	if len(q.shards[n].tried) >= s.pattern.Queries.MaxAttempts {
		return nil
	}
	skip := func(i int) bool { return slices.Contains(q.shards[n].tried, replicas[i]) }
	if s.policy.Off.Has(Choice) {
		var nearest *replica
		for i, r := range replicas {
			if !skip(i) && (nearest == nil || q.gatherer.place.Distance(r.zone) < q.gatherer.place.Distance(nearest.zone)) {
				nearest = r
			}
		}

		return nearest
	}
	facts := make([]choice.Facts, 0, len(replicas))
	for _, r := range replicas {
		facts = append(facts, q.gatherer.facts(r, s.now))
	}
	if verdict := choice.Choose(facts, q.gatherer.place, skip); verdict.Index >= 0 {
		return replicas[verdict.Index]
	}

	return nil
}

// hedgeDelay returns the time after which the request that is sent to replica r of shard n now is hedged.
func (q *query) hedgeDelay(n int, r *replica) time.Duration {
	s, facts := q.sim, q.gatherer.facts(r, q.sim.now)
	f := hedging.Facts{
		Objective: s.pattern.Queries.Objective.Std(), Usual: q.gatherer.usual.Value(), Left: q.cut() - (s.now - q.sent),
		Pace: facts.Pace, Stopped: facts.Stopped(),
	}
	for _, other := range s.shards[n] {
		if other != r {
			f.Second = q.gatherer.link(other).pace.Value()
		}
	}

	return hedging.Delay(f)
}

// again sends an extra request (a hedge or a retry) to shard n if the budget allows it.
func (q *query) again(n int) {
	s := q.sim
	if !s.policy.Off.Has(Budget) && !q.gatherer.windows[n].Spend(s.time(), s.limits()) {
		return
	}
	before := len(q.shards[n].tried)
	q.attempt(n)
	if len(q.shards[n].tried) > before {
		s.requests[n].extra = append(s.requests[n].extra, s.now)
	}
}

// ended handles the end of a request to shard n. If no other request is outstanding after a failure, it retries.
func (q *query) ended(n int, ok bool, took time.Duration) {
	of := &q.shards[n]
	of.outstanding--
	if ok {
		q.gatherer.usual.Observe(took)
	}
	switch {
	case q.done || of.answered:
		return
	case ok:
		of.answered = true
		q.parts++
		if of.failed {
			of.failed = false
			q.failed--
		}
		q.decide()
	case of.outstanding == 0:
		q.again(n)
		if of.outstanding == 0 && !of.failed {
			of.failed = true
			q.failed++
			q.decide()
		}
	}
}

// cut returns the time, counted from the caller's first attempt, at which the gatherer must answer to meet the objective.
func (q *query) cut() time.Duration {
	return q.sim.pattern.Queries.Objective.Std() - q.back
}

// decide ends the query if its outcome is known. Otherwise, it schedules another call for the time at which the verdict may change.
func (q *query) decide() {
	s := q.sim
	if q.done {
		return
	}
	elapsed := s.now - q.sent
	if s.policy.Off.Has(Coverage) {
		if q.parts+q.failed == len(q.shards) {
			q.end(q.parts >= q.minimum())
		}

		return
	}
	verdict := coverage.Decide(coverage.Facts{
		Shards: len(q.shards), Parts: q.parts, Failed: q.failed, Minimum: q.minimum(), Elapsed: elapsed,
		Objective: s.pattern.Queries.Objective.Std(), ReturnPath: q.back,
	})
	switch {
	case verdict.Return:
		q.end(true)
	case verdict.Fail:
		q.end(false)
	case verdict.Wait > 0 && !q.asked:
		q.asked = true
		s.schedule(verdict.Wait, func() {
			q.asked = false
			q.decide()
		})
	}
}

// minimum returns the smallest number of shards that an answer must cover. The small term keeps rounding errors of the product from
// raising it by one.
func (q *query) minimum() int {
	return max(1, int(math.Ceil(q.sim.pattern.Queries.MinimumCoverage*float64(len(q.shards))-1e-9)))
}

// expire ends the query at its deadline.
func (q *query) expire() {
	if !q.done {
		q.end(q.parts >= q.minimum())
	}
}

// end answers the query with the parts received so far, or fails it.
func (q *query) end(answer bool) {
	s := q.sim
	q.done = true
	q.origin.active--
	if q.gatherer != q.origin {
		q.gatherer.active--
		s.way(q.origin, q.gatherer.place.AvailabilityZone, answerBytes)
	}
	if !answer {
		s.result.Failed++

		return
	}
	share := float64(q.parts) / float64(len(q.shards))
	s.schedule(q.back, func() { s.credit(s.now-q.sent, share) })
}
