package control

import (
	"context"
	"time"
)

// Notice is the message that the leader sends to the other instances periodically and after each change. It lets an instance
// detect that its long polls of the store miss changes.
type Notice struct {
	// Leader is the revision of the leader's key.
	Leader uint64
	// Version is the version of the configuration in force at the leader.
	Version uint64
	// Mirror is the revision of the last change that the leader made to the mirror.
	Mirror uint64
}

// RefreshIfOlder makes Run read the full state again if revision, which a peer has seen, is newer than that of this instance.
func (f *Fleet) RefreshIfOlder(revision uint64) {
	f.mu.Lock()
	behind := f.upToDate && revision > f.seenRevision
	f.mu.Unlock()
	if behind {
		f.refresh()
	}
}

// HandleNotice records a notice that was received from the leader.
func (f *Fleet) HandleNotice(n Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNotice = f.timers.Now()
	f.announcedRevision = max(n.Mirror, n.Leader)
}

func (f *Fleet) refresh() {
	select {
	case f.refreshCh <- struct{}{}:
	default:
	}
}

// Watch makes Run read the store again when notices of the leader stop, or when a change that a notice announced does not arrive.
// It guards against a long poll that never returns a change, and runs until ctx is done.
func (f *Fleet) Watch(ctx context.Context) error {
	ticks := f.timers.Subscribe(noticeCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			if f.needsRefresh(now) {
				f.refresh()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// needsRefresh reports whether the store has to be read again. While the same condition persists, it returns true once per timeout
// instead of at each check.
func (f *Fleet) needsRefresh(now time.Time) bool {
	timeout := f.batchDelay() + changeTimeout
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.upToDate || f.leader.Name == f.self.Name:
		f.lastNotice, f.behindSince = now, time.Time{}

		return false
	case now.Sub(f.lastNotice) > noticeTimeout:
		f.lastNotice = now

		return true
	case f.announcedRevision <= max(f.seenRevision, f.leaderRevision):
		f.behindSince = time.Time{}

		return false
	case f.behindSince.IsZero():
		f.behindSince = now

		return false
	case now.Sub(f.behindSince) > timeout:
		f.behindSince = now

		return true
	default:
		return false
	}
}
