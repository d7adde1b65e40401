package node

import (
	"context"
	"slices"
	"sync"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// assumedInstances is the size of the fleet while it is not known: the users' small sites with their spare machines.
	assumedInstances = 11
	// spareGatherers is the number of gatherers that may be added before the connections are shared anew.
	spareGatherers = 1
	// maxNotices bounds the notices that are sent at a time.
	maxNotices = 32
	// spareInstances is the number of instances that may start before the allowance is shared anew.
	spareInstances = 3
	// gathererAllowance is the part of the allowance of a shard's service that its gatherers share.
	gathererAllowance = 0.8
)

// shares says among how many instances the connections to targets and the extra requests are shared.
type shares struct {
	instances int
	// gatherers holds the number of gatherers of each shard's service.
	gatherers map[string]int
	// strong is set if this instance is likely to gather for others.
	strong bool
}

// adopt takes a directory of targets.
func (n *Node) adopt(d *directory.Directory) {
	n.fleet.Update(d)
	n.handover.SetDirectory(d)
	n.share()
	n.listed.Store(true)
}

// adoptTable takes a configuration.
func (n *Node) adoptTable(t *route.Table) {
	n.dispatcher.Keep(t)
	n.share()
}

// setView takes what is known of the other instances.
func (n *Node) setView(v control.View) {
	n.handover.SetView(v)
	n.share()
}

// share works out the shares anew.
func (n *Node) share() {
	s := &shares{instances: max(len(n.members.View().Instances), 1), gatherers: make(map[string]int)}
	if s.instances == 1 {
		// Others may be serving that this instance does not know yet.
		s.instances = assumedInstances
	}
	if table := n.configuration.Current(); table != nil {
		for _, r := range table.Routes() {
			if r.Gather == nil {
				continue
			}
			gatherers, self := n.handover.Gatherers(r)
			s.strong = s.strong || self
			for _, service := range r.Gather.Shards {
				s.gatherers[service] = max(s.gatherers[service], gatherers)
			}
		}
	}
	n.shares.Store(s)
}

// connections returns how many connections this instance may hold to each target of a service.
func (n *Node) connections(service string) int {
	connections, _ := n.connectionShare(service)

	return connections
}

// connectionShare returns this instance's share of the connections of each target of a service, and whether it may keep one open.
func (n *Node) connectionShare(service string) (connections int, keep bool) {
	table, s := n.configuration.Current(), n.shares.Load()
	if table == nil {
		return 1, false
	}
	described, ok := table.Service(service)
	if !ok || described.MaxConnections <= 0 {
		return 1, true
	}
	holders := s.instances + spareGatherers
	if gatherers := s.gatherers[service]; gatherers > 0 {
		holders = gatherers + spareGatherers
	}

	return placement.Connections(described.MaxConnections, holders)
}

// gathers reports whether this instance is likely to gather parts of a service and may keep connections for it.
func (n *Node) gathers(service string) bool {
	s := n.shares.Load()
	_, keep := n.connectionShare(service)

	return keep && s.strong && s.gatherers[service] > 0 && !n.stopping.Load()
}

// budget returns the bounds for extra requests to a service. Gatherers send nearly all requests for shards, so most of the
// allowance is theirs.
func (n *Node) budget(service string) budget.Limits {
	s := n.shares.Load()
	share := 1 / float64(s.instances+spareInstances)
	if gatherers := s.gatherers[service]; gatherers > 0 {
		share *= 1 - gathererAllowance
		if s.strong {
			share += gathererAllowance / float64(gatherers+spareGatherers)
		}
	}

	bounds := n.bounds.Load()

	return budget.Limits{
		Ratio: bounds.RetryRatio, Allowance: bounds.RetryAllowance, Window: bounds.RetryWindow, Share: share,
	}
}

// register keeps this instance registered until it stops.
func (n *Node) register(ctx context.Context) error {
	registered, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.stopBegan:
			cancel()
		case <-registered.Done():
		}
	}()
	err := n.members.Register(registered)
	select {
	case <-n.stopBegan:
		// A supervisor would start the registration again.
		<-ctx.Done()
	default:
	}

	return err
}

// prepare turns a peer's request into a query of the configuration in force.
func (n *Node) prepare(r *peer.GatherRequest) (q *dispatch.Query, declined string, version uint64) {
	table := n.configuration.Current()
	if table == nil {
		return nil, peer.OtherVersion, 0
	}
	version = table.Version()
	if n.stopping.Load() {
		return nil, peer.Stopping, version
	}
	if !n.listed.Load() {
		return nil, peer.NotReady, version
	}
	if version != r.Version {
		if r.Version > version {
			n.configuration.Refresh()
		}

		return nil, peer.OtherVersion, version
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
		now := n.timers.Now()

		return &dispatch.Query{
			Route: matched, Version: version, RequestID: r.RequestID, Method: r.Method, Head: r.Head,
			Deadline: now.Add(r.Left), Received: now, Elapsed: r.Elapsed, Extra: r.Extra, Shards: r.Shards,
		}, "", version
	}

	return nil, peer.OtherVersion, version
}

// noticed takes a notice of the leader.
func (n *Node) noticed(notice control.Notice) {
	n.members.Noticed(notice)
	n.configuration.Behind(notice.Version)
}

// notify sends a notice of this instance, which leads, to all others.
func (n *Node) notify(ctx context.Context, notice control.Notice) {
	slots := make(chan struct{}, maxNotices)
	var sending sync.WaitGroup
	for _, i := range n.members.View().Instances {
		if i.Name == n.settings.Name {
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			if err := n.peers.Notice(ctx, i.Peer, notice); err != nil {
				n.log.Log(event.NoticeFailed, "Instance", i.Name, "Error", err)
			}
		})
	}
	sending.Wait()
}
