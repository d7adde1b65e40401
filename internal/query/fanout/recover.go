package fanout

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// recover handles a failed attempt: another one of the shard goes on, or the shard is asked again, or the query is
// restarted, or the shard is missing.
func (q *query) recover(f *flight, now time.Time, more bool) {
	s := f.shard
	if f.outcome == target.NotRun && f.code == target.VersionUnavailable {
		s.unavailable = true
	}
	if i := slices.Index(s.flights[:], f); i >= 0 {
		copy(s.flights[i:], s.flights[i+1:])
		s.flights[maxHedges] = nil
	}
	if s.flights[0] != nil {
		return
	}
	if !more || !q.again(f, now) {
		q.miss(s)
	}
}

// again sends the part of a failed attempt once more, if that does no harm and there are time, a replica and a token.
func (q *query) again(f *flight, now time.Time) bool {
	e := q.engine
	if f.outcome != target.NotRun && !q.service.Idempotent {
		return false
	}
	if f.code == target.BadQuery {
		return false
	}
	timeout := e.timeout(q.end, now)
	if timeout < minimumTimeout {
		q.late = true

		return false
	}
	replica, ok := q.choose(f.shard)
	if f.moves {
		// Nothing has run, so that a move takes no token. Without another replica, the attempt waits at its own again.
		if !ok {
			replica = f.replica
		}
		// The replica that it leaves stays free for a hedge, because it was not asked.
		f.shard.tried = slices.DeleteFunc(f.shard.tried, func(a netip.AddrPort) bool { return a == f.replica.Address })
		e.counters.moves.Add(1)
		q.start(&flight{id: q.attemptIDs(1)[0]}, f.shard, replica, retry, now, timeout)

		return true
	}
	if !ok {
		return f.shard.unavailable && q.restart(now)
	}
	if !e.Budget.Spend(q.request.Service, 1) {
		return false
	}
	e.counters.retries.Add(1)
	q.start(&flight{id: q.attemptIDs(1)[0]}, f.shard, replica, retry, now, timeout)

	return true
}

// restart abandons the round for one on a newer snapshot, once, if that does no harm, covers more than the present round
// still can, and the budget pays for the attempts that were wasted.
func (q *query) restart(now time.Time) bool {
	e, old := q.engine, q.round
	if q.restarted || (!q.service.Idempotent && (q.touched || q.inFlight > 0)) {
		return false
	}
	pin, ok := e.Pin(q.request.Service, *q.service, old.pin.Version)
	if !ok || pin.Version <= old.pin.Version || !q.coversMore(pin) {
		return false
	}
	if !e.Budget.Spend(q.request.Service, max(1, old.sent-old.notRun)) {
		return false
	}
	q.restarted = true
	e.counters.restarts.Add(1)
	e.Log.Log(event.SnapshotRestarted, "RequestID", q.request.RequestID, "Service", q.request.Service,
		"From", old.pin.Version, "To", pin.Version)
	q.abandon()
	q.begin(pin, now)

	return true
}

// coversMore reports whether pin can cover more than the present round, in which one more shard is about to be missing.
func (q *query) coversMore(pin snapshot.Pin) bool {
	if q.service.Class == contract.OneRecord {
		return len(pin.Replicas[shardOf(q.request.Key, pin.Shards())]) > 0
	}
	old := q.round

	return pin.Coverage() > float64(old.answered+old.open-1)/float64(len(old.shards))
}
