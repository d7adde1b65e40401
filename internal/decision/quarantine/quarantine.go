// Package quarantine decides which queries are sent to targets with care, or not at all, because they seem to crash each target that
// runs them.
//
// A target that ends may have been crashed by one of its queries, but the others are lost with it, and it may have ended for a reason of its
// own. A query is therefore a suspect only until a target has answered it. A suspect is sent to one target at a time, some time after the
// last crash, so that it ends at most one more, and so that the result is independent of what ended the others. It is blocked after each
// such trial that has ended a target, for a few seconds at first, because the target may have ended at that moment by coincidence:
//
//	list := quarantine.NewList()
//	if list.Verdict(fingerprint, now).Mode == quarantine.Blocked {
//		// refuse the query, which has not run
//	}
//
// The instances of a fleet exchange their records. Each instance also keeps those of the others, so that none is lost with the leader.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// minimumCrashes is the number of crashed targets from which a query is blocked, and minimumAlone the number of those that it
	// crashed in trials. The first block is short, so that one trial suffices.
	minimumCrashes = 2
	minimumAlone   = 1
	// strongCrashes is the number of crashed targets from which a record is stored. A query that was only lost with others rarely has it.
	strongCrashes = 3
	// suspicionTime is how long a query stays a suspect after its last crash.
	suspicionTime = 2 * time.Minute
	// SettleTime is the shortest time between a crash and the next trial. It exceeds the time in which the lost connections of targets that
	// end together are noticed in all regions.
	SettleTime = 100 * time.Millisecond
	// firstBlockTime is how long a query is blocked at first. Each crash after a block blocks it blockFactor times as long as before,
	// for maximumBlockTime at most.
	firstBlockTime   = 5 * time.Second
	blockFactor      = 60
	maximumBlockTime = 24 * time.Hour
	// minimumBlockMemory is the shortest time for which a query is a suspect after a block.
	minimumBlockMemory = 20 * time.Minute
	// trialInstancesDoublingTime is the time in which the number of instances that may try a suspect doubles.
	trialInstancesDoublingTime = 2 * time.Second
	// maxTrialInstancesDoublings is the maximum number of these doublings.
	maxTrialInstancesDoublings = 20
	// maximumTrialTime is the time after which a trial that has not ended does not keep the next one from beginning.
	maximumTrialTime = 30 * time.Second
	// maxRecords is the maximum number of records.
	maxRecords = 1024
	// maxReports is the maximum number of records that are reported at once.
	maxReports = 64
)

// Mode is how a query may be sent.
type Mode int

// The values of Mode.
const (
	// Clear means without restrictions.
	Clear Mode = iota
	// Careful means to one target at a time until one has answered it.
	Careful
	// Blocked means that the query may not be sent.
	Blocked
)

// Verdict says how a query may be sent.
type Verdict struct {
	Mode Mode
	// Left is how much longer the query is blocked.
	Left time.Duration
	// Crashes are the crashes of a query that is sent with care.
	Crashes []suspect.Crash
	// Waiting is the time for which such a query could have been tried: since its last crash or the end of its last block.
	Waiting time.Duration
}

// TrialInstances returns the number of instances of the fleet that may try a query that is sent with care. It grows until one of them
// receives the query, so that a fleet of any size soon clears a query that is not guilty. A guilty query that is sent often is tried by one
// instance.
func (v *Verdict) TrialInstances() int {
	return 1 << min(v.Waiting/trialInstancesDoublingTime, maxTrialInstancesDoublings)
}

// Crashed reports whether the query has crashed a process, as far as is known.
func (v *Verdict) Crashed(process string) bool {
	return slices.ContainsFunc(v.Crashes, func(c suspect.Crash) bool { return c.Process == process })
}

// record is a suspect.Record with what this instance needs to keep it.
type record struct {
	suspect.Record
	blockedUntil time.Time
	expires      time.Time
	// crashedAt is when this instance learned of the last crash.
	crashedAt time.Time
	// changed and observed count the changes of all records up to the last one of this record, and up to the last one that this instance
	// observed itself.
	changed  uint64
	observed uint64
	// trialUntil is the time until which a trial is under way, at the latest.
	trialUntil time.Time
}

// List holds the records of an instance. It is safe for concurrent use.
type List struct {
	// size is the number of records, for Empty.
	size atomic.Int64

	mu         sync.Mutex
	records    map[suspect.Fingerprint]*record
	losses     losses
	sequence   uint64
	onObserved func()
}

// NewList returns an empty List.
func NewList() *List {
	return &List{records: make(map[suspect.Fingerprint]*record), losses: newLosses(), onObserved: func() {}}
}

// OnObserved sets the function that is called when this instance itself has changed a record. It must be set before the first use.
func (l *List) OnObserved(observed func()) { l.onObserved = observed }

// Empty reports whether there are no records.
func (l *List) Empty() bool { return l.size.Load() == 0 }

