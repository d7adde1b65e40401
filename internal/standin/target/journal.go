package target

import (
	"slices"
	"time"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Entry is one query that ran.
type Entry struct {
	RequestID  string
	AttemptID  string
	Idempotent bool
	Version    uint64
	Shard      int
	Shards     int
	Started    time.Time
	// Finished and Cancelled are zero while the query runs; one of them is set when it ends.
	Finished  time.Time `json:",omitzero"`
	Cancelled time.Time `json:",omitzero"`
}

// Journal is what ran and what arrived. It is the body of GET /journal.
type Journal struct {
	Incarnation uint64
	// Connections counts accepted connections, Received the queries that were read whole, and Silenced the reads that a
	// silent connection discarded.
	Connections int
	// MostOpen is the largest number of connections that were open at a time.
	MostOpen int
	Received int
	Silenced int
	// Dropped counts the entries that the bound pushed out.
	Dropped int
	Entries []Entry
	// Arrived lists the RequestIDs of non-idempotent queries that were read whole, whether they ran or not. It has the bound
	// of Entries, and entries beyond it are left out.
	Arrived []string `json:",omitempty"`
}

type journal struct {
	bound       int
	connections int
	mostOpen    int
	received    int
	silenced    int
	dropped     int
	entries     []*Entry
	arrived     []string
}

// Journal returns a copy of the journal.
func (t *Target) Journal() Journal {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := Journal{
		Incarnation: t.incarnation,
		Connections: t.journal.connections,
		MostOpen:    t.journal.mostOpen,
		Received:    t.journal.received,
		Silenced:    t.journal.silenced,
		Dropped:     t.journal.dropped,
		Entries:     make([]Entry, 0, len(t.journal.entries)),
		Arrived:     slices.Clone(t.journal.arrived),
	}
	for _, e := range t.journal.entries {
		copied.Entries = append(copied.Entries, *e)
	}

	return copied
}

// begin enters q as running and returns the function that ends the entry.
func (t *Target) begin(q *wire.Query) (end func(finished bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &Entry{
		RequestID:  q.RequestID,
		AttemptID:  q.AttemptID,
		Idempotent: q.Idempotent,
		Version:    q.Version,
		Shard:      q.Shard,
		Shards:     q.Shards,
		Started:    t.timers.Now(),
	}
	if len(t.journal.entries) >= t.journal.bound {
		// Half is dropped at a time, so that a full journal does not move all entries for each query.
		n := max(1, t.journal.bound/2)
		t.journal.entries = slices.Delete(t.journal.entries, 0, n)
		t.journal.dropped += n
	}
	t.journal.entries = append(t.journal.entries, e)

	return func(finished bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if finished {
			e.Finished = t.timers.Now()
		} else {
			e.Cancelled = t.timers.Now()
		}
	}
}
