package fanout

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// query is the state of one request after admission. Only the goroutine that executes run changes it; other
// goroutines change only queue.
type query struct {
	engine *Engine
	// ctx is done when the caller has disconnected or the deadline has passed.
	ctx     context.Context
	request *caller.Request
	service *contract.Service
	// attempt has the fields that all attempts of the query share.
	attempt    attempt.Attempt
	began, end time.Time
	idPrefix   uint64
	nextID     int

	queue queue
	round *round
	// inFlight counts the attempts without a result, including those of a round that a restart replaced.
	inFlight int
	// mayHaveRun reports that at least one attempt may have run.
	mayHaveRun bool
	restarted  bool
	// latencies are the latencies of first attempts. They are passed to Engine.Hedge together at the end, so that the
	// lock of the latency digest is acquired only once.
	latencies []time.Duration
	// overloaded reports that an attempt was refused for lack of capacity, outOfTime that one was refused or not sent for
	// lack of time.
	overloaded, outOfTime bool
}

// round is the state of a query for one index version. A restart replaces the whole round, so replies of two versions are never
// mixed.
type round struct {
	pin      snapshot.Pin
	shards   []shard
	answered int
	// open counts the shards that are neither answered nor missing.
	open int
	// sent counts the attempts, notRun those of them that are known not to have run.
	sent, notRun int

	// delay is the age at which an attempt is hedged, if hedging is true. nextHedge is the time for which the hedge timer is set,
	// and stopTimer stops that timer.
	delay     time.Duration
	hedging   bool
	nextHedge time.Time
	stopTimer func() bool
}

// shard is the state of one shard in a round.
type shard struct {
	number   int
	replicas []contract.Replica
	state    state
	hits     []target.Hit
	// attempts lists the attempts in flight in the order of sending, followed by nil entries. There is more than one while the
	// shard is hedged.
	attempts [1 + maxHedges]*shardAttempt
	// hedges counts the hedges that were sent. It is set to maxHedges when a hedge was not possible, so that none is tried again.
	hedges int
	// unavailable reports that at least one replica refused the version.
	unavailable bool
	// reconnected reports that a replica was tried again on a new connection after a reused one had broken.
	reconnected bool
	// tried lists the replicas that were sent an attempt. triedStorage stores its first entries without an allocation.
	tried        []netip.AddrPort
	triedStorage [2]netip.AddrPort
}

// maxHedges limits the hedges of a shard. With 5% stragglers, 1 in 20 pages of 20 shards has a shard whose first attempt and
// first hedge are both stragglers, so the second hedge determines the 99th percentile of the response time.
const maxHedges = 2

type state uint8

const (
	open state = iota
	answered
	missing
)

func newQuery(
	ctx context.Context,
	e *Engine,
	r *caller.Request,
	s *contract.Service,
	began, end time.Time,
) *query {
	q := &query{engine: e, ctx: ctx, request: r, service: s, began: began, end: end, idPrefix: e.Random()}
	q.queue.wake = make(chan struct{}, 1)
	limit := r.Limit
	if limit == 0 {
		limit = s.PageSize
	}
	q.attempt = attempt.Attempt{
		Slots:       s.Slots,
		Connections: s.Connections,
		Worth:       s.Worth,
		Query: target.Query{
			RequestID:  r.RequestID,
			Service:    r.Service,
			Class:      s.Class,
			Text:       r.Text,
			Key:        r.Key,
			Limit:      limit,
			Idempotent: s.Idempotent,
		},
	}

	return q
}

// run queries the shards and returns the answer or the refusal. parent is the context of the caller; it is not done at the
// deadline, so run can distinguish a caller that disconnected from an expired deadline.
func (q *query) run(parent context.Context) (caller.Answer, *caller.Refusal) {
	e := q.engine
	pin, ok := e.Pin(q.request.Service, *q.service, 0)
	if !ok || pin.Shards() == 0 {
		return caller.Answer{}, refuse(target.NotRun, caller.NoTarget, "no usable replica")
	}
	now := e.Timers.Now()
	if e.attemptTimeout(q.end, now) < minimumTimeout || isDone(q.ctx) {
		return caller.Answer{}, refuse(target.NotRun, caller.TooLate, "no time remains after admission")
	}
	q.startRound(pin, now)
	e.Budget.Earn(q.request.Service, q.service.ExtraLoad, q.round.sent)

	if e.firstAnswer(q.service) < q.service.Deadline.Std() {
		defer e.Timers.AfterFunc(q.earliestPartialAnswer().Sub(now), q.queue.signal)()
	}
	ctxDone := false
	for !ctxDone && q.round.open > 0 && !q.mayReturnEarly(now) {
		select {
		case <-q.queue.wake:
		case <-q.ctx.Done():
			ctxDone = true
		}
		now = e.Timers.Now()
		q.processFinished(now, !ctxDone)
		q.sendDueHedges(now, !ctxDone)
	}

	return q.finish(now, ctxDone, ctxDone && q.round.open > 0 && isDone(parent))
}

