package fanout

import "time"

// hedge sends a second copy of the attempts that are late. It waits until 80% of the other shards have answered, because
// before that the service as a whole is slow and more load does not help. A query of one shard has no others to wait for.
func (q *query) hedge(now time.Time, more bool) {
	r := q.round
	if !more || !r.hedging || r.open == 0 || r.answered < q.engine.hedgeQuorum(len(r.shards)) {
		return
	}
	var next time.Time
	limit := q.engine.hedges()
	for i := range r.shards {
		s := &r.shards[i]
		if s.state != open || s.hedges >= limit {
			continue
		}
		last := s.latest()
		due := last.started.Add(r.delay)
		if last.late.Load() || !now.Before(due) {
			q.another(s, now)
			due = now.Add(r.delay)
		}
		if s.hedges < limit && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	if !next.IsZero() && !next.Equal(r.hedgeAt) {
		if r.stop != nil {
			r.stop()
		}
		r.hedgeAt = next
		r.stop = q.engine.Timers.AfterFunc(next.Sub(now), q.queue.signal)
	}
}

// latest returns the attempt of an open shard that was sent last.
func (s *shard) latest() *flight {
	last := s.flights[0]
	for _, f := range s.flights[1:] {
		if f != nil {
			last = f
		}
	}

	return last
}

// another sends a hedge for s if there are time, a replica and a token. The second hedge may go to a replica that was asked
// before, because a shard has few replicas and a straggler is mostly slow by itself and not
// because of its replica.
func (q *query) another(s *shard, now time.Time) {
	e := q.engine
	sent := s.hedges
	s.hedges = maxHedges
	timeout := e.timeout(q.end, now)
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
		q.start(&flight{id: q.attemptIDs(1)[0]}, s, replica, hedged, now, timeout)
	}
}
