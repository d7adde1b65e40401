package control

import (
	"context"
	"time"
)

// Lead makes an instance campaign at once and lead until its term ends.
func (l *Leadership) Lead(ctx context.Context) error { return l.lead(ctx) }

// ShowNoLeader makes the view show that there is no leader, as it does before an instance campaigns.
func (f *Fleet) ShowNoLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(&Entry{Key: leaderKey, Deleted: true}, f.targets)
}

// LeaderInterval is the interval of a leader's ticks.
const LeaderInterval = leaderInterval

// PollRevision returns the revision after which the next long poll returns changes.
func (f *Fleet) PollRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.revision
}

// EvacuationState is what an instance knows of the evacuated zones.
type EvacuationState = evacuationState

// Adopt calls adopt, and returns the zones that are evacuated then.
func (s *evacuationState) Adopt(e Evacuation, now time.Time) []string {
	s.adopt(e, now)

	return s.evacuation.Zones
}
