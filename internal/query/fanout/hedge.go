package fanout

import "time"

// sendDueHedges sends the hedges that are due and sets a timer for the next one. It sends none before 80% of the other shards have
// answered: while fewer have answered, the service as a whole is slow, and more load does not help. A query of one shard waits for
// no other shard.
func (q *query) sendDueHedges(now time.Time, maySend bool) {
	r := q.round
	if !maySend || !r.hedging || r.open == 0 || r.answered < q.engine.hedgeQuorum(len(r.shards)) {
		return
	}
	var next time.Time
	limit := q.engine.hedges()
	for i := range r.shards {
		s := &r.shards[i]
		if s.state != open || s.hedges >= limit {
			continue
		}
		due := s.latestAttempt().started.Add(r.delay)
		if !now.Before(due) {
			q.sendHedge(s, now)
			due = now.Add(r.delay)
		}
		if s.hedges < limit && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	if !next.IsZero() && !next.Equal(r.nextHedge) {
		if r.stopTimer != nil {
			r.stopTimer()
		}
		r.nextHedge = next
		r.stopTimer = q.engine.Timers.AfterFunc(next.Sub(now), q.queue.signal)
	}
}

// latestAttempt returns the attempt in flight that was sent last. An open shard has at least one attempt in flight.
func (s *shard) latestAttempt() *shardAttempt {
	last := s.attempts[0]
	for _, a := range s.attempts[1:] {
		if a != nil {
			last = a
		}
	}

	return last
}

// sendHedge sends a hedge for s if enough time remains, a replica is available and the budget covers it. The second hedge may go to
// a replica that was already tried: a shard has few replicas, and most stragglers are single slow requests and not the sign of a
// slow replica.
func (q *query) sendHedge(s *shard, now time.Time) {
	e := q.engine
	sent := s.hedges
	s.hedges = maxHedges
	timeout := e.attemptTimeout(q.end, now)
	if timeout < minimumTimeout {
		return
	}
	replica, ok := q.choose(s)
	if !ok && sent > 0 {
		replica, ok = e.Choose(s.replicas, nil)
	}
	if ok && e.hedgeSpend(q.request.Service, 1) {
		s.hedges = sent + 1
		e.counters.hedges.Add(1)
		q.startAttempt(&shardAttempt{id: q.attemptIDs(1)[0]}, s, replica, hedgeAttempt, now, timeout)
	}
}
