package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// assumedInstances is the fleet size assumed while no other instance is known. It is the size of the users' small sites,
	// spare machines included.
	assumedInstances = 11
	// gathererHeadroom is added to the number of instances among which the connections to a target are divided, because further
	// gatherers may open connections before all instances have recalculated their limits.
	gathererHeadroom = 1
	// maxConcurrentNotices limits the number of notices, or other messages to all instances, that are sent concurrently.
	maxConcurrentNotices = 32
	// instanceHeadroom is added to the number of instances among which the retry allowance is divided, because further instances
	// may start before all have recalculated their part.
	instanceHeadroom = 3
	// limitReportInterval is the interval at which an instance reports to the leader about the rate limits of targets.
	limitReportInterval = time.Second
	// gathererAllowanceFraction is the fraction of the retry allowance of a shard's service that is divided among its gatherers.
	gathererAllowanceFraction = 0.8
)

// fleetSize holds the instance counts by which the connections to targets and the extra requests are divided. A gatherer is an
// instance that fans a query out to all shards and merges their parts.
type fleetSize struct {
	instances int
	// gatherers is the number of gatherers by the service of a shard.
	gatherers map[string]int
	// limits is what the pacing of requests to targets that limit their rate depends on.
	limits target.FleetFacts
	// index is the index of this instance among all.
	index int
	// selfGathers is set if this instance is likely to gather queries for other instances.
	selfGathers bool
}

// updateTargets passes a new directory of targets to the components that use it.
func (n *Node) updateTargets(d *directory.Directory) {
	n.targetPool.Update(d)
	n.handover.SetDirectory(d)
	n.updateFleetSize()
	n.targetsKnown.Store(true)
}

// updateConfiguration updates the components that depend on the configuration in force.
func (n *Node) updateConfiguration(t *route.Table) {
	n.accounts.SetTable(t)
	n.dispatcher.Prune(t)
	n.updateFleetSize()
	n.logAccounts(t)
	n.targetPool.UpdateColdLimits()
}

// updateView updates the components that depend on the other instances.
func (n *Node) updateView(v control.View) {
	n.targetPool.SetEvacuated(v.Evacuated)
	n.handover.SetInstances(v)
	n.updateFleetSize()
	n.targetPool.SetLimits(v.Limits)
	n.updateAccountOwners(v)
}

