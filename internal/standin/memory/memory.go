// Package memory implements the metadata store of the platform in memory, for tests and for the stand-in of the platform.
//
// Like the platform's store, it has revisions, a history and leases. It can be made unavailable:
//
//	store := memory.New(timers)
//	store.SetAway(true)
//	_, _, err := store.Own().List(ctx, "prefix/") // an error
package memory

import (
	"cmp"
	"context"
	"errors"
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

var errAway = errors.New("the store is unavailable")

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	timers *timer.Service

	mu       sync.Mutex
	away     bool
	deaf     bool
	revision uint64
	// forgotten is the revision up to which the history has been compacted.
	forgotten uint64
	granted   control.Lease
	entries   map[string]control.Entry
	// holders maps each key that is attached to a lease to that lease.
	holders map[string]control.Lease
	leases  map[control.Lease]*lease
	history []control.Entry
	changed chan struct{}
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New returns an empty Store.
func New(timers *timer.Service) *Store {
	return &Store{
		timers: timers, entries: make(map[string]control.Entry), holders: make(map[string]control.Lease),
		leases: make(map[control.Lease]*lease), changed: make(chan struct{}),
	}
}

// Own returns the operations of the store that instances use.
func (s *Store) Own() control.OwnStore {
	return control.OwnStore{
		Get: s.get, List: s.list, Wait: s.wait, Commit: s.commit, Grant: s.grant, Renew: s.renew, End: s.end,
	}
}

// SetAway makes all calls of Own fail while away is true. Leases expire meanwhile as usual.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetDeaf hides all changes from Wait while deaf is true, so that it returns none even if there are some.
func (s *Store) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Put writes a key without a lease, as operators and targets do, and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := control.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	delete(s.holders, key)
	s.history = append(s.history, e)
	s.wake()

	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove([]string{key})
}

// Forget compacts the history. A Wait for changes after an earlier revision then fails with control.ErrForgotten.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// wake makes pending calls of Wait look for changes. s.mu must be locked.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed and deletes their keys. s.mu must be locked.
func (s *Store) expire() {
	for id, l := range s.leases {
		if s.timers.Until(l.ends) <= 0 {
			s.lapse(id)
		}
	}
}

// remove deletes keys at the current revision. s.mu must be locked.
func (s *Store) remove(keys []string) {
	for _, key := range keys {
		if _, ok := s.entries[key]; ok {
			delete(s.entries, key)
			delete(s.holders, key)
			s.history = append(s.history, control.Entry{Key: key, Revision: s.revision, Gone: true})
		}
	}
	s.wake()
}

func (s *Store) get(_ context.Context, key string) (control.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return control.Entry{}, 0, errAway
	}
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		e = control.Entry{Key: key, Gone: true}
	}

	return e, s.revision, nil
}

func (s *Store) list(_ context.Context, prefix string) ([]control.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errAway
	}
	s.expire()
	var entries []control.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entries[key])
		}
	}

	return entries, s.revision, nil
}

// expiryPeriod is the period at which a pending Wait checks for expired leases.
const expiryPeriod = 50 * time.Millisecond

func (s *Store) wait(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]control.Entry, uint64, error) {
	until := s.timers.Now().Add(wait)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()

			return nil, 0, errAway
		}
		if after < s.forgotten {
			s.mu.Unlock()

			return nil, 0, control.ErrForgotten
		}
		s.expire()
		changes := s.changes(prefix, after)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(changes) > 0 || s.timers.Until(until) <= 0 {
			return changes, revision, nil
		}
		over := make(chan struct{})
		stop := s.timers.AfterFunc(expiryPeriod, func() { close(over) })
		select {
		case <-changed:
		case <-over:
		case <-ctx.Done():
		}
		stop()
		if err := ctx.Err(); err != nil {
			return nil, 0, err
		}
	}
}

// changes returns the changes of keys with the prefix after a revision. s.mu must be locked.
func (s *Store) changes(prefix string, after uint64) (changes []control.Entry) {
	if s.deaf {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e control.Entry, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			changes = append(changes, e)
		}
	}

	return changes
}

func (s *Store) commit(_ context.Context, t control.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, errAway
	}
	s.expire()
	for key, revision := range t.Expect {
		if s.entries[key].Revision != revision {
			return 0, control.ErrConflict
		}
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
		delete(s.holders, p.Key)
		if p.Lease != 0 {
			s.holders[p.Key] = p.Lease
		}
	}
	s.remove(t.Deletes)

	return s.revision, nil
}

func (s *Store) grant(_ context.Context, ttl time.Duration) (control.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, 0, errAway
	}
	ttl = min(max(ttl, minTTL), maxTTL)
	s.granted++
	s.leases[s.granted] = &lease{ttl: ttl, ends: s.timers.Now().Add(ttl)}

	return s.granted, ttl, nil
}

func (s *Store) renew(_ context.Context, id control.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	s.expire()
	l := s.leases[id]
	if l == nil {
		return control.ErrLeaseEnded
	}
	l.ends = s.timers.Now().Add(l.ttl)

	return nil
}

func (s *Store) end(_ context.Context, id control.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case s.away:
		return errAway
	case l == nil:
		return control.ErrLeaseEnded
	}
	s.lapse(id)

	return nil
}

// Lapse ends all leases before their TTL has passed, as a store does that lost them.
func (s *Store) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.lapse(id)
	}
}

// lapse ends a lease and deletes its keys. s.mu must be locked.
func (s *Store) lapse(id control.Lease) {
	var keys []string
	for key, holder := range s.holders {
		if holder == id {
			keys = append(keys, key)
		}
	}
	s.revision++
	s.remove(keys)
	delete(s.leases, id)
}
