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

// query is one request from its pin to its end. Only the goroutine of the caller changes it.
type query struct {
	engine *Engine
	// ctx is done when the caller is gone and at the deadline.
	ctx     context.Context
	request *caller.Request
	service *contract.Service
	// attempt is what all attempts have in common.
	attempt    attempt.Attempt
	began, end time.Time
	token      uint64
	numbered   int

	queue queue
	round *round
	// inFlight counts the attempts without a result, those of an abandoned round included.
	inFlight int
	// touched is true when some attempt may have run.
	touched   bool
	restarted bool
	// latencies are those of first attempts. They are recorded together at the end, to take the lock of the digest once.
	latencies []time.Duration
	// crowded and late say that attempts were refused for lack of capacity or of time.
	crowded, late bool
}

// round is the part of a query that is held to one index version. A restart abandons the round as a whole, so replies of
// two versions are never mixed.
type round struct {
	pin      snapshot.Pin
	shards   []shard
	answered int
	// open counts the shards that can still answer.
	open int
	// sent and notRun count the attempts, and those known not to have run.
	sent, notRun int

	// delay is the age at which an attempt is hedged, if hedging is true. hedgeAt is the time for which a timer is set.
	delay   time.Duration
	hedging bool
	hedgeAt time.Time
	stop    func() bool
}

// shard is the state of one shard in a round.
type shard struct {
	number   int
	replicas []contract.Replica
	state    state
	hits     []target.Hit
	// flights are the attempts in flight without gaps, the latest one last: one, and more while it is hedged.
	flights [1 + maxHedges]*flight
	// hedges counts the hedges that were sent. It is maxHedges once one was denied, because it is not asked for again.
	hedges int
	// unavailable is true when some replica refused the version.
	unavailable bool
	// renewed is true when a replica was asked again because its connection had broken.
	renewed bool
	// tried lists the replicas that were asked. Its first entries need no allocation.
	tried  []netip.AddrPort
	inline [2]netip.AddrPort
}

// maxHedges bounds the hedges of a shard. With 5% stragglers, one page of 20 shards in 20 has a shard whose first attempt and
// hedge are both stragglers, so that a second hedge decides its 99th percentile.
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
	q := &query{engine: e, ctx: ctx, request: r, service: s, began: began, end: end, token: e.Random()}
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

// run asks the shards and returns what the caller gets. The context of the caller, parent, tells its end from the deadline.
func (q *query) run(parent context.Context) (caller.Answer, *caller.Refusal) {
	e := q.engine
	pin, ok := e.Pin(q.request.Service, *q.service, 0)
	if !ok || pin.Shards() == 0 {
		return caller.Answer{}, refuse(target.NotRun, caller.NoTarget, "no usable replica")
	}
	now := e.Timers.Now()
	if e.timeout(q.end, now) < minimumTimeout || isDone(q.ctx) {
		return caller.Answer{}, refuse(target.NotRun, caller.TooLate, "no time remains after admission")
	}
	q.begin(pin, now)
	e.Budget.Earn(q.request.Service, q.service.ExtraLoad, q.round.sent)

	if e.firstAnswer(q.service) < q.service.Deadline.Std() {
		defer e.Timers.AfterFunc(q.firstAnswer().Sub(now), q.queue.signal)()
	}
	over := false
	for !over && q.round.open > 0 && !q.isEarly(now) {
		select {
		case <-q.queue.wake:
		case <-q.ctx.Done():
			over = true
		}
		now = e.Timers.Now()
		q.land(now, !over)
		q.hedge(now, !over)
	}

	return q.conclude(now, over, over && q.round.open > 0 && isDone(parent))
}

func (q *query) firstAnswer() time.Time {
	return q.began.Add(q.engine.firstAnswer(q.service))
}

// isEarly reports whether the query ends before all shards answered. A QuickMatch query ends at FirstUseful if its
// coverage is high enough for an answer, and otherwise as soon as it is.
func (q *query) isEarly(now time.Time) bool {
	return q.service.Class == contract.QuickMatch && !now.Before(q.firstAnswer()) && q.isEnough()
}

// isEnough reports whether the replies so far make an answer.
func (q *query) isEnough() bool {
	r := q.round

	return r.answered > 0 && float64(r.answered)/float64(len(r.shards)) >= q.service.MinimumCoverage
}

// begin starts a round with one attempt for each shard that the class needs.
func (q *query) begin(pin snapshot.Pin, now time.Time) {
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

	timeout := e.timeout(q.end, now)
	flights := make([]flight, len(r.shards))
	ids := q.attemptIDs(len(r.shards))
	for i := range r.shards {
		s := &r.shards[i]
		s.replicas = pin.Replicas[s.number]
		s.tried = s.inline[:0]
		replica, ok := q.choose(s)
		if !ok {
			q.miss(s)

			continue
		}
		f := &flights[i]
		f.id = ids[i]
		q.start(f, s, replica, first, now, timeout)
	}
}

// choose picks a replica of s that was not asked yet.
func (q *query) choose(s *shard) (contract.Replica, bool) {
	if len(s.replicas) <= len(s.tried) {
		return contract.Replica{}, false
	}
	replica, ok := q.engine.Choose(s.replicas, s.tried)

	return replica, ok && !slices.Contains(s.tried, replica.Address)
}

