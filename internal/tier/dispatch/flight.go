package dispatch

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/coverage"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
)

const (
	// hedgeAgain is the delay before a hedge is tried again that had no usable replica or was denied by the retry budget.
	hedgeAgain = 15 * time.Millisecond
	// never is a delay that exceeds the duration of every request. A hedge with this delay is never sent.
	never = time.Hour
)

// job is the work of a query that one service has to do: the request for one shard, or a forwarded request.
type job struct {
	service  string
	attempts []*attempt
	// replicas counts the targets that the request was sent to, waiting the attempts that have no result yet. A peer that gathers
	// the job counts as one attempt.
	replicas int
	waiting  int
	// hedgeAt is the time at which the job is late enough for a hedge.
	hedgeAt time.Time
	// done is set if the job is answered, failed if it cannot be answered any more.
	done   bool
	failed bool
	// part is the result that answers the job, nil if a peer gathered it, and stamp is the part's.
	part  *target.Result
	stamp string
	// last is the latest result, of whichever outcome.
	last *target.Result
	// ran is set if a target may have run the request.
	ran bool
}

// attempt is one request for a job to one target.
type attempt struct {
	link   *target.Link
	cancel target.Cancel
	ended  bool
}

// ended is the result of an attempt.
type ended struct {
	job     int
	attempt *attempt
	result  target.Result
}

// flight is the state of a query that is being gathered or forwarded. Only the goroutine that executes run changes it. Results of
// attempts and answers of peers arrive through channels.
type flight struct {
	d     *Dispatcher
	query *Query
	call  *target.Call
	// single is set if the query is forwarded to one target, subset if a peer asked for some of the shards of its own query.
	single bool
	subset bool
	jobs   []job
	// parts and failed count the jobs that are answered and those that have failed.
	parts  int
	failed int
	// stamps holds the stamps of all parts, so that no part is counted twice.
	stamps  set.Set[string]
	results chan ended
	// over is closed when the query has ended and no more results are received.
	over   chan struct{}
	answer Answer
	// early is set once the parts that had arrived at the objective were sent to the peer that asked for the subset.
	early bool
	// grouped delivers the answers of the peers that gather groups, and merged holds the records of these answers.
	grouped chan groupEnded
	merged  [][]byte
	// links and facts are buffers that are reused for each choice of a replica.
	links []*target.Link
	facts []choice.Facts
}

func newFlight(d *Dispatcher, q *Query, services []string) *flight {
	f := &flight{
		d:     d,
		query: q,
		call: &target.Call{
			Route:     q.Route.Name,
			RequestID: q.RequestID,
			Method:    q.Method,
			Head:      q.Head,
			Body:      q.Body,
			Deadline:  q.Deadline,
			Fresh:     !q.Route.Idempotent,
		},
		jobs:    make([]job, len(services)),
		results: make(chan ended, len(services)),
		over:    make(chan struct{}),
		grouped: make(chan groupEnded),
	}
	for i, s := range services {
		f.jobs[i].service = s
	}

	return f
}

// run starts the jobs and returns when the answer is known, the deadline has passed or ctx is done.
func (f *flight) run(ctx context.Context) Answer {
	now := f.d.timers.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !f.single && !f.subset && !f.query.Extra {
		f.group(ctx)
	}
	for i := range f.jobs {
		if f.jobs[i].waiting > 0 {
			continue
		}
		f.d.ledger.Earn(now, f.jobs[i].service)
		if f.query.Extra && !f.mayRepeat(&f.jobs[i], now) {
			f.fail(&f.jobs[i])

			continue
		}
		f.start(i, now)
	}
	defer f.cancel()

	timeout := f.d.timers.After(f.d.timers.Until(f.query.Deadline))
	for {
		now = f.d.timers.Now()
		wait, done := f.decide(now)
		if done {
			return f.answer
		}
		select {
		case e := <-f.results:
			f.take(e)
		case e := <-f.grouped:
			f.takeGroup(e)
		case <-f.d.timers.After(wait):
			f.hedge(f.d.timers.Now())
		case <-timeout:
			if f.subset {
				f.merge()

				return f.end(Answered, "Deadline")
			}

			return f.end(TimedOut, "Deadline")
		case <-ctx.Done():
			return f.end(Abandoned, "CallerLeft")
		}
	}
}

