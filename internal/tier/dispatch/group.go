package dispatch

import (
	"context"
	"errors"
	"time"
)

// groupEnded is an early or final answer of a peer that gathers a group, or the error of the call.
type groupEnded struct {
	group  Group
	answer Answer
	err    error
}

// group starts the calls to the peers that gather some of the shards.
func (f *flight) group(ctx context.Context) {
	later := f.d.timers.Now().Add(never)
	for _, g := range f.d.groups(f.query) {
		for _, i := range g.Jobs {
			// The peer hedges these jobs, so this instance does not.
			f.jobs[i].waiting, f.jobs[i].hedgeAt = 1, later
		}
		go func() {
			answer, err := g.Run(ctx, func(early Answer) { f.giveGroup(groupEnded{group: g, answer: early}) })
			f.giveGroup(groupEnded{group: g, answer: answer, err: err})
		}()
	}
}

// giveGroup passes an answer of a peer to run, or drops it if the query has ended.
func (f *flight) giveGroup(e groupEnded) {
	select {
	case f.grouped <- e:
	case <-f.over:
	}
}

// takeGroup handles an early or final answer of a peer. If the peer failed, this instance gathers the shards of the group.
func (f *flight) takeGroup(e groupEnded) {
	if !e.answer.Early {
		f.answer.Attempts += e.answer.Attempts
		f.answer.Hedges += e.answer.Hedges
		f.answer.Retries += e.answer.Retries
		f.answer.Denied += e.answer.Denied
	}
	now := f.d.timers.Now()
	failed := e.err != nil || len(e.answer.Stamps) != len(e.group.Jobs) || !f.addStamps(e.answer.Stamps)
	if !failed {
		f.merged = append(f.merged, e.answer.Records)
	}
	for k, i := range e.group.Jobs {
		j := &f.jobs[i]
		if j.done {
			continue
		}
		if !failed && e.answer.Stamps[k] != "" {
			j.done, j.stamp, j.waiting = true, e.answer.Stamps[k], 0
			f.parts++

			continue
		}
		if e.answer.Early {
			continue
		}
		j.waiting--
		switch {
		case failed && (e.err == nil || errors.Is(e.err, ErrMayHaveRun)):
			// A peer that answered without the expected stamps has sent the jobs to targets as well.
			f.repeat(i, now)
		case failed:
			f.d.ledger.Earn(now, j.service)
			f.start(i, now)
		default:
			// The peer has made all attempts that the route allows.
			j.ran = true
			f.fail(j)
		}
	}
}

// repeat sends a job that a failed peer may have sent to targets, if the retry budget and the route allow it.
func (f *flight) repeat(i int, now time.Time) {
	j := &f.jobs[i]
	// The peer sent the first request for the shard. The request of this instance is a retry.
	f.d.ledger.Earn(now, j.service)
	if !f.mayRepeat(j, now) {
		f.fail(j)

		return
	}
	f.answer.Retries++
	j.replicas = f.query.Route.MaxAttempts - 1
	f.start(i, now)
}

// addStamps records the stamps of a peer's parts. If one of them was recorded before, it records none and returns false.
func (f *flight) addStamps(stamps []string) bool {
	for _, s := range stamps {
		if s != "" && f.stamps.Has(s) {
			return false
		}
	}
	for _, s := range stamps {
		if s != "" {
			f.stamps.Add(s)
		}
	}

	return true
}
