package target

import (
	"slices"
	"time"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Entry describes one query that got a slot.
type Entry struct {
	RequestID  string
	AttemptID  string
	Idempotent bool
	Version    uint64
	Shard      int
	Shards     int
	Started    time.Time
	// Finished and Cancelled are zero while the query runs. One of them is set when it ends.
	Finished  time.Time `json:",omitzero"`
	Cancelled time.Time `json:",omitzero"`
}

// Journal lists the queries that ran and counts the traffic. It is the body of GET /journal.
type Journal struct {
	Incarnation uint64
	// Connections counts the accepted connections.
	Connections int
	// MostOpen is the largest number of connections that were open at the same time.
	MostOpen int
	// Received counts the queries that were read completely and decoded.
	Received int
	// Silenced counts the reads that were discarded on connections under SilenceConnections.
	Silenced int
	// Dropped counts the entries that were removed because the journal was full.
	Dropped int
	// Entries lists the queries that ran, in the order of their start.
	Entries []Entry
	// Arrived lists the RequestIDs of the non-idempotent queries that were received, whether they ran or not. It has the same
	// limit as Entries; IDs beyond the limit are not recorded.
	Arrived []string `json:",omitempty"`
}

type journal struct {
	maxEntries  int
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

// startEntry adds an entry for q to the journal and returns the function that marks the entry as finished or cancelled.
func (t *Target) startEntry(q *wire.Query) (end func(finished bool)) {
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
	if len(t.journal.entries) >= t.journal.maxEntries {
		// Drop half of the entries at a time: dropping one entry for each query would move all others each time.
		n := max(1, t.journal.maxEntries/2)
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
