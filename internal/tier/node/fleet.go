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
	// assumedInstances is the fleet size assumed while no other instance is known. It is the size of the users' small sites,
	// spare machines included.
	assumedInstances = 11
	// spareGatherers is the number of gatherers that can join the fleet before the connection limits are recalculated.
	spareGatherers = 1
	// maxNotices limits the number of notices that are sent concurrently.
	maxNotices = 32
	// spareInstances is the number of instances that can start before the retry allowance is divided again.
	spareInstances = 3
	// gathererAllowance is the fraction of the retry allowance of a shard's service that is divided among its gatherers.
	gathererAllowance = 0.8
)

// shares holds the instance counts by which the connections to targets and the extra requests are divided. A gatherer is an
// instance that fans a query out to all shards and merges their parts.
type shares struct {
	instances int
	// gatherers is the number of gatherers by the service of a shard.
	gatherers map[string]int
	// strong is set if this instance is likely to gather queries for other instances.
	strong bool
}

// adopt passes a new directory of targets to the components that use it.
func (n *Node) adopt(d *directory.Directory) {
	n.fleet.Update(d)
	n.handover.SetDirectory(d)
	n.share()
	n.listed.Store(true)
}

// adoptTable updates the components that depend on the configuration in force.
func (n *Node) adoptTable(t *route.Table) {
	n.dispatcher.Keep(t)
	n.share()
}

// setView updates the components that depend on the other instances.
func (n *Node) setView(v control.View) {
	n.handover.SetView(v)
	n.share()
}

// share recounts the instances and gatherers.
func (n *Node) share() {
	s := &shares{instances: max(len(n.members.View().Instances), 1), gatherers: make(map[string]int)}
	if s.instances == 1 {
		// Other instances may be serving that this one has not discovered yet.
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

// connections returns the maximum number of connections from this instance to each target of a service.
func (n *Node) connections(service string) int {
	connections, _ := n.connectionShare(service)

	return connections
}

// connectionShare returns the maximum number of connections from this instance to each target of a service, and whether it may
// keep one of them open while it is idle.
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

// gathers reports whether this instance should keep idle connections to the targets of a service, because it is likely to gather
// parts from them.
func (n *Node) gathers(service string) bool {
	s := n.shares.Load()
	_, keep := n.connectionShare(service)

	return keep && s.strong && s.gatherers[service] > 0 && !n.stopping.Load()
}

// budget returns the limits for extra requests (hedges and retries) from this instance to a service. Gatherers send nearly all
// requests for shards, so they get most of the allowance.
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

// register keeps this instance registered in the store until its graceful stop begins.
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
		// If register returned now, the supervisor would restart it and register the instance again.
		<-ctx.Done()
	default:
	}

	return err
}

// prepare converts a peer's request into a query on the configuration in force. If it cannot, declined is the reason that is sent
// to the peer. The version is that of the configuration in force, 0 if none is known.
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

// noticed processes a notice from the leader.
func (n *Node) noticed(notice control.Notice) {
	n.members.Noticed(notice)
	n.configuration.Behind(notice.Version)
}

// notify sends a notice from this instance, the leader, to all other instances.
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