// earliestPartialAnswer returns the time from which the query may return a partial answer.
func (q *query) earliestPartialAnswer() time.Time {
	return q.began.Add(q.engine.firstAnswer(q.service))
}

// mayReturnEarly reports whether the query may end before all shards have answered. A QuickMatch query may do so from
// FirstUseful on, as soon as its coverage is high enough for an answer.
func (q *query) mayReturnEarly(now time.Time) bool {
	return q.service.Class == contract.QuickMatch && !now.Before(q.earliestPartialAnswer()) && q.hasMinimumCoverage()
}

// hasMinimumCoverage reports whether the replies so far reach the minimum coverage. At least one reply is required.
func (q *query) hasMinimumCoverage() bool {
	r := q.round

	return r.answered > 0 && float64(r.answered)/float64(len(r.shards)) >= q.service.MinimumCoverage
}

// startRound starts a round with one attempt for each shard that the class of the service requires.
func (q *query) startRound(pin snapshot.Pin, now time.Time) {
	e := q.engine
	r := &round{pin: pin}
	if q.service.Idempotent {
		r.delay, r.hedging = e.hedgeDelay(q.request.Service)
	}
	if q.service.Class == contract.OneRecord {
		r.shards = make([]shard, 1)
		r.shards[0].number = shardOf(q.request.Key, pin.Shards())
	} else {
		r.shards = make([]shard, pin.Shards())
		for i := range r.shards {
			r.shards[i].number = i
		}
	}
	r.open = len(r.shards)
	q.latencies = slices.Grow(q.latencies, len(r.shards))
	q.round = r

	timeout := e.attemptTimeout(q.end, now)
	attempts := make([]shardAttempt, len(r.shards))
	ids := q.attemptIDs(len(r.shards))
	for i := range r.shards {
		s := &r.shards[i]
		s.replicas = pin.Replicas[s.number]
		s.tried = s.triedStorage[:0]
		replica, ok := q.choose(s)
		if !ok {
			q.markMissing(s)

			continue
		}
		a := &attempts[i]
		a.id = ids[i]
		q.startAttempt(a, s, replica, firstAttempt, now, timeout)
	}
}

// choose selects a replica of s that was not tried yet.
func (q *query) choose(s *shard) (contract.Replica, bool) {
	if len(s.replicas) <= len(s.tried) {
		return contract.Replica{}, false
	}
	replica, ok := q.engine.Choose(s.replicas, s.tried)

	return replica, ok && !slices.Contains(s.tried, replica.Address)
}

// startAttempt sends a to a replica of s.
func (q *query) startAttempt(a *shardAttempt, s *shard, replica contract.Replica, k kind, now time.Time, timeout time.Duration) {
	a.query, a.round, a.shard, a.replica, a.kind, a.started, a.timeout = q, q.round, s, replica, k, now, timeout
	a.ctx.Context = q.ctx
	s.tried = append(s.tried, replica.Address)
	s.attempts[slices.Index(s.attempts[:], nil)] = a
	q.inFlight++
	q.round.sent++
	q.engine.counters.attempts.Add(1)
	go a.run()
}

// attemptIDs returns n new identifiers whose text shares one allocation. The idPrefix of the query is random, so they differ from
// the identifiers of other requests and of a copy with the same RequestID.
func (q *query) attemptIDs(n int) []string {
	const longest = 16 + 1 + 6
	text := make([]byte, 0, n*longest)
	ends := make([]int, n)
	for i := range n {
		text = strconv.AppendUint(text, q.idPrefix, 16)
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(q.nextID), 10)
		ends[i] = len(text)
		q.nextID++
	}
	all := string(text)
	ids := make([]string, n)
	start := 0
	for i, end := range ends {
		ids[i] = all[start:end]
		start = end
	}

	return ids
}

// processFinished processes the attempts that have finished. It sends retries or restarts only if maySend is true.
func (q *query) processFinished(now time.Time, maySend bool) {
	for a := q.queue.take(); a != nil; a = a.next {
		a.ctx.cancel()
		q.inFlight--
		if a.outcome == target.NotRun {
			a.round.notRun++
			q.recordNotRun(a)
		} else {
			q.mayHaveRun = true
		}
		// After a restart in this loop, the remaining attempts belong to the replaced round.
		if a.round != q.round || a.shard.state != open {
			continue
		}
		if a.replied {
			q.acceptReply(a, now)
		} else {
			q.handleFailure(a, now, maySend)
		}
	}
}

