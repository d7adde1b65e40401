package node_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// memory is a store in memory for the instances' own keys. Leases do not end by themselves.
type memory struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]control.Entry
	leases   map[control.Lease][]string
	history  []control.Entry
	changed  chan struct{}
}

func newMemory() *memory {
	return &memory{
		entries: make(map[string]control.Entry), leases: make(map[control.Lease][]string), changed: make(chan struct{}),
	}
}

func (m *memory) store() control.OwnStore {
	return control.OwnStore{List: m.list, Wait: m.wait, Commit: m.commit, Grant: m.grant, Renew: m.renew, End: m.end}
}

func (m *memory) list(_ context.Context, prefix string) ([]control.Entry, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []control.Entry
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, m.entries[key])
		}
	}

	return entries, m.revision, nil
}

func (m *memory) wait(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]control.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		m.mu.Lock()
		var changes []control.Entry
		for _, e := range m.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				changes = append(changes, e)
			}
		}
		revision, changed := m.revision, m.changed
		m.mu.Unlock()
		if len(changes) > 0 || ctx.Err() != nil {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (m *memory) commit(_ context.Context, t control.Transaction) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, revision := range t.Expect {
		if m.entries[key].Revision != revision {
			return 0, control.ErrConflict
		}
	}
	m.revision++
	for _, p := range t.Puts {
		e := control.Entry{Key: p.Key, Value: p.Value, Revision: m.revision}
		m.entries[p.Key] = e
		m.history = append(m.history, e)
		m.leases[p.Lease] = append(m.leases[p.Lease], p.Key)
	}
	m.remove(t.Deletes)

	return m.revision, nil
}

// remove deletes keys at the current revision. The lock is held.
func (m *memory) remove(keys []string) {
	for _, key := range keys {
		if _, ok := m.entries[key]; ok {
			delete(m.entries, key)
			m.history = append(m.history, control.Entry{Key: key, Revision: m.revision, Gone: true})
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) grant(context.Context, time.Duration) (control.Lease, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease := control.Lease(len(m.leases) + 1)
	m.leases[lease] = nil

	return lease, nil
}

func (m *memory) renew(_ context.Context, lease control.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.leases[lease]; !ok {
		return control.ErrLeaseEnded
	}

	return nil
}

func (m *memory) end(_ context.Context, lease control.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.remove(m.leases[lease])
	delete(m.leases, lease)

	return nil
}
