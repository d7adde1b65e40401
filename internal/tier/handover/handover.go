// Package handover gathers queries at the instance with the lowest estimated cost: this instance, or a peer that is closer to the
// replicas or has more processor time and bandwidth.
//
// The placement decision selects the peer. If the peer does not accept the query in time, declines it, or fails while it gathers,
// it is not selected again for a while, the query is sent to the next peer, and finally this instance gathers it:
//
//	answer := h.Gather(ctx, query)
//
// While this instance has no connectivity to the targets, peers gather all its queries, and forward those for one target.
package handover

import (
	"context"
	"errors"
	"hash/fnv"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// maxUnreachableAttempts replaces maxPeerAttempts while this instance has no connectivity to the targets. Most of such attempts are declined within
	// a round trip, because the peer has none either.
	maxUnreachableAttempts = 8
	// unreachableExclusion is the time for which a peer is not asked again after it has declined a query because it has no connectivity to the targets.
	unreachableExclusion = time.Second
	// maxPeerAttempts is the number of peers that a query is sent to before this instance gathers it. The objectives leave no time
	// for a third peer.
	maxPeerAttempts = 2
	// partBytes is the assumed size of a part with its headers on the wire. It lies between the sizes of the users' two kinds of
	// queries.
	partBytes = 700
	// acceptRoundTrips and acceptMargin bound the wait until a peer accepts a query: the round trips that a new connection needs,
	// and the delay at small instances.
	acceptRoundTrips = 2
	acceptMargin     = 35 * time.Millisecond
	// sameRegionDelay and otherRegionDelay are the delays at small instances that are added to the round-trip time. The sum is added
	// to the time that the caller has waited, which is sent with the query, so that the peer answers early enough.
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 4 * time.Millisecond
	// answerMargin is subtracted from the time that a peer may take, so that its answer arrives before the deadline.
	answerMargin = 15 * time.Millisecond
	// minExclusion and maxExclusion bound the time for which a peer is excluded after a failure. It doubles with each consecutive
	// failure.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 4 * time.Second
	// jitterRange bounds the jitter. The jitter makes instances choose different peers among peers of equal cost.
	jitterRange = 3 * time.Millisecond
	// maxShardCounts is the maximum number of routes for which shardCounts are cached.
	maxShardCounts = 256
	// maxReportAge is the age up to which the number of active queries that a peer reported is used.
	maxReportAge = 300 * time.Millisecond
)

// Handover selects the instance that gathers a query and hands the query over to it. It is safe for concurrent use.
type Handover struct {
	self                 control.Instance
	place                choice.Place
	client               *peer.Client
	timers               *timer.Service
	log                  *event.Log
	gather               func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	forward              func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	reachability         func() reachability.State
	onNewerConfiguration func(version uint64)
	onMirrorRevision     func(mirror uint64)

	mu            sync.Mutex
	view          control.View
	directory     *directory.Directory
	peers         map[string]*peerState
	shardCounts   map[*route.Route]*shardCounts
	groupSequence uint32
	ownActive     int // number of queries that this instance gathers for its own callers
}

// peerState is the load and health of a peer, as observed by this instance.
type peerState struct {
	outstanding   int // calls to the peer that have not ended
	active        int // queries that the peer gathered, as reported at activeAt
	activeAt      time.Time
	failures      int       // consecutive failures
	excludedUntil time.Time // the peer is excluded until then
	// scopedExcludedUntil is the time until which the peer is excluded for queries that are bound to regions, which its version does not
	// know.
	scopedExcludedUntil time.Time
	// forwardExcludedUntil is the time until which the peer is excluded for queries for one target, because its version does not know the call.
	forwardExcludedUntil time.Time
}

// shardCounts counts the shards of a route that have a replica in each availability zone and each region.
type shardCounts struct {
	byZone   map[string]int
	byRegion map[string]int
}

// Option configures a Handover.
type Option func(*Handover)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(h *Handover) { h.log = log }
}