// start sends the job to the replica with the lowest cost among those that it was not sent to yet. It reports whether the route
// allows another replica and there is one.
func (f *flight) start(i int, now time.Time) bool {
	j := &f.jobs[i]
	if j.replicas >= f.allowedAttempts() {
		return false
	}
	f.links = f.d.fleet.Links(f.links[:0], j.service)
	f.facts = f.facts[:0]
	for _, l := range f.links {
		f.facts = append(f.facts, l.Facts(f.query.Route.Name, now))
	}
	verdict := choice.Choose(f.facts, f.d.settings.Place, func(k int) bool { return j.used(f.links[k]) })
	if verdict.Index < 0 {
		f.fail(j)

		return false
	}
	second := choice.Choose(f.facts, f.d.settings.Place, func(k int) bool { return k == verdict.Index || j.used(f.links[k]) })
	f.launch(i, f.links[verdict.Index], &f.facts[verdict.Index], second, now)

	return true
}

// launch starts an attempt at a target and sets the time at which the job is hedged.
func (f *flight) launch(i int, link *target.Link, facts *choice.Facts, second choice.Verdict, now time.Time) {
	j := &f.jobs[i]
	a := &attempt{link: link}
	j.attempts = append(j.attempts, a)
	j.replicas++
	j.waiting++
	f.answer.Attempts++
	j.hedgeAt = now.Add(never)
	if j.replicas < f.allowedAttempts() && f.query.Route.Idempotent && f.d.settings.Hedges {
		j.hedgeAt = now.Add(hedging.Delay(hedging.Facts{
			Objective: f.query.Route.Objective,
			Usual:     f.d.usual(f.query.Route.Name),
			Left:      f.cut() - f.query.Elapsed - now.Sub(f.query.Received),
			Second:    second.Cost,
			Pace:      facts.Pace,
			Stopped:   facts.Stopped(),
		}))
	}
	go func() {
		e := ended{job: i, attempt: a, result: link.Send(f.call, &a.cancel)}
		select {
		case f.results <- e:
		case <-f.over:
		}
	}()
}

// allowedAttempts returns the number of targets that each job may be sent to. It is 1 for a query that an earlier gatherer may have
// sent, because that gatherer may have used the other attempts.
func (f *flight) allowedAttempts() int {
	if f.query.Extra {
		return 1
	}

	return f.query.Route.MaxAttempts
}

// mayRepeat reports whether a job can be sent again that a failed gatherer may have sent, and charges it to the retry budget. The
// replicas that the gatherer chose are not known. The job is sent again only if the service has no more replicas than the route
// allows attempts, so that the bound holds whichever replicas were chosen.
func (f *flight) mayRepeat(j *job, now time.Time) bool {
	j.ran = true
	f.links = f.d.fleet.Links(f.links[:0], j.service)
	if len(f.links) > f.query.Route.MaxAttempts {
		return false
	}
	if !f.d.ledger.Spend(now, j.service) {
		f.answer.Denied++

		return false
	}

	return true
}

// used reports whether the job was sent to a target before.
func (j *job) used(l *target.Link) bool {
	for _, a := range j.attempts {
		if a.link == l {
			return true
		}
	}

	return false
}

// fail marks a job as failed, unless it is answered or has outstanding attempts.
func (f *flight) fail(j *job) {
	if j.waiting == 0 && !j.done && !j.failed {
		j.failed = true
		f.failed++
	}
}

