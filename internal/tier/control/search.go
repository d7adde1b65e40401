package control

import (
	"context"
	"errors"
	"math/rand/v2"
)

// search makes the next call to the store and returns the step after it.
func (f *Fleet) search(ctx context.Context, step searchStep, backoff *backoff) (next searchStep) {
	var err error
	switch step {
	case findLeader:
		next, err = f.readLeader(ctx)
	case awaitElection:
		next, err = f.pollLeader(ctx)
	case readAll:
		if f.hasView() {
			f.setMode(direct)
		}
		next, err = pollAll, f.read(ctx)
	case pollAll:
		f.setMode(direct)
		next, err = pollAll, f.longPoll(ctx)
	}
	switch {
	case ctx.Err() != nil, errors.Is(err, errRefresh), errors.Is(err, ErrCompacted):
		return findLeader
	case err != nil:
		f.setMode(direct)
		f.markOutOfDate()
		f.recordStoreFailure()
		f.health.recordFailure(err)
		backoff.sleep(ctx)

		return findLeader
	}
	f.health.recordSuccess()
	backoff.reset()

	return next
}

// readLeader reads the leader's key.
func (f *Fleet) readLeader(ctx context.Context) (next searchStep, err error) {
	ctx, cancel := f.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, revision, err := f.store.Get(ctx, leaderKey)
	if err != nil {
		return findLeader, err
	}
	f.mu.Lock()
	f.apply(&entry, f.targets)
	f.revision, f.upToDate = revision, true
	name, m := f.leader.Name, f.mode
	f.mu.Unlock()
	switch {
	case name == "":
		f.publishView()

		return awaitElection, nil
	case m == following:
		// The lease of the leader that was lost has not ended yet.
		return awaitElection, nil
	default:
		// The leader is followed if possible. Otherwise all keys are read.
		return readAll, nil
	}
}

// pollLeader long-polls the leader's key while there is no leader. If none is elected in time, the store is read instead.
func (f *Fleet) pollLeader(ctx context.Context) (next searchStep, err error) {
	f.mu.Lock()
	revision, m := f.revision, f.mode
	f.mu.Unlock()
	wait := electionTimeout/2 + rand.N(electionTimeout)
	if m == following {
		// The lease of the lost leader has to end first. Reading all keys before would drop the instances that followed that leader,
		// and the next leader has to know them.
		wait = leaderTTL + rand.N(electionTimeout/2)
	}
	changed, err := f.pollPrefix(ctx, leaderKey, revision, wait)
	if err != nil || changed {
		return awaitElection, err
	}

	return readAll, nil
}