// start sends f to a replica of s.
func (q *query) start(f *flight, s *shard, replica contract.Replica, k kind, now time.Time, timeout time.Duration) {
	f.query, f.round, f.shard, f.replica, f.kind, f.started, f.timeout = q, q.round, s, replica, k, now, timeout
	f.ctx.Context = q.ctx
	s.tried = append(s.tried, replica.Address)
	s.flights[slices.Index(s.flights[:], nil)] = f
	q.inFlight++
	q.round.sent++
	q.engine.counters.attempts.Add(1)
	go f.run()
}

// attemptIDs returns n new identifiers that share one allocation. The token of the query makes them differ from those of
// other requests, also from those of a copy with the same RequestID.
func (q *query) attemptIDs(n int) []string {
	const longest = 16 + 1 + 6
	text := make([]byte, 0, n*longest)
	ends := make([]int, n)
	for i := range n {
		text = strconv.AppendUint(text, q.token, 16)
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(q.numbered), 10)
		ends[i] = len(text)
		q.numbered++
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

// land takes in the attempts that have finished. Nothing new is started unless more is true.
func (q *query) land(now time.Time, more bool) {
	for f := q.queue.take(); f != nil; f = f.next {
		f.ctx.cancel()
		q.inFlight--
		if f.outcome == target.NotRun {
			f.round.notRun++
			q.note(f)
		} else {
			q.touched = true
		}
		// A restart within this loop makes the remaining flights those of an abandoned round.
		if f.round != q.round || f.shard.state != open {
			continue
		}
		if f.replied {
			q.accept(f, now)
		} else {
			q.recover(f, now, more)
		}
	}
}

// note remembers why an attempt did not run, for the code of a refusal.
func (q *query) note(f *flight) {
	switch f.code {
	case target.Shed, target.QueueFull:
		q.crowded = true
	case target.TooLate:
		q.late = true
	}
}

// accept takes the first reply of a shard and cancels its other attempt.
func (q *query) accept(f *flight, now time.Time) {
	s := f.shard
	s.state, s.hits = answered, f.hits
	q.round.answered++
	q.round.open--
	if f.kind == hedged {
		q.engine.counters.hedgeWins.Add(1)
	}
	for i, other := range s.flights {
		if other == nil {
			continue
		}
		if other.kind == first {
			q.latencies = append(q.latencies, now.Sub(other.started))
		}
		if other != f {
			other.ctx.cancel()
		}
		s.flights[i] = nil
	}
}

// miss gives up a shard.
func (q *query) miss(s *shard) {
	s.state = missing
	q.round.open--
}

// abandon cancels everything that the round still waits for.
func (q *query) abandon() {
	for i := range q.round.shards {
		for _, f := range q.round.shards[i].flights {
			if f != nil {
				f.ctx.cancel()
			}
		}
	}
	if q.round.stop != nil {
		q.round.stop()
	}
}

// conclude cancels what is in flight and returns an answer if the replies make one. The query is over when its context was
// done before all shards were settled, and gone when that was because of the caller.
func (q *query) conclude(now time.Time, over, gone bool) (caller.Answer, *caller.Refusal) {
	q.abandon()
	early := !over && q.round.open > 0
	if early || (over && !gone) {
		q.observeUnanswered(now)
	}
	q.engine.Hedge.Observe(q.request.Service, q.latencies...)
	if gone || !q.isEnough() {
		return caller.Answer{}, q.refusal(over, gone)
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

// observeUnanswered records the age of first attempts that are still in flight as their latency.
func (q *query) observeUnanswered(now time.Time) {
	for i := range q.round.shards {
		for _, f := range q.round.shards[i].flights {
			if f != nil && f.kind == first {
				q.latencies = append(q.latencies, now.Sub(f.started))
			}
		}
	}
}

// refusal returns the refusal of a query whose replies make no answer.
func (q *query) refusal(over, gone bool) *caller.Refusal {
	q.settle()
	r := q.round
	if q.touched || q.inFlight > 0 {
		if !q.service.Idempotent || q.service.Class == contract.OneRecord || gone {
			return refuse(target.Unknown, caller.Lost, "%d of %d shards answered", r.answered, len(r.shards))
		}

		return refuse(target.Unknown, caller.InsufficientCoverage, "%d of %d shards answered, at least %g of them are needed",
			r.answered, len(r.shards), q.service.MinimumCoverage)
	}
	switch {
	case gone:
		return refuse(target.NotRun, caller.TooLate, "the caller went away")
	case q.crowded:
		return refuse(target.NotRun, caller.Overloaded, "the targets are at their limits")
	case over, q.late:
		return refuse(target.NotRun, caller.TooLate, "no target could run the request in time")
	default:
		return refuse(target.NotRun, caller.NoTarget, "no replica could be reached")
	}
}

// settle waits for a short time for cancelled attempts, whose results may show that nothing ran.
func (q *query) settle() {
	if q.inFlight == 0 || q.touched {
		return
	}
	expired := q.engine.Timers.After(settleTime)
	for q.inFlight > 0 && !q.touched {
		select {
		case <-q.queue.wake:
			q.land(q.engine.Timers.Now(), false)
		case <-expired:
			return
		}
	}
}
