package handover

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// canServe reports whether enough shards of a query have a target in the regions that it allows. Other queries are not handed over: this
// instance refuses them at once, and no lost peer can leave open whether they have run.
func (h *Handover) canServe(q *dispatch.Query) bool {
	if !q.Scope.IsRestricted() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	served, shards := 0, h.shards(q.Route)
	for _, service := range shards {
		for _, t := range h.directory.Service(service) {
			if h.acceptsQuery(t, q) {
				served++

				break
			}
		}
	}

	minimum := 1
	if q.Route.Gather != nil {
		minimum = q.Route.Gather.MinimumParts(len(shards))
	}

	return served >= max(minimum, 1)
}

// acceptsQuery reports whether a target accepts new requests and is in the regions that a query allows. The caller must hold h.mu.
func (h *Handover) acceptsQuery(t *directory.Target, q *dispatch.Query) bool {
	return h.accepts(t) && h.place.Allows(q.Scope, t.AvailabilityZone)
}

// excluded reports whether a query is not sent to a peer for now, because the peer has failed or does not know queries of its kind.
func (p *peerState) excluded(q *dispatch.Query, now time.Time) bool {
	if q.Route.Gather == nil {
		return now.Before(p.excludedUntil) || now.Before(p.forwardExcludedUntil)
	}

	return now.Before(p.excludedUntil) || q.Scope.IsRestricted() && now.Before(p.scopedExcludedUntil)
}