// OnNewerConfiguration sets the function that is called when a peer declines a query because a newer version of the configuration
// is in force there.
func OnNewerConfiguration(newer func(version uint64)) Option {
	return func(h *Handover) { h.onNewerConfiguration = newer }
}

// OnMirrorRevision sets the function that is called after each call to a peer, with the newest revision of the targets' mirror that
// the peer knows, or 0 if the peer did not answer.
func OnMirrorRevision(received func(mirror uint64)) Option {
	return func(h *Handover) { h.onMirrorRevision = received }
}

// New returns a Handover for the instance self. gather is the function that gathers a query at this instance.
func New(
	self control.Instance, place choice.Place, client *peer.Client, timers *timer.Service,
	gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer, options ...Option,
) *Handover {
	if place.RoundTrips == nil {
		place.RoundTrips = choice.NewRoundTrips()
	}
	h := &Handover{
		self: self, place: place, client: client, timers: timers, gather: gather,
		reachability:         func() reachability.State { return reachability.Reachable },
		onNewerConfiguration: func(uint64) {},
		onMirrorRevision:     func(uint64) {},
		directory:            directory.New(nil),
		peers:                make(map[string]*peerState),
		shardCounts:          make(map[*route.Route]*shardCounts),
	}
	for _, option := range options {
		option(h)
	}

	return h
}

// SetInstances sets the known instances and evacuated zones. The instances of a view that may be out of date are ignored, unless none are
// known yet. The state of instances that are gone is dropped, and connections to them are closed.
func (h *Handover) SetInstances(view control.View) {
	addresses := make(map[netip.AddrPort]bool)
	h.mu.Lock()
	if !slices.Equal(view.Evacuated, h.view.Evacuated) {
		clear(h.shardCounts)
	}
	// The evacuated zones of a view are never older than those of the one before.
	h.view.Evacuated = view.Evacuated
	if view.UpToDate || len(h.view.Instances) == 0 {
		h.view = view
		names := make(map[string]bool)
		for _, i := range view.Instances {
			names[i.Name] = true
		}
		for name := range h.peers {
			if !names[name] {
				delete(h.peers, name)
			}
		}
	}
	for _, i := range h.view.Instances {
		addresses[i.Peer] = true
	}
	h.mu.Unlock()
	h.client.RetainIdle(func(address netip.AddrPort) bool { return addresses[address] })
}

// SetDirectory sets the known targets.
func (h *Handover) SetDirectory(d *directory.Directory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory = d
	clear(h.shardCounts)
}

// Gather gathers a query at the selected peer, or at this instance if no peer costs less or those that were tried failed. It sets
// q.MaybeSent if a peer that failed may have sent the query to targets. While this instance has no connectivity to the targets, it asks more peers, and
// gathers the query itself only over connections that still work.
func (h *Handover) Gather(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	var tried []string
	if answer, ok := h.gatherAtPeers(ctx, q, &tried); ok {
		return answer
	}
	if h.reachability() == reachability.Unreachable {
		return h.refuseUnreachable(q)
	}
	answer := h.gatherHere(ctx, q)
	if !isUnanswered(&answer) {
		return answer
	}
	q.MaybeSent = q.MaybeSent || answer.Status != dispatch.NotRun
	if later, ok := h.gatherAtPeers(ctx, q, &tried); ok {
		return later
	}
	answer.TurnIn = unreachableRetry

	return answer
}

// gatherAtPeers has the selected peers gather a query, one after the other. It reports whether the query has ended. The names of the peers are
// added to tried.
func (h *Handover) gatherAtPeers(ctx context.Context, q *dispatch.Query, tried *[]string) (answer dispatch.Answer, ended bool) {
	if !peer.CanCarry(q) || !h.canServe(q) {
		return answer, false
	}
	failures := 0
	for len(*tried) < maxUnreachableAttempts && failures < h.maxFailures() {
		instance, verdict := h.choosePeer(q, *tried)
		if instance == nil {
			break
		}
		*tried = append(*tried, instance.Name)
		reply, err := h.gatherAt(ctx, q, instance, nil, nil)
		if err == nil {
			reply.Answer.Gatherer = instance.Name

			return reply.Answer, true
		}
		if ctx.Err() != nil {
			return dispatch.Answer{Status: dispatch.Abandoned, Reason: "CallerLeft", Gatherer: instance.Name}, true
		}
		h.log.Log(event.GathererFailed, "Request", q.RequestID, "Gatherer", instance.Name, "Error", err,
			"Cost", verdict.Cost, "OwnCost", verdict.OwnCost)
		q.MaybeSent = q.MaybeSent || mayHaveRun(err)
		if !errors.Is(err, peer.ErrUnreachable) {
			failures++
		}
	}

	return answer, false
}

