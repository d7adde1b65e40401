package dispatch

import (
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// isUnreachable reports whether this instance has lost connectivity to the targets, so that new connections fail.
func (q *activeQuery) isUnreachable() bool { return q.d.pool.Reachability() != reachability.Reachable }

// refuseUnconnected ends the query if no target answers on any connection, or if none accepts one and too few shards have one with an open
// connection. It reports whether it did.
func (q *activeQuery) refuseUnconnected() (refused bool) {
	switch q.d.pool.Reachability() {
	case reachability.Reachable:
		return false
	case reachability.NoNewConnections:
		if q.forwarded || q.subset || q.connectedShards() >= max(q.minimumParts(), 1) {
			return false
		}
	case reachability.Unreachable:
	}
	status := NotRun
	if q.request.MaybeSent || len(q.request.Tried) > 0 {
		status = Unknown
	}
	q.finish(status, ReasonUnreachable)

	return true
}

// connectedShards returns the number of shards that have a target with an open connection.
func (q *activeQuery) connectedShards() (n int) {
	for i := range q.subrequests {
		q.loadLinks(q.subrequests[i].service)
		if slices.ContainsFunc(q.links, (*target.Link).HasIdle) {
			n++
		}
	}

	return n
}

// endUnreachable ends the query because no target answers on any connection, so that a peer can answer it. It reports whether it did: a query
// that may have run and is not idempotent waits for its response.
func (q *activeQuery) endUnreachable() (ended bool) {
	switch {
	case q.careful:
		return false
	case q.forwarded && !q.request.Route.Idempotent:
		return false
	case q.forwarded:
	case q.earlySent:
		// The peer has the other parts.
		q.mergeParts()
		q.finish(Answered, ReasonUnreachable)

		return true
	case !q.subset && q.partCount >= max(q.minimumParts(), 1):
		q.mergeParts()
		q.finish(Answered, ReasonUnreachable)

		return true
	}
	q.finish(q.failureStatus(), ReasonUnreachable)
	q.answer.Tried = q.tried()

	return true
}

// failureReason returns the reason of a query that has failed, and records to which targets it may have been sent if a peer can answer it.
func (q *activeQuery) failureReason(reason string) string {
	if !q.isUnreachable() || q.careful || q.turnIn > 0 {
		return reason
	}
	q.answer.Tried = q.tried()

	return ReasonUnreachable
}

// tried returns the targets that may have got a forwarded query.
func (q *activeQuery) tried() (ids []string) {
	if !q.forwarded {
		return nil
	}
	ids = append(ids, q.request.Tried...)
	for _, a := range q.subrequests[0].attempts {
		if !a.ended || a.outcome != target.NotRun {
			ids = append(ids, a.link.ID())
		}
	}

	return ids
}
