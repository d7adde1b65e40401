package handover

import (
	"context"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
)

// Groups returns the shards of a query that peers in other availability zones gather, because the replicas of these shards are in
// those zones. Only replicas in the regions that the query allows count, so that the peers are in these regions, too.
func (h *Handover) Groups(q *dispatch.Query) []dispatch.Group {
	if !peer.CanCarry(q) {
		return nil
	}
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	zones := make([][]string, len(q.Route.Gather.Shards))
	for i, service := range q.Route.Gather.Shards {
		for _, t := range h.directory.Service(service) {
			if h.acceptsQuery(t, q) {
				zones[i] = append(zones[i], t.AvailabilityZone)
			}
		}
	}
	peers := make(map[string]*control.Instance)
	h.groupSequence++
	groups := placement.Groups(zones, h.place, h.groupSequence, func(zone string) bool {
		if _, ok := peers[zone]; !ok {
			peers[zone] = h.leastLoaded(q, zone, now)
		}

		return peers[zone] != nil
	})
	out := make([]dispatch.Group, 0, len(groups))
	for _, g := range groups {
		instance := peers[g.AvailabilityZone]
		shards := make([]string, 0, len(g.Shards))
		for _, i := range g.Shards {
			shards = append(shards, q.Route.Gather.Shards[i])
		}
		out = append(out, dispatch.Group{Shards: g.Shards, Run: func(
			ctx context.Context, early func(dispatch.Answer),
		) (dispatch.Answer, error) {
			return h.runGroup(ctx, q, instance, shards, early)
		}})
	}

	return out
}

// runGroup sends the shards of a group to a peer and returns the peer's answer.
func (h *Handover) runGroup(
	ctx context.Context, q *dispatch.Query, instance *control.Instance, shards []string, early func(dispatch.Answer),
) (dispatch.Answer, error) {
	reply, err := h.gatherAt(ctx, q, instance, shards, early)
	if err == nil {
		return reply.Answer, nil
	}
	if ctx.Err() == nil {
		h.log.Log(event.GathererFailed, "Request", q.RequestID, "Gatherer", instance.Name, "Shards", len(shards), "Error", err)
	}
	if mayHaveRun(err) {
		err = errors.Join(dispatch.ErrMayHaveRun, err)
	}

	return dispatch.Answer{}, err
}

// leastLoaded returns the peer in an availability zone that has the most processor time for a query, or nil if there is none.
// The caller must hold h.mu.
func (h *Handover) leastLoaded(q *dispatch.Query, zone string, now time.Time) *control.Instance {
	var best *control.Instance
	var lowest float64
	for k := range h.view.Instances {
		i := &h.view.Instances[k]
		if i.AvailabilityZone != zone || i.Name == h.self.Name || i.Unreachable {
			continue
		}
		active := 0
		if p := h.peers[i.Name]; p != nil {
			if p.excluded(q, now) {
				continue
			}
			active = p.load(now)
		}
		// The jitter is less than the weight of one query. It makes instances choose different peers among equally loaded ones.
		cost := (1 + float64(active) + float64(jitter(h.self.Name, i.Name))/float64(jitterRange)) / i.Processor
		if best == nil || cost < lowest {
			instance := *i
			best, lowest = &instance, cost
		}
	}

	return best
}

// load returns the number of queries that a peer gathers: the outstanding calls of this instance, or the number in the peer's last
// report if that is greater and recent.
func (p *peerState) load(now time.Time) int {
	if now.Sub(p.activeAt) < maxReportAge {
		return max(p.outstanding, p.active)
	}

	return p.outstanding
}
