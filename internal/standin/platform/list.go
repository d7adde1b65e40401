package platform

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

var errListFull = errors.New("the list holds its largest number of entries")

// Update changes the list. It is the body of POST /list.
type Update struct {
	// Entries are added, or replace the entries of the same names.
	Entries []wire.Listed
	// Remove names entries to remove.
	Remove []string
	// Lag, if it is set, is the time that this and later changes take to become visible.
	Lag *duration.Duration `json:",omitempty"`
}

// Check returns the faults of u.
func (u *Update) Check() error {
	var faults fault.List
	if len(u.Entries) > wire.MaxListed {
		faults.Add("Entries", "has %d entries, at most %d are accepted", len(u.Entries), wire.MaxListed)

		return faults.Err()
	}
	for i := range u.Entries {
		faults.Merge(fmt.Sprintf("Entries[%d]", i), u.Entries[i].Faults())
	}

	return faults.Err()
}

// list keeps the true entries, and the changes that are not visible yet.
type list struct {
	mu      sync.Mutex
	lag     time.Duration
	actual  map[string]wire.Listed
	visible []wire.Listed
	pending []pendingList
}

// pendingList is the whole list as it becomes visible at a time.
type pendingList struct {
	at      time.Time
	entries []wire.Listed
}

// maxPending bounds the changes that wait for the lag. Beyond it the newest one replaces the one before.
const maxPending = 256

func newList(lag time.Duration) *list {
	return &list{lag: lag, actual: make(map[string]wire.Listed), visible: []wire.Listed{}}
}

func (l *list) update(now time.Time, u Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	if u.Lag != nil {
		l.lag = max(0, u.Lag.Std())
	}
	next := maps.Clone(l.actual)
	for _, name := range u.Remove {
		delete(next, name)
	}
	for _, entry := range u.Entries {
		next[entry.Name] = entry
	}
	if len(next) > wire.MaxListed {
		return errListFull
	}
	l.actual = next
	entries := make([]wire.Listed, 0, len(next))
	for _, name := range slices.Sorted(maps.Keys(next)) {
		entries = append(entries, next[name])
	}
	if len(l.pending) == maxPending {
		l.pending = l.pending[:maxPending-1]
	}
	l.pending = append(l.pending, pendingList{at: now.Add(l.lag), entries: entries})

	return nil
}

// read returns the entries that are visible now.
func (l *list) read(now time.Time) []wire.Listed {
	l.mu.Lock()
	defer l.mu.Unlock()

	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.visible = l.pending[0].entries
		l.pending = l.pending[1:]
	}

	return l.visible
}