// recordNotRun records why an attempt did not run. The reason determines the code of a refusal.
func (q *query) recordNotRun(a *shardAttempt) {
	switch a.code {
	case target.Shed, target.QueueFull:
		q.overloaded = true
	case target.TooLate:
		q.outOfTime = true
	}
}

// acceptReply records the first reply of a shard and cancels the other attempts of the shard.
func (q *query) acceptReply(a *shardAttempt, now time.Time) {
	s := a.shard
	s.state, s.hits = answered, a.hits
	q.round.answered++
	q.round.open--
	if a.kind == hedgeAttempt {
		q.engine.counters.hedgeWins.Add(1)
	}
	for i, other := range s.attempts {
		if other == nil {
			continue
		}
		if other.kind == firstAttempt {
			q.latencies = append(q.latencies, now.Sub(other.started))
		}
		if other != a {
			other.ctx.cancel()
		}
		s.attempts[i] = nil
	}
}

// markMissing marks s as missing.
func (q *query) markMissing(s *shard) {
	s.state = missing
	q.round.open--
}

// cancelRound cancels the attempts in flight of the round and stops its hedge timer.
func (q *query) cancelRound() {
	for i := range q.round.shards {
		for _, a := range q.round.shards[i].attempts {
			if a != nil {
				a.ctx.cancel()
			}
		}
	}
	if q.round.stopTimer != nil {
		q.round.stopTimer()
	}
}

// finish cancels the attempts in flight and returns an answer if the coverage is high enough, and a refusal otherwise. ctxDone
// reports that the context of the query is done. callerGone reports that the caller disconnected before the round was finished.
func (q *query) finish(now time.Time, ctxDone, callerGone bool) (caller.Answer, *caller.Refusal) {
	q.cancelRound()
	early := !ctxDone && q.round.open > 0
	if early || (ctxDone && !callerGone) {
		q.observeUnanswered(now)
	}
	q.engine.Hedge.Observe(q.request.Service, q.latencies...)
	if callerGone || !q.hasMinimumCoverage() {
		return caller.Answer{}, q.refusal(ctxDone, callerGone)
	}
	r := q.round
	coverage := caller.Coverage{Asked: len(r.shards), Answered: r.answered, Whole: r.answered == len(r.shards)}
	lists := make([][]target.Hit, 0, r.answered)
	for i := range r.shards {
		if s := &r.shards[i]; s.state == answered {
			lists = append(lists, s.hits)
		} else {
			coverage.Missing = append(coverage.Missing, s.number)
		}
	}
	if early {
		q.engine.counters.early.Add(1)
	}

	return caller.Answer{
		RequestID: q.request.RequestID,
		Service:   q.request.Service,
		Snapshot:  caller.Snapshot{Version: r.pin.Version, Shards: r.pin.Shards()},
		Coverage:  coverage,
		Hits:      merge(lists, q.attempt.Query.Limit),
	}, nil
}

// observeUnanswered records the age of the first attempts that are still in flight as their latency.
func (q *query) observeUnanswered(now time.Time) {
	for i := range q.round.shards {
		for _, a := range q.round.shards[i].attempts {
			if a != nil && a.kind == firstAttempt {
				q.latencies = append(q.latencies, now.Sub(a.started))
			}
		}
	}
}

// refusal returns the refusal of a query whose coverage is too low for an answer.
func (q *query) refusal(ctxDone, callerGone bool) *caller.Refusal {
	q.awaitCancelled()
	r := q.round
	if q.mayHaveRun || q.inFlight > 0 {
		if !q.service.Idempotent || q.service.Class == contract.OneRecord || callerGone {
			return refuse(target.Unknown, caller.Lost, "%d of %d shards answered", r.answered, len(r.shards))
		}

		return refuse(target.Unknown, caller.InsufficientCoverage, "%d of %d shards answered, at least %g of them are needed",
			r.answered, len(r.shards), q.service.MinimumCoverage)
	}
	switch {
	case callerGone:
		return refuse(target.NotRun, caller.TooLate, "the caller went away")
	case q.overloaded:
		return refuse(target.NotRun, caller.Overloaded, "the targets are at their limits")
	case ctxDone, q.outOfTime:
		return refuse(target.NotRun, caller.TooLate, "no target could run the request in time")
	default:
		return refuse(target.NotRun, caller.NoTarget, "no replica could be reached")
	}
}

// awaitCancelled waits up to cancelledWait for the results of cancelled attempts, which may show that no attempt has run.
func (q *query) awaitCancelled() {
	if q.inFlight == 0 || q.mayHaveRun {
		return
	}
	expired := q.engine.Timers.After(cancelledWait)
	for q.inFlight > 0 && !q.mayHaveRun {
		select {
		case <-q.queue.wake:
			q.processFinished(q.engine.Timers.Now(), false)
		case <-expired:
			return
		}
	}
}