// reportLimits reports to the leader what this instance knows of the rate limits of targets, until ctx is done.
func (n *Node) reportLimits(ctx context.Context) error {
	ticks := n.timers.Subscribe(limitReportInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			n.members.ReportLimits(n.targetPool.LimitReports())
			n.reportLeaving()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reportLeaving reports to the leader which targets leave by their own word.
func (n *Node) reportLeaving() { n.members.ReportLeaving(n.targetPool.LeavingReports()) }

// limitFacts returns what the pacing of requests to targets that limit their rate depends on.
func (n *Node) limitFacts() target.FleetFacts {
	facts := n.fleetSize.Load().limits
	facts.CutOff = n.members.CutOff()

	return facts
}

// updateFleetSize recounts the instances and gatherers.
func (n *Node) updateFleetSize() {
	instances := n.members.View().Instances
	s := &fleetSize{instances: max(len(instances), 1), gatherers: make(map[string]int)}
	if s.instances == 1 {
		// Other instances may be serving that this one has not discovered yet.
		s.instances = assumedInstances
	}
	s.limits = target.FleetFacts{
		Instances: max(n.largestFleet.Observe(n.timers.Now(), len(instances)), s.instances), Listed: s.instances,
	}
	for k := range instances {
		if instances[k].Name == n.settings.Name {
			s.limits.Position, s.index = float64(k)/float64(len(instances)), k
		}
	}
	if table := n.configuration.Current(); table != nil {
		for _, r := range table.Routes() {
			if r.Gather == nil {
				continue
			}
			gatherers, self := n.handover.Gatherers(r)
			s.selfGathers = s.selfGathers || self
			for _, service := range r.Gather.Shards {
				s.gatherers[service] = max(s.gatherers[service], gatherers)
			}
		}
	}
	n.fleetSize.Store(s)
	n.updateDivisors(s.instances)
}

// connectionLimit returns the maximum number of connections from this instance to each target of a service.
func (n *Node) connectionLimit(service string) int {
	limit, _ := n.connectionQuota(service)

	return limit
}

// connectionQuota returns the maximum number of connections from this instance to each target of a service, and whether it may
// keep one of them open while it is idle.
func (n *Node) connectionQuota(service string) (limit int, keepIdle bool) {
	table, s := n.configuration.Current(), n.fleetSize.Load()
	if table == nil {
		return 1, false
	}
	description, ok := table.Service(service)
	if !ok || description.MaxConnections <= 0 {
		return 1, true
	}
	holders := s.instances + gathererHeadroom
	if gatherers := s.gatherers[service]; gatherers > 0 {
		holders = gatherers + gathererHeadroom
	}

	return placement.Connections(description.MaxConnections, holders)
}

// wantsIdleConnections reports whether this instance should keep idle connections to the targets of a service, because it is likely
// to gather parts from them.
func (n *Node) wantsIdleConnections(service string) bool {
	s := n.fleetSize.Load()
	_, keepIdle := n.connectionQuota(service)

	return keepIdle && s.selfGathers && s.gatherers[service] > 0 && !n.stopping.Load()
}

// extraRequestLimits returns the limits for extra requests (hedges and retries) from this instance to a service. Gatherers send
// nearly all requests for shards, so they get most of the allowance.
func (n *Node) extraRequestLimits(service string) budget.Limits {
	s := n.fleetSize.Load()
	share := 1 / float64(s.instances+instanceHeadroom)
	if gatherers := s.gatherers[service]; gatherers > 0 {
		share *= 1 - gathererAllowanceFraction
		if s.selfGathers {
			share += gathererAllowanceFraction / float64(gatherers+gathererHeadroom)
		}
	}

	settings := n.reloaded.Load()

	return budget.Limits{
		Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: settings.RetryWindow, Share: share,
	}
}

// register keeps this instance registered in the store until its graceful stop begins.
func (n *Node) register(ctx context.Context) error {
	registerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.stopStarted:
			cancel()
		case <-registerCtx.Done():
		}
	}()
	err := n.members.Register(registerCtx)
	select {
	case <-n.stopStarted:
		// If register returned now, the supervisor would restart it and register the instance again.
		<-ctx.Done()
	default:
	}

	return err
}

// prepareGather converts a peer's request into a query on the configuration in force. If it cannot, declined is the reason that is
// sent to the peer. The version is that of the configuration in force, 0 if none is known.
func (n *Node) prepareGather(r *peer.GatherRequest) (q *dispatch.Query, declined string, version uint64) {
	table := n.configuration.Current()
	if table == nil {
		return nil, peer.OtherVersion, 0
	}
	version = table.Version()
	if declined = n.declines(table, r.Version); declined != "" {
		return nil, declined, version
	}
	for _, matched := range table.Routes() {
		if matched.Name != r.Route || matched.Gather == nil {
			continue
		}
		for _, shard := range r.Shards {
			if !slices.Contains(matched.Gather.Shards, shard) {
				return nil, peer.OtherVersion, version
			}
		}
		// The route binds queries from versions that do not know regions, too.
		scope := matched.ScopeOf(nil).Intersect(r.Scope)
		if !scope.Allows(n.settings.Regions[n.settings.AvailabilityZone]) {
			return nil, peer.OutsideRegions, version
		}
		now := n.timers.Now()

		return &dispatch.Query{
			Account: r.Account, Scope: scope, Priority: priorityOf(r, matched),
			Route: matched, Version: version, RequestID: r.RequestID, Method: r.Method, Head: r.Head,
			Deadline: now.Add(r.Left), Received: now, Elapsed: r.Elapsed, MaybeSent: r.Extra, Shards: r.Shards,
		}, "", version
	}

	return nil, peer.OtherVersion, version
}

