// Package memory implements the metadata store of the platform in memory, for tests and for the stand-in of the platform.
//
// Like the platform's store, it has revisions, a history and leases. It can be made unavailable:
//
//	store := memory.New(timers)
//	store.SetUnavailable(true)
//	_, _, err := store.KeyValueStore().List(ctx, "prefix/") // an error
//
// It can also lose what was written since a copy was made, and give out the same revisions again:
//
//	backup := store.Copy()
//	store.Restore(backup)
package memory

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// minTTL and maxTTL limit the TTL of a lease, as on the users' platform.
const (
	minTTL = time.Second
	maxTTL = 10 * time.Minute
)

// maxValueBytes is the maximum size of a value, as on the users' platform.
const maxValueBytes = 1 << 20

var errUnavailable = errors.New("the store is unavailable")

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	timers *timer.Service

	mu          sync.Mutex
	unavailable bool
	hideChanges bool
	revision    uint64
	// generation counts how often the store has come back from a copy.
	generation uint64
	// compactedRevision is the revision up to which the history has been compacted.
	compactedRevision uint64
	lastLease         control.Lease // the ID of the lease granted last
	entries           map[string]control.Entry
	// leaseByKey maps each key that is attached to a lease to that lease.
	leaseByKey map[string]control.Lease
	leases     map[control.Lease]*lease
	history    []control.Entry
	changed    chan struct{} // closed and replaced to wake pending calls of Wait
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty Store.
func New(timers *timer.Service) *Store {
	return &Store{
		timers: timers, entries: make(map[string]control.Entry), leaseByKey: make(map[string]control.Lease),
		leases: make(map[control.Lease]*lease), changed: make(chan struct{}),
	}
}

// KeyValueStore returns the operations of the store that instances use. SetUnavailable and HideChanges affect only these.
func (s *Store) KeyValueStore() control.KeyValueStore {
	return control.KeyValueStore{
		Generation: s.Generation,
		Get:        s.get, List: s.list, Wait: s.wait, Commit: s.commit, Grant: s.grant, Renew: s.renew, End: s.end,
	}
}

// SetUnavailable makes all calls of KeyValueStore fail while unavailable is true. Leases expire meanwhile as usual.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notifyWaiters()
}

// HideChanges hides all changes from Wait while hide is true, so that Wait returns none even if there are some.
func (s *Store) HideChanges(hide bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hideChanges = hide
}

// Put writes a key without a lease, as operators and targets do, and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := control.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	delete(s.leaseByKey, key)
	s.history = append(s.history, e)
	s.notifyWaiters()

	return control.OrderRevision(s.generation, s.revision)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteKeys([]string{key})
}

// Compact discards the history up to the current revision. A Wait for changes after an earlier revision then fails with
// control.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWaiters()
}

// Copy is a copy of the store.
type Copy struct {
	revision   uint64
	entries    map[string]control.Entry
	leaseByKey map[string]control.Lease
	leases     map[control.Lease]*lease
	history    []control.Entry
}

// Copy returns a copy of the store as it is.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()

	return &Copy{
		revision: s.revision, entries: maps.Clone(s.entries), leaseByKey: maps.Clone(s.leaseByKey), leases: maps.Clone(s.leases),
		history: slices.Clone(s.history),
	}
}

// Restore makes the store come back from a copy. What was written since is lost, and its revisions are given out again. The leases of
// the copy last for their TTL from now on. Calls of Wait that are pending go on.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.revision, s.entries, s.leaseByKey = c.revision, maps.Clone(c.entries), maps.Clone(c.leaseByKey)
	s.history = slices.Clone(c.history)
	s.leases = make(map[control.Lease]*lease, len(c.leases))
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expiresAt: s.timers.Now().Add(l.ttl)}
	}
}

// Generation returns how often the store has come back from a copy.
func (s *Store) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.generation
}

// ordered returns an entry with its ordered revision. s.mu must be locked.
func (s *Store) ordered(e control.Entry) control.Entry {
	e.Revision = control.OrderRevision(s.generation, e.Revision)

	return e
}

// notifyWaiters makes pending calls of Wait look for changes. s.mu must be locked.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endExpiredLeases ends the leases whose TTL has passed and deletes their keys. s.mu must be locked.
func (s *Store) endExpiredLeases() {
	for id, l := range s.leases {
		if s.timers.Until(l.expiresAt) <= 0 {
			s.endLease(id)
		}
	}
}

// deleteKeys deletes keys that exist and records the deletions in the history at the current revision. s.mu must be locked.
func (s *Store) deleteKeys(keys []string) {
	for _, key := range keys {
		if _, ok := s.entries[key]; ok {
			delete(s.entries, key)
			delete(s.leaseByKey, key)
			s.history = append(s.history, control.Entry{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.notifyWaiters()
}

func (s *Store) get(_ context.Context, key string) (control.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return control.Entry{}, 0, errUnavailable
	}
	s.endExpiredLeases()
	e, ok := s.entries[key]
	if !ok {
		e = control.Entry{Key: key, Deleted: true}
	}

	return s.ordered(e), control.OrderRevision(s.generation, s.revision), nil
}

func (s *Store) list(_ context.Context, prefix string) ([]control.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, errUnavailable
	}
	s.endExpiredLeases()
	var entries []control.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.ordered(s.entries[key]))
		}
	}

	return entries, control.OrderRevision(s.generation, s.revision), nil
}

