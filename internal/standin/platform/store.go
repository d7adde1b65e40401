package platform

import (
	"errors"
	"fmt"
	"sync"
	"time"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

var (
	errTooManyKeys   = errors.New("the store holds its largest number of keys")
	errTooManyLeases = errors.New("the store holds its largest number of leases")
	errNoLease       = errors.New("no such lease")
)

// conflictError is the refusal of a write that expected another version.
type conflictError struct{ expected, current uint64 }

func (e *conflictError) Error() string {
	return fmt.Sprintf("version %d was expected, the current version is %d", e.expected, e.current)
}

type value struct {
	data    []byte
	version uint64
	lease   wire.LeaseID
}

type lease struct {
	ttl    time.Duration
	lapses time.Time
	keys   map[string]struct{}
}

// store holds keys and leases. Leases lapse lazily, at the first operation after their time, so that a fake clock needs
// no background work to be consistent.
type store struct {
	mu      sync.Mutex
	version uint64
	granted uint64
	values  map[string]value
	leases  map[wire.LeaseID]*lease
	// firstLapse is not later than the first time at which a lease lapses; it saves a scan for each operation.
	firstLapse time.Time
	// changed is closed and replaced at each write, to wake the watches.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		values:  make(map[string]value),
		leases:  make(map[wire.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// read returns the value of key and a channel that is closed at the next write of any key.
func (s *store) read(now time.Time, key string) (wire.Stored, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)
	v := s.values[key]

	return wire.Stored{Version: v.version, Value: v.data}, s.changed
}

func (s *store) compareAndSwap(now time.Time, key string, w wire.Write) (version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)

	old := s.values[key]
	if old.version != w.Expected {
		return 0, &conflictError{expected: w.Expected, current: old.version}
	}
	if w.Lease != "" && s.leases[w.Lease] == nil {
		return 0, errNoLease
	}
	if old.version == 0 && len(s.values) >= maxKeys {
		return 0, errTooManyKeys
	}
	s.detach(key, old)
	s.version++
	s.values[key] = value{data: w.Value, version: s.version, lease: w.Lease}
	if w.Lease != "" {
		s.leases[w.Lease].keys[key] = struct{}{}
	}
	s.wake()

	return s.version, nil
}

func (s *store) delete(now time.Time, key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)

	old := s.values[key]
	if old.version != expected {
		return &conflictError{expected: expected, current: old.version}
	}
	s.detach(key, old)
	delete(s.values, key)
	s.wake()

	return nil
}

func (s *store) grant(now time.Time, ttl time.Duration) (wire.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)

	if len(s.leases) >= maxLeases {
		return "", errTooManyLeases
	}
	s.granted++
	id := wire.LeaseID(fmt.Sprintf("lease-%d", s.granted))
	s.leases[id] = &lease{ttl: ttl, lapses: now.Add(ttl), keys: make(map[string]struct{})}
	if len(s.leases) == 1 || s.leases[id].lapses.Before(s.firstLapse) {
		s.firstLapse = s.leases[id].lapses
	}

	return id, nil
}

func (s *store) renew(now time.Time, id wire.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)

	l := s.leases[id]
	if l == nil {
		return 0, errNoLease
	}
	l.lapses = now.Add(l.ttl)

	return l.ttl, nil
}

func (s *store) revoke(now time.Time, id wire.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(now)

	if s.leases[id] == nil {
		return errNoLease
	}
	s.drop(id)

	return nil
}

// lapse drops the leases whose time is over.
func (s *store) lapse(now time.Time) {
	if len(s.leases) == 0 || now.Before(s.firstLapse) {
		return
	}
	first := time.Time{}
	for id, l := range s.leases {
		switch {
		case !now.Before(l.lapses):
			s.drop(id)
		case first.IsZero() || l.lapses.Before(first):
			first = l.lapses
		}
	}
	s.firstLapse = first
}

// LapseLeases lapses all leases before their time, as a store that lost them does.
func (p *Platform) LapseLeases() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for id := range p.store.leases {
		p.store.drop(id)
	}
}

func (s *store) drop(id wire.LeaseID) {
	for key := range s.leases[id].keys {
		delete(s.values, key)
	}
	delete(s.leases, id)
	s.wake()
}

func (s *store) detach(key string, old value) {
	if l := s.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
