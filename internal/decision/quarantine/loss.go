package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// LossTime is how long a process that a query has crashed counts as not replaced by another one, unless a target answers the query.
	LossTime = 4 * time.Second
	// maxLosses is the maximum number of processes that count as lost.
	maxLosses = 1 << 13
)

// losses are the processes that count as lost.
type losses struct {
	// over is the time from which none of them counts as lost, in Unix nanoseconds.
	over      atomic.Int64
	byProcess map[string]loss
}

// loss is the loss of a process that a query has crashed.
type loss struct {
	query suspect.Fingerprint
	until time.Time
}

func newLosses() losses { return losses{byProcess: make(map[string]loss)} }

func (l *losses) add(process string, query suspect.Fingerprint, now time.Time) {
	if lost, ok := l.byProcess[process]; ok && now.Before(lost.until) {
		return
	}
	if len(l.byProcess) >= maxLosses || now.UnixNano() >= l.over.Load() {
		for known, lost := range l.byProcess {
			if !now.Before(lost.until) {
				delete(l.byProcess, known)
			}
		}
	}
	if len(l.byProcess) >= maxLosses {
		return
	}
	until := now.Add(LossTime)
	l.byProcess[process] = loss{query: query, until: until}
	l.over.Store(until.UnixNano())
}

// remove removes a process if the query is the one that is blamed for its loss.
func (l *losses) remove(process string, query suspect.Fingerprint) {
	if l.byProcess[process].query == query {
		delete(l.byProcess, process)
	}
}

// AnyLost reports whether IsLost may be true of any process.
func (l *List) AnyLost(now time.Time) bool { return now.UnixNano() < l.losses.over.Load() }

// IsLost reports whether a query that no target has answered has crashed the process so recently that another process may not have taken
// its place.
func (l *List) IsLost(process string, now time.Time) bool {
	if !l.AnyLost(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, ok := l.losses.byProcess[process]

	return ok && now.Before(lost.until)
}