// Verdict returns how a query may be sent.
func (l *List) Verdict(f suspect.Fingerprint, now time.Time) Verdict {
	if l.Empty() {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[f]
	switch {
	case r == nil || now.After(r.expires) || len(r.Crashes) == 0:
		return Verdict{}
	case now.Before(r.blockedUntil):
		return Verdict{Mode: Blocked, Left: r.blockedUntil.Sub(now)}
	default:
		since := r.crashedAt
		if r.blockedUntil.After(since) {
			since = r.blockedUntil
		}

		return Verdict{Mode: Careful, Crashes: slices.Clone(r.Crashes), Waiting: now.Sub(since)}
	}
}

// BeginTrial begins to send a suspect, unless this instance is sending the same already or the last crash is too recent. EndTrial ends that.
func (l *List) BeginTrial(f suspect.Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[f]
	if r == nil {
		return true
	}
	if now.Before(r.trialUntil) || now.Sub(r.crashedAt) < SettleTime {
		return false
	}
	r.trialUntil = now.Add(maximumTrialTime)

	return true
}

// EndTrial ends a trial.
func (l *List) EndTrial(f suspect.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[f]; r != nil {
		r.trialUntil = time.Time{}
	}
}

// RecordCrash records that a target ended while it had a query that no target has answered yet, and returns the verdict on the query.
func (l *List) RecordCrash(f suspect.Fingerprint, c suspect.Crash, now time.Time) Verdict {
	l.mu.Lock()
	r := l.records[f]
	if r == nil || now.After(r.expires) {
		if !l.makeRoom(now) {
			l.mu.Unlock()

			return Verdict{}
		}
		r = &record{Record: suspect.Record{Fingerprint: f}}
		l.put(r)
	}
	changed := r.add(c)
	if changed {
		r.crashedAt = now
		l.losses.add(c.Process, f, now)
	}
	if retested := r.Blocks > 0 && c.Alone && !now.Before(r.blockedUntil); retested {
		r.Blocks = min(r.Blocks+1, suspect.MaxBlocks)
		r.block(now, blockTime(r.Blocks))
		changed = true
	}
	if changed {
		l.observe(r, now)
	}
	l.mu.Unlock()
	if changed {
		l.onObserved()
	}

	return l.Verdict(f, now)
}

// RecordAnswer records that a target has answered a query, which clears it. It reports whether the query was a suspect.
func (l *List) RecordAnswer(f suspect.Fingerprint, now time.Time) bool {
	if l.Empty() {
		return false
	}
	l.mu.Lock()
	r := l.records[f]
	if r == nil || now.After(r.expires) || len(r.Crashes) == 0 {
		l.mu.Unlock()

		return false
	}
	l.clear(r, r.Epoch+1)
	l.observe(r, now)
	l.mu.Unlock()
	l.onObserved()

	return true
}

// clear begins another epoch of a record, with no evidence against the query. l.mu must be held.
func (l *List) clear(r *record, epoch int) {
	for _, c := range r.Crashes {
		l.losses.remove(c.Process, r.Fingerprint)
	}
	r.Epoch, r.Crashes, r.Blocks, r.blockedUntil = epoch, nil, 0, time.Time{}
}

// Merge merges records of other instances.
func (l *List) Merge(records []suspect.Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		l.merge(&records[i], now)
	}
}

// merge merges a record of another instance. l.mu must be held.
func (l *List) merge(from *suspect.Record, now time.Time) {
	r := l.records[from.Fingerprint]
	if r == nil || now.After(r.expires) {
		if len(from.Crashes) == 0 || !l.makeRoom(now) {
			return
		}
		r = &record{Record: suspect.Record{Fingerprint: from.Fingerprint, Epoch: from.Epoch}}
		l.put(r)
	}
	changed := false
	if from.Epoch > r.Epoch {
		l.clear(r, from.Epoch)
		changed = true
	}
	if from.Epoch < r.Epoch {
		return
	}
	for _, c := range from.Crashes {
		if r.add(c) {
			r.crashedAt = now
			l.losses.add(c.Process, r.Fingerprint, now)
			changed = true
		}
	}
	if from.Blocks > r.Blocks {
		r.Blocks = from.Blocks
		r.block(now, min(from.Left, blockTime(from.Blocks)))
		changed = true
	}
	if changed {
		l.change(r, now)
	}
}

// add adds a crash, and reports whether it says more than those in the record.
func (r *record) add(c suspect.Crash) bool {
	for i := range r.Crashes {
		if r.Crashes[i].Process == c.Process {
			upgraded := c.Alone && !r.Crashes[i].Alone
			r.Crashes[i].Alone = r.Crashes[i].Alone || c.Alone

			return upgraded
		}
	}
	if len(r.Crashes) < suspect.MaxCrashes {
		r.Crashes = append(r.Crashes, c)

		return true
	}
	if replaced := slices.IndexFunc(r.Crashes, func(c suspect.Crash) bool { return !c.Alone }); c.Alone && replaced >= 0 {
		r.Crashes[replaced] = c

		return true
	}

	return false
}