// expiryCheckPeriod is the period at which a pending Wait checks for expired leases.
const expiryCheckPeriod = 50 * time.Millisecond

// wait returns the changes after a revision, as soon as there are any or when the timeout has passed.
func (s *Store) wait(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]control.Entry, uint64, error) {
	deadline := s.timers.Now().Add(timeout)
	generation, after := control.SplitRevision(after)
	for {
		s.mu.Lock()
		if s.unavailable {
			s.mu.Unlock()

			return nil, 0, errUnavailable
		}
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()

			return nil, 0, control.ErrCompacted
		}
		s.endExpiredLeases()
		changes := s.changesAfter(prefix, after)
		revision, changed, restored := control.OrderRevision(s.generation, s.revision), s.changed, s.generation != generation
		s.mu.Unlock()
		if len(changes) > 0 || s.timers.Until(deadline) <= 0 {
			if restored && after != 0 {
				return nil, 0, control.ErrCompacted
			}

			return changes, revision, nil
		}
		elapsed := make(chan struct{})
		stop := s.timers.AfterFunc(expiryCheckPeriod, func() { close(elapsed) })
		select {
		case <-changed:
		case <-elapsed:
		case <-ctx.Done():
		}
		stop()
		if err := ctx.Err(); err != nil {
			return nil, 0, err
		}
	}
}

// changesAfter returns the changes of keys with the prefix after the given revision, oldest first. s.mu must be locked.
func (s *Store) changesAfter(prefix string, after uint64) (changes []control.Entry) {
	if s.hideChanges {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e control.Entry, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			changes = append(changes, s.ordered(e))
		}
	}

	return changes
}

// checkLimits returns an error if a transaction exceeds a limit of the users' platform.
func checkLimits(t *control.Transaction) error {
	changes, valid := len(t.Expect)+len(t.Puts)+len(t.Deletes), true
	for _, p := range t.Puts {
		valid = valid && len(p.Key) <= control.MaxKeyBytes && len(p.Value) <= maxValueBytes
	}
	for _, key := range t.Deletes {
		valid = valid && len(key) <= control.MaxKeyBytes
	}
	if valid && changes <= control.MaxChanges {
		return nil
	}

	return fmt.Errorf("%w: %w", control.ErrNoEffect, control.ErrRejected)
}

func (s *Store) commit(_ context.Context, t control.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, errUnavailable
	}
	s.endExpiredLeases()
	if err := checkLimits(&t); err != nil {
		return 0, err
	}
	restored := false
	for key, expected := range t.Expect {
		generation, revision := control.SplitRevision(expected)
		if s.entries[key].Revision != revision {
			return 0, control.ErrConflict
		}
		restored = restored || revision != 0 && generation != s.generation
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, control.ErrLeaseEnded
		}
	}
	s.revision++
	for _, p := range t.Puts {
		e := control.Entry{Key: p.Key, Value: p.Value, Revision: s.revision}
		s.entries[p.Key] = e
		s.history = append(s.history, e)
		delete(s.leaseByKey, p.Key)
		if p.Lease != 0 {
			s.leaseByKey[p.Key] = p.Lease
		}
	}
	s.deleteKeys(t.Deletes)
	if restored {
		return 0, control.ErrRestored
	}

	return control.OrderRevision(s.generation, s.revision), nil
}

func (s *Store) grant(_ context.Context, ttl time.Duration) (control.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, 0, errUnavailable
	}
	ttl = min(max(ttl, minTTL), maxTTL)
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: s.timers.Now().Add(ttl)}

	return s.lastLease, ttl, nil
}

func (s *Store) renew(_ context.Context, id control.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	s.endExpiredLeases()
	l := s.leases[id]
	if l == nil {
		return control.ErrLeaseEnded
	}
	l.expiresAt = s.timers.Now().Add(l.ttl)

	return nil
}

func (s *Store) end(_ context.Context, id control.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case s.unavailable:
		return errUnavailable
	case l == nil:
		return control.ErrLeaseEnded
	}
	s.endLease(id)

	return nil
}

// EndAllLeases ends all leases before their TTL has passed, like a store that has lost its leases.
func (s *Store) EndAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// endLease ends a lease and deletes its keys. s.mu must be locked.
func (s *Store) endLease(id control.Lease) {
	var keys []string
	for key, attached := range s.leaseByKey {
		if attached == id {
			keys = append(keys, key)
		}
	}
	s.revision++
	s.deleteKeys(keys)
	delete(s.leases, id)
}