// gatherHere gathers a query at this instance.
func (h *Handover) gatherHere(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	h.mu.Lock()
	h.ownActive++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.ownActive--
		h.mu.Unlock()
	}()

	return h.gather(ctx, q)
}

// mayHaveRun reports whether a peer that failed may have sent the query to targets.
func mayHaveRun(err error) bool {
	return errors.Is(err, peer.ErrLost) || errors.Is(err, peer.ErrNotAccepted)
}

// choosePeer returns the peer that gathers the query, or nil for this instance. Peers in tried are excluded.
func (h *Handover) choosePeer(q *dispatch.Query, tried []string) (*control.Instance, placement.Verdict) {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.countShards(q.Route)
	own := h.candidate(&h.self, counts)
	own.Active, own.Unreachable = h.ownActive, h.reachability() != reachability.Reachable
	candidates := make([]placement.Candidate, 0, len(h.view.Instances))
	instances := make([]*control.Instance, 0, len(h.view.Instances))
	for k := range h.view.Instances {
		i := &h.view.Instances[k]
		if i.Name == h.self.Name {
			continue
		}
		c := h.candidate(i, counts)
		if p := h.peers[i.Name]; p != nil {
			c.Active = p.load(now)
			c.Excluded = p.excluded(q, now)
		}
		c.Excluded = c.Excluded || c.Unreachable && !own.Unreachable
		for _, name := range tried {
			c.Excluded = c.Excluded || name == i.Name
		}
		candidates, instances = append(candidates, c), append(instances, i)
	}
	query := placement.Query{Shards: len(h.shards(q.Route)), PartBytes: partBytes, Scope: q.Scope}
	verdict := placement.Choose(own, candidates, query, h.place, func(i int) time.Duration {
		return jitter(h.self.Name, instances[i].Name)
	})
	if verdict.Index < 0 {
		return nil, verdict
	}
	chosen := *instances[verdict.Index]

	return &chosen, verdict
}

// candidate returns the facts of an instance for the placement decision, apart from its load.
func (h *Handover) candidate(i *control.Instance, counts *shardCounts) placement.Candidate {
	return placement.Candidate{
		AvailabilityZone: i.AvailabilityZone,
		Processor:        i.Processor,
		LinkBits:         i.LinkBits,
		LocalShards:      counts.byZone[i.AvailabilityZone],
		RegionShards:     counts.byRegion[h.place.Regions[i.AvailabilityZone]],
		Unreachable:      i.Unreachable,
	}
}

// countShards returns the cached or new shardCounts of a route. Targets that accept no new requests are not counted. The caller must hold h.mu.
func (h *Handover) countShards(r *route.Route) *shardCounts {
	if counts := h.shardCounts[r]; counts != nil {
		return counts
	}
	if len(h.shardCounts) >= maxShardCounts {
		// The cache may hold routes of earlier configurations.
		clear(h.shardCounts)
	}
	counts := &shardCounts{byZone: make(map[string]int), byRegion: make(map[string]int)}
	for _, service := range h.shards(r) {
		zones, regions := make(map[string]bool), make(map[string]bool)
		for _, t := range h.directory.Service(service) {
			if h.accepts(t) {
				zones[t.AvailabilityZone] = true
				regions[h.place.Regions[t.AvailabilityZone]] = true
			}
		}
		for z := range zones {
			counts.byZone[z]++
		}
		for region := range regions {
			counts.byRegion[region]++
		}
	}
	h.shardCounts[r] = counts

	return counts
}

