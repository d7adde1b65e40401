package control

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// suspectPrefix is the prefix of the keys under which the leader passes on the queries that seem to crash targets. Those of queries that
	// have crashed several are also stored, because instances that restart have to know them before they follow a leader.
	suspectPrefix = ownPrefix + "suspects/"
	// suspectRefreshInterval is the interval at which the leader passes on all records again, because an instance that follows it later
	// receives them with the time left of when they were passed on.
	suspectRefreshInterval = time.Minute
	// suspectSpreadInterval is the shortest time between two such messages to the same instance. The crashes of one query follow each
	// other closely.
	suspectSpreadInterval = 50 * time.Millisecond
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

// SpreadSuspects calls send with the records of queries that this instance has seen crash several targets, until ctx is done. The leader
// passes them on as well, but it may be lost or frozen at that moment.
func (f *Fleet) SpreadSuspects(ctx context.Context, send func(ctx context.Context, to []Instance, records []suspect.Record)) error {
	for cursor := uint64(0); ; {
		f.mu.Lock()
		changed := f.suspectsChanged
		f.mu.Unlock()
		records, next := f.suspects.ObservedStrong(cursor, f.timers.Now())
		cursor = next
		if len(records) > 0 {
			send(ctx, f.View().Instances, records)
		}
		select {
		case <-f.timers.After(suspectSpreadInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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

// storedSuspect is what distinguishes a stored record from a newer one of the same query.
type storedSuspect struct{ epoch, crashes, blocks int }

func newStoredSuspect(r *suspect.Record) storedSuspect {
	return storedSuspect{epoch: r.Epoch, crashes: len(r.Crashes), blocks: r.Blocks}
}

// loadSuspects reads the stored records and merges them.
func (t *term) loadSuspects(ctx context.Context) error {
	entries, _, err := t.store.List(ctx, suspectPrefix)
	if err != nil {
		return err
	}
	t.storedSuspects = make(map[suspect.Fingerprint]storedSuspect, len(entries))
	for i := range entries {
		if record, ok := decodeEntry[suspect.Record](t.log, &entries[i]); ok {
			t.fleet.suspects.Merge([]suspect.Record{record}, t.timers.Now())
			t.storedSuspects[record.Fingerprint] = newStoredSuspect(&record)
		}
	}

	return nil
}

// syncSuspects writes the records of queries that have crashed several targets and have changed, and deletes those of all others. A failure
// other than the loss of the leadership is retried at the next tick.
func (t *term) syncSuspects(ctx context.Context) error {
	if t.inDoubt || t.fleet.suspects.Empty() && len(t.storedSuspects) == 0 {
		return nil
	}
	err := t.callWithTimeout(ctx, func(ctx context.Context) error {
		if t.storedSuspects == nil {
			// They were written before the store came back from an older copy, or the outcome of the last write is not known.
			if err := t.loadSuspects(ctx); err != nil {
				return err
			}
		}
		changes, next := t.suspectChanges()
		if len(changes.Puts)+len(changes.Deletes) == 0 {
			return nil
		}
		before := t.storedSuspects
		t.storedSuspects = nil
		rejected, err := t.commitAccepted(ctx, changes, func(ctx context.Context, part Transaction) error {
			_, err := t.store.Commit(ctx, part)
			t.doubt(err)

			return err
		})
		if err != nil {
			return err
		}
		for _, key := range rejected {
			restoreSuspect(next, before, key)
		}
		t.storedSuspects = next

		return nil
	})
	if err == nil || endsTerm(err) || ctx.Err() != nil {
		return err
	}
	t.log.Log(event.StoreUnavailable, "Part", "Suspects", "Error", err)

	return nil
}

// restoreSuspect makes next list the record below a key as it is stored, because the store has rejected its change.
func restoreSuspect(next, stored map[suspect.Fingerprint]storedSuspect, key string) {
	var fingerprint suspect.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(strings.TrimPrefix(key, suspectPrefix))); err != nil {
		return
	}
	delete(next, fingerprint)
	if old, ok := stored[fingerprint]; ok {
		next[fingerprint] = old
	}
}

// suspectChanges returns a transaction that brings the stored records up to date, or as much of it as one transaction can hold, and what is
// stored after it.
func (t *term) suspectChanges() (changes Transaction, next map[suspect.Fingerprint]storedSuspect) {
	now := t.timers.Now()
	next = maps.Clone(t.storedSuspects)
	full := func() bool { return len(changes.Puts)+len(changes.Deletes)+1 >= MaxChanges }
	strong := make(map[suspect.Fingerprint]bool)
	for _, record := range t.fleet.suspects.StrongRecords(now) {
		strong[record.Fingerprint] = true
		stored := newStoredSuspect(&record)
		if old, ok := next[record.Fingerprint]; ok && old == stored || full() {
			continue
		}
		// The fields of a Record can always be encoded.
		value, _ := json.Marshal(&record)
		key := suspectPrefix + record.Fingerprint.String()
		if t.rejected.hasPut(key, value, now) {
			continue
		}
		changes.Puts = append(changes.Puts, Put{Key: key, Value: value})
		next[record.Fingerprint] = stored
	}
	for fingerprint := range t.storedSuspects {
		key := suspectPrefix + fingerprint.String()
		if !strong[fingerprint] && !full() && !t.rejected.hasDelete(key, now) {
			changes.Deletes = append(changes.Deletes, key)
			delete(next, fingerprint)
		}
	}

	return changes, next
}
