package control

import (
	"context"
	"net/netip"
	"time"
)

// Notice is the message that the leader sends to the instances that do not follow it, periodically and after each change. It lets an
// instance follow a new leader at once, and detect that its long polls of the store miss changes.
type Notice struct {
	// Leader is the revision of the leader's key. Name and Peer are the leader's name and the address at which it can be followed.
	Leader uint64
	Name   string
	Peer   netip.AddrPort
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
	if usesStore, _ := f.UsesStore(); behind && usesStore {
		f.refresh()
	}
}

// HandleNotice records a notice that was received from the leader. A leader with a newer term than the one that is followed is
// followed instead.
func (f *Fleet) HandleNotice(n Notice) {
	f.endReplacedTerm(&n)
	f.mu.Lock()
	f.lastNotice = f.timers.Now()
	f.announcedRevision = max(n.Mirror, n.Leader)
	canFollow := f.follow != nil && n.Peer.IsValid() && n.Name != f.self.Name && f.mode != leading
	newer := canFollow && n.Leader > max(f.leaderRevision, f.highestTerm)
	// A leader that reaches this instance, though it could not be followed, is tried again.
	again := canFollow && f.mode == direct && n.Leader >= f.highestTerm && n.Leader == f.leaderRevision
	if newer {
		f.leader, f.leaderRevision = syncedLeader(n.Name, n.Peer, n.Leader), n.Leader
	}
	if again {
		f.retryAt = f.timers.Now()
	}
	f.mu.Unlock()
	if newer || again {
		f.refresh()
	}
}

// endReplacedTerm ends the term of this instance if a notice is from the leader of a later term, which this instance then follows. A leader
// that the store refuses cannot read there that another instance leads.
func (f *Fleet) endReplacedTerm(n *Notice) {
	f.mu.Lock()
	onReplaced := f.onReplaced
	replaced := f.follow != nil && onReplaced != nil && n.Peer.IsValid() && n.Name != f.self.Name && n.Leader > f.highestTerm
	if replaced {
		f.successor = *n
	}
	f.mu.Unlock()
	if replaced {
		onReplaced()
	}
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
	case !f.upToDate || f.leader.Name == f.self.Name || f.follow != nil && f.mode != direct:
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
