package control

import (
	"context"
	"time"
)

// Notice is what the leader tells the others once in a while and after each change. It reaches instances whose calls of the store
// wait without hearing of changes.
type Notice struct {
	// Leader is the revision of the leader's key.
	Leader uint64
	// Version is the configuration in force at the leader, Mirror the revision of its last change of the mirror.
	Version uint64
	Mirror  uint64
}

// Behind makes the keeper read everything again if revision is newer than what it knows, because a peer has it.
func (f *Fleet) Behind(revision uint64) {
	f.mu.Lock()
	behind := f.known && revision > f.seen
	f.mu.Unlock()
	if behind {
		f.refresh()
	}
}

// Noticed takes a notice of the leader.
func (f *Fleet) Noticed(n Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noticed = f.timers.Now()
	f.wanted = max(n.Mirror, n.Leader)
}

func (f *Fleet) refresh() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Watch reads the store again if there are no notices of the leader, or if a change that it told of does not come, until ctx ends. A
// call that waits may never hear of a change.
func (f *Fleet) Watch(ctx context.Context) error {
	ticks := f.timers.Subscribe(noticeCheck)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			if f.missed(now) {
				f.refresh()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// missed reports whether the store has to be read again.
func (f *Fleet) missed(now time.Time) bool {
	patience := f.settle() + changePatience
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.known || f.leader.Name == f.self.Name:
		f.noticed, f.behindSince = now, time.Time{}

		return false
	case now.Sub(f.noticed) > noticeTimeout:
		f.noticed = now

		return true
	case f.wanted <= max(f.seen, f.leaderRevision):
		f.behindSince = time.Time{}

		return false
	case f.behindSince.IsZero():
		f.behindSince = now

		return false
	case now.Sub(f.behindSince) > patience:
		f.behindSince = now

		return true
	default:
		return false
	}
}