func (r *record) block(now time.Time, d time.Duration) {
	r.blockedUntil = now.Add(d)
}

// blockTime returns how long a query is blocked for the given time in succession.
func blockTime(blocks int) time.Duration {
	d := firstBlockTime
	for ; blocks > 1 && d < maximumBlockTime; blocks-- {
		d *= blockFactor
	}

	return min(d, maximumBlockTime)
}

// observe records a change that this instance has observed itself. l.mu must be held.
func (l *List) observe(r *record, now time.Time) {
	l.change(r, now)
	r.observed = r.changed
}

// change blocks the query if the evidence suffices, and counts the change. l.mu must be held.
func (l *List) change(r *record, now time.Time) {
	alone := 0
	for _, c := range r.Crashes {
		if c.Alone {
			alone++
		}
	}
	if r.Blocks == 0 && len(r.Crashes) >= minimumCrashes && alone >= minimumAlone {
		r.Blocks = 1
		r.block(now, firstBlockTime)
	}
	r.expires = now.Add(suspicionTime)
	if r.Blocks > 0 {
		// After the block, the query is a suspect for as long as it was blocked, or longer.
		r.expires = r.blockedUntil.Add(max(minimumBlockMemory, blockTime(r.Blocks)))
	}
	l.sequence++
	r.changed = l.sequence
}

// put adds a record. l.mu must be held.
func (l *List) put(r *record) {
	l.records[r.Fingerprint] = r
	l.size.Store(int64(len(l.records)))
}

// makeRoom removes expired records and, at the limit, the oldest one that does not block its query. It reports whether there is room for
// another one. l.mu must be held.
func (l *List) makeRoom(now time.Time) bool {
	var oldest *record
	for f, r := range l.records {
		switch {
		case now.After(r.expires):
			delete(l.records, f)
		case r.Blocks == 0 && (oldest == nil || r.changed < oldest.changed):
			oldest = r
		}
	}
	if len(l.records) >= maxRecords && oldest != nil {
		delete(l.records, oldest.Fingerprint)
	}
	l.size.Store(int64(len(l.records)))

	return len(l.records) < maxRecords
}

// Observed returns the records that this instance has changed itself after a cursor, and the next cursor. With cursor 0, it returns all
// records, whoever has changed them.
func (l *List) Observed(after uint64, now time.Time) (records []suspect.Record, next uint64) {
	return l.since(after, now, func(r *record) uint64 {
		if after == 0 {
			return r.changed
		}

		return r.observed
	})
}

// ObservedStrong returns those of the StrongRecords that this instance has changed itself after a cursor, and the next cursor.
func (l *List) ObservedStrong(after uint64, now time.Time) (records []suspect.Record, next uint64) {
	return l.since(after, now, func(r *record) uint64 {
		if !r.strong() {
			return 0
		}

		return r.observed
	})
}

// Changed returns the records that have changed after a cursor, and the next cursor.
func (l *List) Changed(after uint64, now time.Time) (records []suspect.Record, next uint64) {
	return l.since(after, now, func(r *record) uint64 { return r.changed })
}

// BlockedRecords returns the records of the queries that are blocked.
func (l *List) BlockedRecords(now time.Time) (records []suspect.Record) {
	return l.filter(now, func(r *record) bool { return now.Before(r.blockedUntil) })
}

// StrongRecords returns the records of the queries that have crashed several targets, whether or not they are blocked.
func (l *List) StrongRecords(now time.Time) (records []suspect.Record) {
	return l.filter(now, func(r *record) bool { return !now.After(r.expires) && r.strong() })
}

// strong reports whether the record is one of the StrongRecords.
func (r *record) strong() bool { return r.Blocks > 0 || len(r.Crashes) >= strongCrashes }

func (l *List) filter(now time.Time, keep func(*record) bool) (records []suspect.Record) {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if keep(r) {
			records = append(records, r.share(now))
		}
	}

	return records
}

func (l *List) since(after uint64, now time.Time, sequence func(*record) uint64) (out []suspect.Record, next uint64) {
	if l.Empty() {
		return nil, after
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []*record
	for _, r := range l.records {
		if sequence(r) > after && !now.After(r.expires) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(sequence(a), sequence(b)) })
	next = max(after, l.sequence)
	if len(records) > maxReports {
		records = records[:maxReports]
		next = sequence(records[maxReports-1])
	}
	for _, r := range records {
		out = append(out, r.share(now))
	}

	return out, next
}

// share returns the record for other instances.
func (r *record) share(now time.Time) suspect.Record {
	shared := r.Record
	shared.Crashes = slices.Clone(r.Crashes)
	shared.Left = max(r.blockedUntil.Sub(now), 0)

	return shared
}
