package control

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// leavingRetention is the time for which the leader remembers a target that an instance has reported as leaving.
	leavingRetention = 2 * time.Minute
	// maxLeaving is the maximum number of such targets.
	maxLeaving = 1 << 13
)

// leavers are the targets that have said in their responses that their process leaves, by ID.
type leavers map[string]leaver

type leaver struct {
	started time.Time
	at      time.Time
}

// add remembers a target.
func (l leavers) add(id string, started, now time.Time) {
	for old, known := range l {
		if now.Sub(known.at) > leavingRetention {
			delete(l, old)
		}
	}
	if _, known := l[id]; known || len(l) < maxLeaving {
		l[id] = leaver{started: started, at: now}
	}
}

// has reports whether the process of a target leaves.
func (l leavers) has(t *directory.Target) bool {
	known, ok := l[t.ID]

	return ok && known.started.Equal(t.Started)
}

// ReportLeaving sets the targets that leave by their own word although the directory of this instance lists them as ready. They are reported
// to the leader until the directory does not.
func (f *Fleet) ReportLeaving(targets []*directory.Target) {
	f.mu.Lock()
	f.leavingReports = targets
	if len(targets) > 0 {
		close(f.reportsChanged)
		f.reportsChanged = make(chan struct{})
	}
	f.mu.Unlock()
	f.feed.ReportLeaving(targets)
}

// currentLeaving returns the reports for the leader, and a channel that is closed when there are new ones.
func (f *Fleet) currentLeaving() ([]*directory.Target, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.leavingReports, f.reportsChanged
}

// ReportLeaving records targets that leave, which an instance reports to this one, the leader.
func (f *Feed) ReportLeaving(targets []*directory.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acquired == 0 || len(targets) == 0 {
		return
	}
	for _, t := range targets {
		f.reportedLeaving.add(t.ID, t.Started, f.timers.Now())
	}
}

// takeLeaving passes what was reported since the last call to record.
func (f *Feed) takeLeaving(record func(id string, started time.Time)) {
	f.mu.Lock()
	reported := f.reportedLeaving
	f.reportedLeaving = make(leavers)
	f.mu.Unlock()
	for id, known := range reported {
		record(id, known.started)
	}
}

// MarkLeaving makes the directory list a target as draining, whatever its entry says.
func (t *Targets) MarkLeaving(id string, started time.Time) {
	t.leaving.add(id, started, t.timers.Now())
}