// hedge sends the jobs that are late to another replica.
func (f *flight) hedge(now time.Time) {
	for i := range f.jobs {
		j := &f.jobs[i]
		if j.done || j.failed || j.waiting == 0 || now.Before(j.hedgeAt) {
			continue
		}
		if f.extra(i, now) {
			f.answer.Hedges++
		} else {
			j.hedgeAt = now.Add(hedgeAgain)
		}
	}
}

// extra sends a hedge or retry of the job if there is a replica that it was not sent to and the retry budget allows it. A replica
// that seems to have stopped gets no hedge.
func (f *flight) extra(i int, now time.Time) bool {
	j := &f.jobs[i]
	if j.replicas >= f.allowedAttempts() || !now.Before(f.query.Deadline) {
		return false
	}
	f.links = f.d.fleet.Links(f.links[:0], j.service)
	f.facts = f.facts[:0]
	for _, l := range f.links {
		f.facts = append(f.facts, l.Facts(f.query.Route.Name, now))
	}
	verdict := choice.Choose(f.facts, f.d.settings.Place, func(k int) bool { return j.used(f.links[k]) })
	if verdict.Index < 0 || (j.waiting > 0 && f.facts[verdict.Index].Stopped()) {
		return false
	}
	if !f.d.ledger.Spend(now, j.service) {
		f.answer.Denied++

		return false
	}
	f.launch(i, f.links[verdict.Index], &f.facts[verdict.Index], choice.Verdict{}, now)

	return true
}

// take handles the result of an attempt.
func (f *flight) take(e ended) {
	j := &f.jobs[e.job]
	e.attempt.ended = true
	j.waiting--
	f.d.observe(f.query.Route.Name, &e.result)
	if j.done {
		return
	}
	j.last = &e.result
	if e.result.Outcome != target.NotRun {
		j.ran = true
	} else if e.result.Sent {
		f.answer.Shed = true
	}
	if f.usable(&e.result) {
		j.done, j.part, j.stamp = true, &e.result, e.result.Reply.Stamp
		f.parts++
		for _, a := range j.attempts {
			if !a.ended {
				a.cancel.Do()
			}
		}

		return
	}
	now := f.d.timers.Now()
	if !e.result.Sent {
		// Nothing was sent to a target, so another attempt is no additional load and is not charged to the budget.
		j.replicas--
		if f.query.Route.Idempotent || !j.ran {
			if f.start(e.job, now) {
				f.answer.Retries++
			}
		}

		return
	}
	if j.waiting > 0 {
		return
	}
	if (f.query.Route.Idempotent || !j.ran) && f.extra(e.job, now) {
		f.answer.Retries++

		return
	}
	f.fail(j)
}

// usable reports whether a result answers its job. A gathered part must be a success with a stamp that no other part has.
func (f *flight) usable(r *target.Result) bool {
	if r.Outcome != target.Answered || r.Header.Get("Content-Encoding") != "" {
		return false
	}
	if f.single {
		// A request that is not idempotent must not run twice, so the error response of a target that ran it is the final answer.
		return r.Success() && r.Reply.Stamp != "" || !f.query.Route.Idempotent
	}

	return r.Success() && r.Reply.Stamp != "" && f.stamps.Add(r.Reply.Stamp)
}

// decide ends the query if its answer is known, and otherwise returns the time until the next decision.
func (f *flight) decide(now time.Time) (wait time.Duration, done bool) {
	if f.single {
		return f.decideSingle(now)
	}
	verdict := coverage.Decide(coverage.Facts{
		Shards:     len(f.jobs),
		Parts:      f.parts,
		Failed:     f.failed,
		Minimum:    f.minimum(),
		Elapsed:    f.query.Elapsed + now.Sub(f.query.Received),
		Objective:  f.query.Route.Objective,
		ReturnPath: f.d.settings.ReturnPath,
	})
	switch {
	case verdict.Return && f.subset && f.query.Early != nil && !f.early && f.parts+f.failed < len(f.jobs):
		f.giveEarly()

		return f.untilHedge(now), false
	case verdict.Return, verdict.Fail && f.subset:
		f.merge()
		f.end(Answered, verdict.Reason)

		return 0, true
	case verdict.Fail:
		f.end(f.unanswered(), verdict.Reason)

		return 0, true
	}
	wait = f.untilHedge(now)
	if verdict.Wait > 0 {
		wait = min(wait, verdict.Wait)
	}

	return wait, false
}

