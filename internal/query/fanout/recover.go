package fanout

import (
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// handleFailure handles a failed attempt. If another attempt of the shard is in flight, the query waits for it.
// Otherwise it retries the shard or restarts on a newer snapshot, and marks the shard as missing if neither is possible.
func (q *query) handleFailure(a *shardAttempt, now time.Time, maySend bool) {
	s := a.shard
	if a.outcome == target.NotRun && a.code == target.VersionUnavailable {
		s.unavailable = true
	}
	if i := slices.Index(s.attempts[:], a); i >= 0 {
		copy(s.attempts[i:], s.attempts[i+1:])
		s.attempts[maxHedges] = nil
	}
	if s.attempts[0] != nil {
		return
	}
	if !maySend || !q.retryShard(a, now) {
		q.markMissing(s)
	}
}

// retryShard retries a failed attempt if the target has not run it or the service is idempotent, enough time remains, a replica is
// available and the budget covers the retry.
func (q *query) retryShard(a *shardAttempt, now time.Time) bool {
	e := q.engine
	if a.outcome != target.NotRun && !q.service.Idempotent {
		return false
	}
	if a.code == target.BadQuery {
		return false
	}
	timeout := e.attemptTimeout(q.end, now)
	if timeout < minimumTimeout {
		q.outOfTime = true

		return false
	}
	replica, ok := q.choose(a.shard)
	if !ok && a.reused && !a.shard.reconnected {
		// A reused connection that breaks is no sign of a failed replica. When a network device on the path loses the state of
		// all open connections, those to all replicas break, but a new connection works.
		replica, ok, a.shard.reconnected = a.replica, true, true
	}
	if !ok {
		return a.shard.unavailable && q.restart(now)
	}
	if !e.Budget.Spend(q.request.Service, 1) {
		return false
	}
	e.counters.retries.Add(1)
	q.startAttempt(&shardAttempt{id: q.attemptIDs(1)[0]}, a.shard, replica, retryAttempt, now, timeout)

	return true
}

// restart replaces the round by one on a newer snapshot. A query restarts at most once, and only if this cannot run a
// non-idempotent request twice, the newer snapshot covers more than the current round still can, and the budget covers the
// attempts of the current round that are discarded.
func (q *query) restart(now time.Time) bool {
	e, old := q.engine, q.round
	if q.restarted || (!q.service.Idempotent && (q.mayHaveRun || q.inFlight > 0)) {
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
	q.cancelRound()
	q.startRound(pin, now)

	return true
}

// coversMore reports whether pin can cover more than the current round, in which the shard that has just failed would be missing.
func (q *query) coversMore(pin snapshot.Pin) bool {
	if q.service.Class == contract.OneRecord {
		return len(pin.Replicas[shardOf(q.request.Key, pin.Shards())]) > 0
	}
	old := q.round

	return pin.Coverage() > float64(old.answered+old.open-1)/float64(len(old.shards))
}
