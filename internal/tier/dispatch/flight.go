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
	// hedgeAgain is the time after which a hedge that was not possible is considered once more.
	hedgeAgain = 15 * time.Millisecond
	// never is longer than any request.
	never = time.Hour
)

// job is the part of a query that one service has to answer.
type job struct {
	service  string
	attempts []*attempt
	// replicas counts the targets that the request was sent to.
	replicas int
	waiting  int // attempts without a result
	hedgeAt  time.Time
	done     bool
	failed   bool
	part     *target.Result
	stamp    string // of the part
	last     *target.Result
	ran      bool // some target may have run the request
}

type attempt struct {
	link   *target.Link
	cancel target.Cancel
	ended  bool
}

type ended struct {
	job     int
	attempt *attempt
	result  target.Result
}

// flight is a query while it is answered. One goroutine owns it.
type flight struct {
	d       *Dispatcher
	query   *Query
	call    *target.Call
	single  bool
	subset  bool
	jobs    []job
	parts   int
	failed  int
	stamps  set.Set[string]
	results chan ended
	// over is closed when the flight has ended and takes no more results.
	over   chan struct{}
	answer Answer
	// early is set once the parts at hand were given to the peer that asked for the subset.
	early bool
	// grouped delivers the answers of peers, and merged holds their records.
	grouped chan groupEnded
	merged  [][]byte
	links   []*target.Link
	facts   []choice.Facts
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

// run answers the query.
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

// start sends the job to the best replica that it was not sent to yet. It reports whether there was one.
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

// launch makes an attempt at a target.
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

// allowedAttempts returns the number of targets that each job may be sent to. An earlier gatherer may have used the others.
func (f *flight) allowedAttempts() int {
	if f.query.Extra {
		return 1
	}

	return f.query.Route.MaxAttempts
}

// mayRepeat reports whether a job that a lost gatherer may have sent can be sent once more: the budget allows it, and whichever
// replicas the gatherer chose, the route allows as many.
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

func (j *job) used(l *target.Link) bool {
	for _, a := range j.attempts {
		if a.link == l {
			return true
		}
	}

	return false
}

// fail marks a job without outstanding attempts as failed.
func (f *flight) fail(j *job) {
	if j.waiting == 0 && !j.done && !j.failed {
		j.failed = true
		f.failed++
	}
}

// hedge sends second copies of the jobs that are late.
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

// extra sends another copy of the job if there is a replica and the budget allows it.
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

// take handles the end of an attempt.
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
		// Nothing reached a target, so another attempt is not an extra request.
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

// usable reports whether a response is the answer of its job.
func (f *flight) usable(r *target.Result) bool {
	if r.Outcome != target.Answered || r.Header.Get("Content-Encoding") != "" {
		return false
	}
	if f.single {
		// A failure that a target reports of a request that ran is final if the request must not run twice.
		return r.Success() && r.Reply.Stamp != "" || !f.query.Route.Idempotent
	}

	return r.Success() && r.Reply.Stamp != "" && f.stamps.Add(r.Reply.Stamp)
}

// decide ends the flight if its answer is known, and otherwise returns the time until the next decision.
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

// minimum returns the smallest number of parts that is worth an answer. The peer that asked for a subset decides by all shards, so
// a subset is answered with any number, unless the objective had passed when it was asked for.
func (f *flight) minimum() int {
	if f.early {
		return len(f.jobs)
	}
	if f.subset && f.query.Elapsed < f.cut() {
		return 0
	}

	return f.query.Route.Gather.MinimumParts(len(f.jobs))
}

// cut returns the time since the caller's first attempt at which an answer has to be given to be in time.
func (f *flight) cut() time.Duration {
	return f.query.Route.Objective - f.d.settings.ReturnPath
}

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

// untilHedge returns the time until the next hedge.
func (f *flight) untilHedge(now time.Time) time.Duration {
	wait := never
	for i := range f.jobs {
		if j := &f.jobs[i]; !j.done && !j.failed && j.waiting > 0 {
			wait = min(wait, j.hedgeAt.Sub(now))
		}
	}

	return max(wait, 0)
}

// unanswered returns NotRun if no target has run any part of the query.
func (f *flight) unanswered() Status {
	for i := range f.jobs {
		if j := &f.jobs[i]; j.ran || j.waiting > 0 {
			return Unknown
		}
	}

	return NotRun
}

func (f *flight) end(status Status, reason string) Answer {
	f.answer.Status, f.answer.Reason = status, reason

	return f.answer
}

// cancel ends the attempts that are still in flight.
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

// merge makes the answer of the parts at hand.
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

// giveEarly gives the parts at hand to the peer that asked for the subset. It decides by all shards whether it needs the others.
func (f *flight) giveEarly() {
	f.merge()
	answer := f.answer
	answer.Status, answer.Reason, answer.Early = Answered, "ObjectiveReached", true
	f.query.Early(answer)
	f.early, f.answer.Stamps, f.answer.Records = true, nil, nil
}