// accepts reports whether a target accepts new requests, as far as the directory and the operators say. The caller must hold h.mu.
func (h *Handover) accepts(t *directory.Target) bool {
	return !t.Draining && !slices.Contains(h.view.Evacuated, t.AvailabilityZone)
}

// Gatherers returns the number of known instances that are likely to gather the queries of a route, and whether this instance is
// one of them. If it is, the number includes it.
func (h *Handover) Gatherers(r *route.Route) (n int, self bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.countShards(r)
	candidates := make([]placement.Candidate, 0, len(h.view.Instances))
	for k := range h.view.Instances {
		candidates = append(candidates, h.candidate(&h.view.Instances[k], counts).Within(r.Regions, h.place))
	}

	return placement.Gatherers(candidates, h.candidate(&h.self, counts).Within(r.Regions, h.place))
}

// gatherAt sends the query to a peer and returns the peer's reply. The peer gathers the given shards, or all of them if shards is
// nil.
func (h *Handover) gatherAt(
	ctx context.Context, q *dispatch.Query, i *control.Instance, shards []string, early func(dispatch.Answer),
) (reply peer.Reply, err error) {
	now := h.timers.Now()
	roundTrip, acceptTimeout := h.times(i)
	request := &peer.GatherRequest{
		RequestID: q.RequestID,
		Route:     q.Route.Name,
		Version:   q.Version,
		Method:    q.Method,
		Head:      q.Head,
		Body:      q.Body,
		Left:      q.Deadline.Sub(now) - answerMargin,
		Elapsed:   q.Elapsed + now.Sub(q.Received) + roundTrip,
		Extra:     q.MaybeSent,
		Shards:    shards,
		Scope:     q.Scope,
		Account:   q.Account,
		Priority:  q.Priority,
	}
	if request.Left <= 0 {
		return reply, peer.ErrDeclined
	}
	h.beginCall(i.Name)
	defer func() { h.endCall(i.Name, &reply, err, false, ctx.Err() != nil) }()
	callCtx, cancel := h.timers.WithTimeout(ctx, q.Deadline.Sub(now))
	defer cancel()

	reply, err = h.client.Gather(callCtx, i.Peer, request, acceptTimeout, early)
	if err == nil && isUnanswered(&reply.Answer) {
		err = lostConnectivity(&reply.Answer)
	}
	h.observeReply(q, i, &reply, err)

	return reply, err
}

// beginCall records that a call to a peer has started.
func (h *Handover) beginCall(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[name]
	if p == nil {
		p = &peerState{}
		h.peers[name] = p
	}
	p.outstanding++
}

// endCall records the load that a peer reported, or excludes the peer for a while if the call failed.
func (h *Handover) endCall(name string, reply *peer.Reply, err error, forwarded, abandoned bool) {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[name]
	if p == nil {
		return
	}
	p.outstanding = max(p.outstanding-1, 0)
	switch {
	case err == nil:
		p.active, p.activeAt, p.failures = reply.Active, now, 0
	case abandoned:
		// A cancelled call says nothing about the peer.
	case errors.Is(err, peer.ErrUnknownCall) && forwarded:
		p.forwardExcludedUntil = now.Add(maxExclusion)
	case errors.Is(err, peer.ErrUnknownCall):
		p.scopedExcludedUntil = now.Add(maxExclusion)
	case errors.Is(err, peer.ErrUnreachable):
		p.excludedUntil = now.Add(unreachableExclusion)
	case errors.Is(err, peer.ErrDeclined) && reply.Accepted.Declined != peer.Stopping:
		p.excludedUntil = now.Add(minExclusion)
	default:
		p.excludedUntil = now.Add(min(minExclusion<<min(p.failures, 10), maxExclusion))
		p.failures++
	}
}

// jitter returns a delay below jitterRange that depends only on the pair of instances.
func jitter(from, to string) time.Duration {
	f := fnv.New32a()
	_, _ = f.Write([]byte(from + "/" + to))

	return time.Duration(f.Sum32()) * jitterRange / (1 << 32)
}
