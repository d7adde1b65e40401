// Package memory is a store in memory for tests of the instances' own keys.
//
// It keeps revisions, history and leases as the platform's store does, and can be away:
//
//	store := memory.New(timers)
//	store.SetAway(true)
//	_, _, err := store.Own().List(ctx, "prefix/") // an error
package memory

import (
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

var errAway = errors.New("the store is away")

// Store is a store in memory. It is safe for concurrent use.
type Store struct {
	timers *timer.Service

	mu       sync.Mutex
	away     bool
	deaf     bool
	revision uint64
	// forgotten is the revision up to which the history was discarded.
	forgotten uint64
	granted   control.Lease
	entries   map[string]control.Entry
	leases    map[control.Lease]*lease
	history   []control.Entry
	changed   chan struct{}
}

type lease struct {
	keys []string
	ttl  time.Duration
	ends time.Time
}

// New returns an empty Store.
func New(timers *timer.Service) *Store {
	return &Store{
		timers: timers, entries: make(map[string]control.Entry), leases: make(map[control.Lease]*lease), changed: make(chan struct{}),
	}
}

// Own returns the access to the store.
func (s *Store) Own() control.OwnStore {
	return control.OwnStore{List: s.list, Wait: s.wait, Commit: s.commit, Grant: s.grant, Renew: s.renew, End: s.end}
}

// SetAway makes all calls fail while away is true. Leases run on.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetDeaf makes calls that wait hear of no changes while deaf is true.
func (s *Store) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Put writes a key for good, as an operator or a target does, and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := control.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
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

// Forget discards the history. Waits from before it then end with control.ErrForgotten.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// wake ends the waits. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended. The lock is held.
func (s *Store) expire() {
	for id, l := range s.leases {
		if s.timers.Until(l.ends) < 0 {
			s.revision++
			s.remove(l.keys)
			delete(s.leases, id)
		}
	}
}

// remove deletes keys at the current revision. The lock is held.
func (s *Store) remove(keys []string) {
	for _, key := range keys {
		if _, ok := s.entries[key]; ok {
			delete(s.entries, key)
			s.history = append(s.history, control.Entry{Key: key, Revision: s.revision, Gone: true})
		}
	}
	s.wake()
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

// expiryPeriod is the time between two looks at the leases while a call waits.
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
		var changes []control.Entry
		for _, e := range s.history {
			if !s.deaf && e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				changes = append(changes, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(changes) > 0 || s.timers.Until(until) <= 0 {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-s.timers.After(expiryPeriod):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
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
		if l := s.leases[p.Lease]; l != nil {
			l.keys = append(l.keys, p.Key)
		}
	}
	s.remove(t.Deletes)

	return s.revision, nil
}

func (s *Store) grant(_ context.Context, ttl time.Duration) (control.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, errAway
	}
	s.granted++
	s.leases[s.granted] = &lease{ttl: ttl, ends: s.timers.Now().Add(ttl)}

	return s.granted, nil
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
	if s.away || l == nil {
		return errAway
	}
	s.revision++
	s.remove(l.keys)
	delete(s.leases, id)

	return nil
}