// declines returns the reason for which a query of a peer, for a version of the configuration, is declined, empty if there is none.
func (n *Node) declines(table *route.Table, version uint64) string {
	switch {
	case n.stopping.Load():
		return peer.Stopping
	case !n.targetsKnown.Load():
		return peer.NotReady
	case n.targetPool.Reachability() != reachability.Reachable:
		return peer.Unreachable
	case version != table.Version():
		n.configuration.RefreshIfOlder(version)

		return peer.OtherVersion
	default:
		return ""
	}
}

// prepareForward converts a peer's request to send a query to one target, as prepareGather does.
func (n *Node) prepareForward(r *peer.ForwardRequest) (q *dispatch.Query, declined string, version uint64) {
	table := n.configuration.Current()
	if table == nil {
		return nil, peer.OtherVersion, 0
	}
	version = table.Version()
	if declined = n.declines(table, r.Version); declined != "" {
		return nil, declined, version
	}
	for _, matched := range table.Routes() {
		if matched.Name != r.Route || matched.Gather != nil {
			continue
		}
		if r.Service != "" && !slices.Contains(matched.Services(), r.Service) {
			return nil, peer.OtherVersion, version
		}
		scope := matched.ScopeOf(nil).Intersect(r.Scope())
		if !scope.Allows(n.settings.Regions[n.settings.AvailabilityZone]) {
			return nil, peer.OutsideRegions, version
		}
		verdict := admission.Decide(admission.Facts{
			InFlight: n.handler.InFlight() + n.peerServer.Active() - 1, Limit: n.handler.Limit(), Priority: r.Priority,
		})
		if !verdict.Admit {
			return nil, verdict.Reason, version
		}
		now := n.timers.Now()

		return &dispatch.Query{
			Account: r.Account, Scope: scope, Priority: r.Priority, Service: r.Service, Tried: r.Tried, MaybeSent: r.Extra,
			Route: matched, Version: version, RequestID: r.RequestID, Method: r.Method, Head: r.Head,
			Deadline: now.Add(r.Left), Received: now, Elapsed: r.Elapsed,
		}, "", version
	}

	return nil, peer.OtherVersion, version
}

// priorityOf returns the priority of a query from a peer. Only the requests for queries that are bound to regions carry it.
func priorityOf(r *peer.GatherRequest, matched *route.Route) int {
	if r.Scope.IsRestricted() {
		return r.Priority
	}

	return matched.Priority
}

// handleNotice processes a notice from the leader.
func (n *Node) handleNotice(notice control.Notice) {
	n.members.HandleNotice(notice)
	n.configuration.RefreshIfOlder(notice.Version)
}

// broadcastNotice sends a notice from this instance, the leader, to the other instances that do not follow it.
func (n *Node) broadcastNotice(ctx context.Context, notice control.Notice) {
	to := slices.DeleteFunc(n.members.View().Instances, func(i control.Instance) bool { return n.members.Feed().Follows(i.Name) })
	n.broadcast(to, func(i *control.Instance) error { return n.peerClient.Notice(ctx, i.Peer, notice) })
}

// sendSuspects sends what this instance has observed of queries that seem to crash targets to other instances.
func (n *Node) sendSuspects(ctx context.Context, to []control.Instance, records []suspect.Record) {
	n.broadcast(to, func(i *control.Instance) error { return n.peerClient.Suspects(ctx, i.Peer, records) })
}

// broadcast sends a message to other instances, to some of them at a time.
func (n *Node) broadcast(to []control.Instance, send func(i *control.Instance) error) {
	slots := make(chan struct{}, maxConcurrentNotices)
	var pending sync.WaitGroup
	for _, i := range to {
		if i.Name == n.settings.Name {
			continue
		}
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			if err := send(&i); err != nil {
				n.log.Log(event.NoticeFailed, "Instance", i.Name, "Error", err)
			}
		})
	}
	pending.Wait()
}
