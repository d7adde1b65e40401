// Package handover gathers queries at the instance with the lowest estimated cost: this instance, or a peer that is closer to the
// replicas or has more processor time and bandwidth.
//
// The placement decision selects the peer. If the peer does not accept the query in time, declines it, or fails while it gathers,
// it is not selected again for a while, the query is sent to the next peer, and finally this instance gathers it:
//
//	answer := h.Gather(ctx, query)
package handover

import (
	"context"
	"errors"
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/placement"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// maxPeers is the number of peers that a query is sent to before this instance gathers it. The objectives leave no time for a
	// third peer.
	maxPeers = 2
	// partBytes is the assumed size of a part with its headers on the wire. It lies between the sizes of the users' two kinds of
	// queries.
	partBytes = 700
	// nearBound and farBound are the times within which a peer has to accept a query, in the own region and in another one. They
	// cover the two round trips that a new connection needs, of 24 ms each between regions, and the delay of slow processors.
	nearBound = 35 * time.Millisecond
	farBound  = 85 * time.Millisecond
	// nearHop and farHop are the time that the query takes to a peer and the answer takes back, in the own region and in another
	// one, with the delay of slow processors. The peer counts it as time that the caller has waited.
	nearHop = choice.ZoneDelay + time.Millisecond
	farHop  = choice.RegionDelay + 4*time.Millisecond
	// deadlineHop is subtracted from the time that a peer may take, so that its answer arrives before the deadline.
	deadlineHop = 15 * time.Millisecond
	// firstPause and longestPause bound the time for which a peer is excluded after a failure. It doubles with each consecutive
	// failure.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// jitterRange bounds the jitter. The jitter makes instances choose different peers among peers of equal cost.
	jitterRange = 3 * time.Millisecond
	// maxSpreads bounds the routes for which the locations of replicas are cached.
	maxSpreads = 256
	// activeAge is the age up to which the number of queries that a peer reported is used.
	activeAge = 300 * time.Millisecond
)

// Handover selects the instance that gathers a query and sends the query to it. It is safe for concurrent use.
type Handover struct {
	self    control.Instance
	place   choice.Place
	client  *peer.Client
	timers  *timer.Service
	log     *event.Log
	gather  func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	newer   func(version uint64)
	changed func(mirror uint64)

	mu        sync.Mutex
	view      control.View
	directory *directory.Directory
	peers     map[string]*state
	spreads   map[*route.Route]*spread
	turn      uint32
	own       int // number of queries of its own callers that this instance gathers
}

// state is the load and health of a peer, as observed by this instance.
type state struct {
	outstanding int // calls to the peer that have not ended
	active      int // queries that the peer gathered, as reported at activeAt
	activeAt    time.Time
	failures    int       // consecutive failures
	until       time.Time // the peer is excluded until then
}

// spread counts the shards of a route that have a replica in each availability zone and each region.
type spread struct {
	zones   map[string]int
	regions map[string]int
}

// Option configures a Handover.
type Option func(*Handover)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(h *Handover) { h.log = log }
}

// OnNewer sets the function that is called when a peer declines a query because a newer version of the configuration is in force
// there.
func OnNewer(newer func(version uint64)) Option {
	return func(h *Handover) { h.newer = newer }
}

// OnChanged sets the function that is called after each call to a peer, with the newest revision of the targets' mirror that the
// peer knows, or 0 if the peer did not answer.
func OnChanged(changed func(mirror uint64)) Option {
	return func(h *Handover) { h.changed = changed }
}

// New returns a Handover for the instance self. gather is the function that gathers a query at this instance.
func New(
	self control.Instance, place choice.Place, client *peer.Client, timers *timer.Service,
	gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer, options ...Option,
) *Handover {
	h := &Handover{
		self: self, place: place, client: client, timers: timers, gather: gather, newer: func(uint64) {}, changed: func(uint64) {},
		directory: directory.New(nil),
		peers:     make(map[string]*state),
		spreads:   make(map[*route.Route]*spread),
	}
	for _, option := range options {
		option(h)
	}

	return h
}

// SetView sets the known instances. A view that is not up to date does not replace a list of instances. The state of instances that
// are gone is dropped, and connections to them are closed.
func (h *Handover) SetView(view control.View) {
	addresses := make(map[netip.AddrPort]bool)
	h.mu.Lock()
	if view.Known || len(h.view.Instances) == 0 {
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
	h.client.Keep(func(address netip.AddrPort) bool { return addresses[address] })
}

// SetDirectory sets the known targets.
func (h *Handover) SetDirectory(d *directory.Directory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory = d
	clear(h.spreads)
}

// Gather gathers a query at the selected peer, or at this instance if no peer costs less or those that were tried failed.
func (h *Handover) Gather(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	var tried []string
	for range maxPeers {
		instance, verdict := h.choose(q, tried)
		if instance == nil {
			break
		}
		tried = append(tried, instance.Name)
		reply, err := h.hand(ctx, q, instance, nil, nil)
		if err == nil {
			reply.Answer.Gatherer = instance.Name

			return reply.Answer
		}
		if ctx.Err() != nil {
			return dispatch.Answer{Status: dispatch.Abandoned, Reason: "CallerLeft", Gatherer: instance.Name}
		}
		h.log.Log(event.GathererFailed, "Request", q.RequestID, "Gatherer", instance.Name, "Error", err,
			"Cost", verdict.Cost, "OwnCost", verdict.OwnCost)
		q.Extra = q.Extra || mayHaveRun(err)
	}
	h.mu.Lock()
	h.own++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.own--
		h.mu.Unlock()
	}()

	return h.gather(ctx, q)
}

