package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// suspectPrefix is the prefix of the keys under which the leader passes on the queries that seem to crash targets. They are not stored.
	suspectPrefix = ownPrefix + "suspects/"
	// suspectRefreshInterval is the interval at which the leader passes on all records again, because an instance that follows it later
	// receives them with the time left of when they were passed on.
	suspectRefreshInterval = time.Minute
)

// WithSuspects makes the fleet exchange the records of list.
func WithSuspects(list *quarantine.List) FleetOption {
	return func(f *Fleet) { f.suspects = list }
}

// suspectsObserved is called when this instance has changed a record itself.
func (f *Fleet) suspectsObserved() {
	f.feed.publishSuspects()
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.suspectsChanged)
	f.suspectsChanged = make(chan struct{})
}

// suspectReports returns what FollowRequest.Suspects returns.
func (f *Fleet) suspectReports(after uint64) (records []suspect.Record, next uint64, changed <-chan struct{}) {
	f.mu.Lock()
	changed = f.suspectsChanged
	f.mu.Unlock()
	records, next = f.suspects.Observed(after, f.timers.Now())

	return records, next, changed
}

// applySuspect merges an entry below suspectPrefix. An entry that is deleted has expired here as well.
func (f *Fleet) applySuspect(e *Entry) {
	if record, ok := decodeEntry[suspect.Record](f.log, e); ok {
		f.suspects.Merge([]suspect.Record{record}, f.timers.Now())
	}
}

// ReportSuspects merges what an instance reports to this one, the leader, and passes it on.
func (f *Feed) ReportSuspects(records []suspect.Record) {
	f.suspects.Merge(records, f.timers.Now())
	f.publishSuspects()
}

// publishSuspects passes on the records that have changed since the last call, while this instance leads.
func (f *Feed) publishSuspects() {
	if f.suspects.Empty() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == 0 {
		return
	}
	for {
		records, next := f.suspects.Changed(f.suspectCursor, f.timers.Now())
		f.suspectCursor = next
		if len(records) == 0 {
			return
		}
		for i := range records {
			// The fields of a Record can always be encoded.
			value, _ := json.Marshal(&records[i])
			f.put(Entry{Key: suspectPrefix + records[i].Fingerprint.String(), Value: value})
		}
		f.broadcast()
	}
}

// refreshSuspects passes on all records again from time to time, and drops the entries of those that have expired.
func (f *Feed) refreshSuspects() {
	f.mu.Lock()
	due := f.timers.Since(f.suspectsRefreshedAt) >= suspectRefreshInterval
	if due {
		f.suspectsRefreshedAt, f.suspectCursor = f.timers.Now(), 0
		for key, e := range f.entries {
			if strings.HasPrefix(key, suspectPrefix) && !e.Deleted {
				f.put(Entry{Key: key, Deleted: true})
			}
		}
	}
	f.mu.Unlock()
	if due {
		f.publishSuspects()
	}
}