// minimum returns the smallest number of parts that an answer may have. A subset may have any number, because the peer that asked
// for it decides whether the parts of all shards suffice. If the objective had already passed when the subset was requested, the
// route's minimum applies to the subset, which would otherwise be answered at once without any part. Once parts were sent early,
// the answer waits for all others.
func (f *flight) minimum() int {
	if f.early {
		return len(f.jobs)
	}
	if f.subset && f.query.Elapsed < f.cut() {
		return 0
	}

	return f.query.Route.Gather.MinimumParts(len(f.jobs))
}

// cut returns how long after the caller's first attempt an answer has to be sent to reach the caller within the objective.
func (f *flight) cut() time.Duration {
	return f.query.Route.Objective - f.d.settings.ReturnPath
}

// decideSingle is decide for a forwarded request.
func (f *flight) decideSingle(now time.Time) (wait time.Duration, done bool) {
	j := &f.jobs[0]
	switch {
	case j.done:
		f.answer.Result = j.part
		f.end(Answered, "Whole")

		return 0, true
	case j.failed:
		reason := "NoTarget"
		if j.last != nil {
			reason = "TargetsFailed"
			f.answer.Result = j.last
		}
		f.end(f.unanswered(), reason)

		return 0, true
	}

	return f.untilHedge(now), false
}

// untilHedge returns the time until the next job is due for a hedge.
func (f *flight) untilHedge(now time.Time) time.Duration {
	wait := never
	for i := range f.jobs {
		if j := &f.jobs[i]; !j.done && !j.failed && j.waiting > 0 {
			wait = min(wait, j.hedgeAt.Sub(now))
		}
	}

	return max(wait, 0)
}

// unanswered returns the status of a query without an answer: NotRun if no target can have run any job of it, else Unknown.
func (f *flight) unanswered() Status {
	for i := range f.jobs {
		if j := &f.jobs[i]; j.ran || j.waiting > 0 {
			return Unknown
		}
	}

	return NotRun
}

// end sets the status and reason of the answer and returns the answer.
func (f *flight) end(status Status, reason string) Answer {
	f.answer.Status, f.answer.Reason = status, reason

	return f.answer
}

// cancel stops receiving results and cancels the outstanding attempts.
func (f *flight) cancel() {
	close(f.over)
	for i := range f.jobs {
		for _, a := range f.jobs[i].attempts {
			if !a.ended {
				a.cancel.Do()
			}
		}
	}
}

// merge fills the answer with the parts that have arrived and were not sent early.
func (f *flight) merge() {
	m := newMerger(f.query.Route.Gather.Top)
	for i := range f.jobs {
		j := &f.jobs[i]
		if j.done || f.subset {
			f.answer.Stamps = append(f.answer.Stamps, j.stamp)
			if f.subset {
				j.stamp = ""
			}
		}
		if j.part != nil {
			m.add(j.part.Body)
			j.part.Body = nil
		}
	}
	for _, records := range f.merged {
		m.add(records)
	}
	f.answer.Missing = len(f.jobs) - f.parts
	f.answer.Records = m.records()
}

// giveEarly sends the parts that have arrived to the peer that asked for the subset. That peer knows the state of all shards and
// decides whether to wait for the others.
func (f *flight) giveEarly() {
	f.merge()
	answer := f.answer
	answer.Status, answer.Reason, answer.Early = Answered, "ObjectiveReached", true
	f.query.Early(answer)
	f.early, f.answer.Stamps, f.answer.Records = true, nil, nil
}