// mayHaveRun reports whether a peer that failed may have sent the query to targets.
func mayHaveRun(err error) bool {
	return errors.Is(err, peer.ErrLost) || errors.Is(err, peer.ErrNotAccepted)
}

// choose returns the peer that gathers the query, or nil for this instance. Peers in tried are excluded.
func (h *Handover) choose(q *dispatch.Query, tried []string) (*control.Instance, placement.Verdict) {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.spread(q.Route)
	own := h.candidate(&h.self, s)
	own.Active = h.own
	candidates := make([]placement.Candidate, 0, len(h.view.Instances))
	instances := make([]*control.Instance, 0, len(h.view.Instances))
	for k := range h.view.Instances {
		i := &h.view.Instances[k]
		if i.Name == h.self.Name {
			continue
		}
		c := h.candidate(i, s)
		if p := h.peers[i.Name]; p != nil {
			c.Active = p.load(now)
			c.Excluded = now.Before(p.until)
		}
		for _, name := range tried {
			c.Excluded = c.Excluded || name == i.Name
		}
		candidates, instances = append(candidates, c), append(instances, i)
	}
	query := placement.Query{Shards: len(q.Route.Gather.Shards), PartBytes: partBytes}
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
func (h *Handover) candidate(i *control.Instance, s *spread) placement.Candidate {
	return placement.Candidate{
		AvailabilityZone: i.AvailabilityZone,
		Processor:        i.Processor,
		LinkBits:         i.LinkBits,
		LocalShards:      s.zones[i.AvailabilityZone],
		RegionShards:     s.regions[h.place.Regions[i.AvailabilityZone]],
	}
}

// spread returns the locations of the replicas of a route's shards. Draining targets are not counted. The caller must hold h.mu.
func (h *Handover) spread(r *route.Route) *spread {
	if s := h.spreads[r]; s != nil {
		return s
	}
	if len(h.spreads) >= maxSpreads {
		// The cache may hold routes of earlier configurations.
		clear(h.spreads)
	}
	s := &spread{zones: make(map[string]int), regions: make(map[string]int)}
	for _, service := range r.Gather.Shards {
		zones, regions := make(map[string]bool), make(map[string]bool)
		for _, t := range h.directory.Service(service) {
			if !t.Draining {
				zones[t.AvailabilityZone] = true
				regions[h.place.Regions[t.AvailabilityZone]] = true
			}
		}
		for z := range zones {
			s.zones[z]++
		}
		for region := range regions {
			s.regions[region]++
		}
	}
	h.spreads[r] = s

	return s
}

// Gatherers returns the number of instances, including this one, that are likely to gather the queries of a route, and whether this
// instance is one of them.
func (h *Handover) Gatherers(r *route.Route) (n int, self bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.spread(r)
	candidates := make([]placement.Candidate, 0, len(h.view.Instances))
	for k := range h.view.Instances {
		candidates = append(candidates, h.candidate(&h.view.Instances[k], s))
	}

	return placement.Gatherers(candidates, h.candidate(&h.self, s))
}

// hand sends the query to a peer that gathers it, or the given shards of it, and returns the reply of the peer.
func (h *Handover) hand(
	ctx context.Context, q *dispatch.Query, i *control.Instance, shards []string, early func(dispatch.Answer),
) (reply peer.Reply, err error) {
	now := h.timers.Now()
	bound, hop := nearBound, nearHop
	if h.place.Distance(i.AvailabilityZone) == choice.OtherRegion {
		bound, hop = farBound, farHop
	}
	request := &peer.GatherRequest{
		RequestID: q.RequestID,
		Route:     q.Route.Name,
		Version:   q.Version,
		Method:    q.Method,
		Head:      q.Head,
		Left:      q.Deadline.Sub(now) - deadlineHop,
		Elapsed:   q.Elapsed + now.Sub(q.Received) + hop,
		Extra:     q.Extra,
		Shards:    shards,
	}
	if request.Left <= 0 {
		return reply, peer.ErrDeclined
	}
	h.begin(i.Name)
	defer func() { h.end(i.Name, &reply, err, ctx.Err() != nil) }()
	callCtx, cancel := h.timers.WithTimeout(ctx, q.Deadline.Sub(now))
	defer cancel()

	reply, err = h.client.Gather(callCtx, i.Peer, request, bound, early)
	h.changed(reply.Accepted.Mirror)
	if errors.Is(err, peer.ErrDeclined) && reply.Accepted.Version > q.Version {
		h.newer(reply.Accepted.Version)
	}

	return reply, err
}

// begin records that a call to a peer has started.
func (h *Handover) begin(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[name]
	if p == nil {
		p = &state{}
		h.peers[name] = p
	}
	p.outstanding++
}

// end records the load that a peer reported, or excludes the peer for a while if the call failed.
func (h *Handover) end(name string, reply *peer.Reply, err error, abandoned bool) {
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
	case errors.Is(err, peer.ErrDeclined) && reply.Accepted.Declined != peer.Stopping:
		p.until = now.Add(firstPause)
	default:
		p.until = now.Add(min(firstPause<<min(p.failures, 10), longestPause))
		p.failures++
	}
}

// jitter returns a delay below jitterRange that depends only on the pair of instances.
func jitter(from, to string) time.Duration {
	f := fnv.New32a()
	_, _ = f.Write([]byte(from + "/" + to))

	return time.Duration(f.Sum32()) * jitterRange / (1 << 32)
}
