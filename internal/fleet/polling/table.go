package polling

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

const (
	// MaxTargets is five times the number of replicas expected in two years.
	MaxTargets = 16384
	// doubtFor is the time for which a report that a reply contradicted is not repeated to this instance's own tables. The
	// owner polls the target and its report arrives well within it.
	doubtFor = 3 * time.Second
)

// entry is the last report of a target; a Sequence of 0 means that there is none.
type entry struct {
	peer.TargetReport
	hash    uint64
	doubted time.Time
}

// table holds the reports of the targets of the configuration, which bounds it. It is safe for concurrent use.
type table struct {
	timers *timer.Service

	mu      sync.RWMutex
	entries map[netip.AddrPort]*entry
	buckets [peer.Buckets]uint64
	pending set.Set[netip.AddrPort] // reports still to be passed on
}

// keep makes addresses the targets of the table and returns how many found no place.
func (t *table) keep(addresses []netip.AddrPort) (dropped int) {
	kept := addresses[:min(len(addresses), MaxTargets)]
	wanted := set.Of(kept...)
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range t.entries {
		if !wanted.Has(address) {
			t.buckets[bucketOf(address)] ^= e.hash
			delete(t.entries, address)
			t.pending.Remove(address)
		}
	}
	for _, address := range kept {
		if t.entries[address] == nil {
			t.entries[address] = &entry{}
		}
	}

	return len(addresses) - len(kept)
}

// polled records what a target itself reported just now. What is new about it gets the next sequence number and is passed on.
func (t *table) polled(address netip.AddrPort, report *target.Report) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[address]
	if e == nil {
		return false
	}
	e.doubted = time.Time{}
	if e.Sequence != 0 && says(&e.TargetReport, report) {
		return false
	}

	return t.state(e, address, report)
}

// replied records the report that came with a reply. Replies arrive late and out of order, so only the begin of a drain is
// passed on at once; all else waits for the owner's next poll.
func (t *table) replied(address netip.AddrPort, report *target.Report) (changed bool) {
	t.mu.RLock()
	e := t.entries[address]
	same := e == nil || e.Sequence == 0 || says(&e.TargetReport, report)
	t.mu.RUnlock()
	if same {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	if e = t.entries[address]; e == nil {
		return false
	}
	if report.Draining && !e.Draining && report.Incarnation == e.Incarnation {
		return t.state(e, address, report)
	}
	e.doubted = t.timers.Now()

	return false
}

// state gives report the next sequence number. An instance that lost what it knew begins anew; a comparison shows it the
// number of the others, and its next poll the next one. The caller holds mu.
func (t *table) state(e *entry, address netip.AddrPort, report *target.Report) bool {
	next := peer.TargetReport{
		Address:     address,
		Sequence:    e.Sequence + 1,
		Incarnation: report.Incarnation,
		Service:     report.Service,
		Draining:    report.Draining,
		Cold:        report.Cold,
		Holdings:    slices.Clone(report.Holdings),
	}
	if next.Check() != nil {
		// Others would refuse it. This instance has learned the report itself.
		return false
	}
	t.set(e, next)
	t.pending.Add(address)

	return true
}

// offer takes the report of another instance if it is newer.
func (t *table) offer(r *peer.TargetReport) (adopted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[r.Address]
	if e == nil || !supersedes(r, &e.TargetReport) {
		return false
	}
	t.set(e, *r)
	e.doubted = time.Time{}

	return true
}

// passOn has the reports of the targets passed on.
func (t *table) passOn(addresses []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		if t.entries[address] != nil {
			t.pending.Add(address)
		}
	}
}

func (t *table) set(e *entry, r peer.TargetReport) {
	bucket := bucketOf(r.Address)
	t.buckets[bucket] ^= e.hash
	e.TargetReport, e.hash = r, hashOf(&r)
	t.buckets[bucket] ^= e.hash
}

// digests returns the digest of the whole table and those of its buckets.
func (t *table) digests() (digest uint64, buckets []uint64) {
	t.mu.RLock()
	buckets = slices.Clone(t.buckets[:])
	t.mu.RUnlock()
	data := make([]byte, 0, 8*peer.Buckets)
	for _, b := range buckets {
		data = binary.LittleEndian.AppendUint64(data, b)
	}

	return xxhash.Sum64(data), buckets
}

// take returns up to n reports that are still to be passed on, drains first.
func (t *table) take(n int) []peer.TargetReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]peer.TargetReport, 0, t.pending.Len())
	for _, address := range t.pending.Values() {
		reports = append(reports, t.entries[address].TargetReport)
	}
	slices.SortFunc(reports, func(a, b peer.TargetReport) int {
		switch {
		case a.Draining == b.Draining:
			return cmp.Compare(a.Sequence, b.Sequence)
		case a.Draining:
			return -1
		default:
			return 1
		}
	})
	reports = reports[:min(n, len(reports))]
	for i := range reports {
		t.pending.Remove(reports[i].Address)
	}

	return reports
}

// in returns the reports in the buckets that have a bit in want, at most peer.MaxReports.
func (t *table) in(want uint64) (reports []peer.TargetReport) {
	if want == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for address, e := range t.entries {
		if len(reports) < peer.MaxReports && e.Sequence != 0 && want&(1<<bucketOf(address)) != 0 {
			reports = append(reports, e.TargetReport)
		}
	}

	return reports
}

// unknown returns the targets of which there is no report.
func (t *table) unknown() (addresses []netip.AddrPort) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for address, e := range t.entries {
		if e.Sequence == 0 {
			addresses = append(addresses, address)
		}
	}

	return addresses
}

// repeat calls learn, which must not call the table, with each report that no reply has contradicted shortly before. A drain
// is repeated in any case: late replies that contradict it are those of queries that began before.
func (t *table) repeat(learn func(netip.AddrPort, target.Report)) {
	now := t.timers.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	for address, e := range t.entries {
		if e.Sequence != 0 && (e.Draining || e.doubted.IsZero() || now.Sub(e.doubted) >= doubtFor) {
			learn(address, e.Report())
		}
	}
}

// says reports whether r is what report says, but for its load.
func says(r *peer.TargetReport, report *target.Report) bool {
	return r.Incarnation == report.Incarnation && r.Service == report.Service && r.Draining == report.Draining &&
		r.Cold == report.Cold && slices.Equal(r.Holdings, report.Holdings)
}

// supersedes orders all reports of a target in the same way at each instance. Two pollers may have used one number.
func supersedes(r, old *peer.TargetReport) bool {
	switch {
	case r.Sequence != old.Sequence:
		return r.Sequence > old.Sequence
	case r.Draining != old.Draining:
		return r.Draining
	default:
		return hashOf(r) > hashOf(old)
	}
}

func bucketOf(address netip.AddrPort) int {
	// MarshalBinary of an address does not fail.
	data, _ := address.MarshalBinary()

	return int(xxhash.Sum64(data) % peer.Buckets)
}

func hashOf(r *peer.TargetReport) uint64 {
	// MarshalBinary of an address does not fail.
	data, _ := r.Address.MarshalBinary()
	add := func(values ...uint64) {
		for _, v := range values {
			data = binary.LittleEndian.AppendUint64(data, v)
		}
	}
	flags := uint64(0)
	if r.Draining {
		flags |= 1
	}
	if r.Cold {
		flags |= 2
	}
	add(r.Sequence, r.Incarnation, flags, uint64(len(r.Service)))
	data = append(data, r.Service...)
	for _, h := range r.Holdings {
		add(h.Version, uint64(h.Shard), uint64(h.Shards))
	}

	return xxhash.Sum64(data)
}
