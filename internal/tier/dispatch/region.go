package dispatch

import (
	"context"
	"slices"
	"strings"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// reasonRegion is the reason of a query that was not sent because too few of its shards have a target in the regions that its Scope allows.
const reasonRegion = "RegionUnavailable"

// loadLinks sets links to the targets of a service that the query may be sent to: those that accept new requests, in the regions that its
// Scope allows. All choices of a target for a query use it.
func (q *activeQuery) loadLinks(service string) {
	q.links = q.d.pool.Links(q.links[:0], service)
	if q.request.Scope.IsRestricted() {
		q.links = slices.DeleteFunc(q.links, func(l *target.Link) bool { return !q.allowsZone(l.Target().AvailabilityZone) })
	}
}

// allowsZone reports whether the query may be sent to targets in an availability zone.
func (q *activeQuery) allowsZone(availabilityZone string) bool {
	return q.d.settings.Place.Allows(q.request.Scope, availabilityZone)
}

// limitCallToScope makes the links check the zone of a target again just before they send it the query, because the target may have moved
// while the query waited for a connection or a turn.
func (q *activeQuery) limitCallToScope() {
	if q.request.Scope.IsRestricted() {
		q.call.AllowsZone = q.allowsZone
	}
}

// refuseOutsideRegions ends the query if too few shards have a target in the allowed regions, and reports whether it did. A subset is not
// refused: its answer lacks the parts of such shards, and the peer that asked for it decides whether the others suffice.
func (q *activeQuery) refuseOutsideRegions() (refused bool) {
	if !q.request.Scope.IsRestricted() || q.subset {
		return false
	}
	minimum, reachable := 1, 0
	if !q.forwarded {
		minimum = q.minimumParts()
	}
	for i := range q.subrequests {
		if q.loadLinks(q.subrequests[i].service); len(q.links) > 0 {
			reachable++
		}
	}
	if reachable >= max(minimum, 1) {
		return false
	}
	q.d.log.Log(event.RegionUnavailable, "Request", q.request.RequestID, "Route", q.request.Route.Name, "Account", q.request.Account,
		"Regions", strings.Join(q.request.Scope.Names(), ","), "Shards", len(q.subrequests), "Reachable", reachable, "Minimum", minimum)
	q.countRegionRefusal()
	status := NotRun
	if q.request.MaybeSent {
		// An earlier gatherer may have sent the query to targets.
		status = Unknown
	}
	q.finish(status, reasonRegion)

	return true
}

// countRegionRefusal counts a refusal for each allowed region. The values of the label are bounded by the regions in the settings: other
// names, which a configuration may contain in any number, are counted together.
func (q *activeQuery) countRegionRefusal() {
	names := make(map[string]bool)
	for _, name := range q.request.Scope.Names() {
		if !q.d.settings.Place.HasRegion(name) {
			name = "unknown"
		}
		names[name] = true
	}
	if len(names) == 0 {
		names["none"] = true
	}
	for name := range names {
		q.d.metrics.RegionRefusal(context.Background(), name)
	}
}
