package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Ledger is what the journals of all targets say of each request.
type Ledger struct {
	runs     map[string]run
	arrived  map[string]bool
	services []served
	// Dropped counts the entries that the bound of a journal pushed out. A ledger with dropped entries proves nothing.
	Dropped int
	// Connections counts the connections that the targets accepted, and Received the queries that they read.
	Connections, Received int
}

type run struct {
	times int
	// finished has a bit for each shard that ran to its end.
	finished uint64
}

type served struct {
	started time.Time
	took    time.Duration
	target  int
}

// NewLedger returns the ledger of journals, whose targets are numbered in order.
func NewLedger(journals []target.Journal) *Ledger {
	l := &Ledger{runs: make(map[string]run), arrived: make(map[string]bool)}
	for i, j := range journals {
		l.Dropped += j.Dropped
		l.Connections += j.Connections
		l.Received += j.Received
		for _, id := range j.Arrived {
			l.arrived[id] = true
		}
		for _, e := range j.Entries {
			r := l.runs[e.RequestID]
			r.times++
			if !e.Finished.IsZero() {
				r.finished |= 1 << e.Shard
				l.services = append(l.services, served{started: e.Started, took: e.Finished.Sub(e.Started), target: i})
			}
			l.runs[e.RequestID] = r
		}
	}

	return l
}

// ServiceTime returns the mean time that a query took at the targets within the time span, and how many there were. A query
// that was cancelled while it ran does not count.
func (l *Ledger) ServiceTime(from, to time.Time, targets int) (mean time.Duration, n int) {
	var sum time.Duration
	for _, s := range l.services {
		if s.target < targets && !s.started.Before(from) && s.started.Before(to) {
			sum += s.took
			n++
		}
	}

	return sum / time.Duration(max(n, 1)), n
}

// Use is how a range of targets was used within a time span.
type Use struct {
	// Mean is the number of queries that ran at a time at each target, over the span, and Peak the largest one at any target.
	Mean float64
	Peak int
}

// Use returns the use of the targets from first up to the one before end.
func (l *Ledger) Use(from, to time.Time, first, end int) (u Use) {
	type change struct {
		at   time.Time
		step int
	}
	changes := make(map[int][]change)
	var busy time.Duration
	for _, s := range l.services {
		if s.target < first || s.target >= end || s.started.Before(from) || !s.started.Before(to) {
			continue
		}
		busy += s.took
		changes[s.target] = append(changes[s.target], change{s.started, 1}, change{s.started.Add(s.took), -1})
	}
	for _, c := range changes {
		slices.SortFunc(c, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), a.step-b.step) })
		running := 0
		for _, step := range c {
			running += step.step
			u.Peak = max(u.Peak, running)
		}
	}
	u.Mean = float64(busy) / float64(to.Sub(from)) / float64(max(end-first, 1))

	return u
}

// Faults counts what callers were told wrongly.
type Faults struct {
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	// LostUntold counts answers, or refusals that say that the request did not run, of non-idempotent requests for which the
	// journals say the opposite.
	LostUntold int
	// UnknownUntouched counts refusals with outcome Unknown of non-idempotent requests that no target read.
	UnknownUntouched int
	// Untrue counts answers whose coverage contradicts itself or names a shard that no target finished.
	Untrue int
}

// Audit compares records with l.
func (l *Ledger) Audit(records []Record) (f Faults) {
	for _, r := range records {
		ran := l.runs[r.RequestID]
		if r.Answered && (r.Malformed || r.Shards&^ran.finished != 0 || r.OneShard && ran.finished == 0) {
			f.Untrue++
		}
		if r.Idempotent {
			continue
		}
		switch {
		case ran.times > 1:
			f.Doubled++
		case r.Answered && ran.times == 0, !r.Answered && r.Outcome == wire.NotRun && ran.times > 0:
			f.LostUntold++
		case !r.Answered && r.Outcome == wire.Unknown && !l.arrived[r.RequestID]:
			f.UnknownUntouched++
		}
	}

	return f
}
