// Package target sends requests to targets over HTTP/1.1 and records the latency, load and failure rate of each target.
//
// A Pool has one Link for each target in the directory. A Link owns the connections to its target, sends one request at a
// time on each connection, and distinguishes three outcomes of an attempt:
//
//	result := link.Send(call, cancel)
//	switch result.Outcome {
//	case target.Answered: // result has the complete response
//	case target.NotRun:   // the target did not execute the request and never will
//	case target.Unknown:  // the target may have executed the request
//	}
//
// A response that carries the ID of another request is discarded.
package target

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

// Error is the class of the errors of this package.
var Error = errs.Class("target")

const (
	// defaultDialTimeout is the time limit for opening a connection. A round trip between regions takes up to 24 ms, and a target
	// takes up to 6 ms to accept a new connection.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultConnections is the connection limit for each target without WithConnections, when the size of the fleet is not known.
	defaultConnections = 2
	// maxChangeLines is the maximum number of added and removed targets for which a directory update logs a line each.
	maxChangeLines = 40
	// maxWaiters is the maximum number of attempts that wait for a connection to one target.
	maxWaiters = 64
	// DefaultReplyBytes is the default of Call.MaxReplyBytes. Records of up to 18 kB are expected.
	DefaultReplyBytes = 4 << 20
	// PartReplyBytes is the limit for the part of one shard, of which a query has up to 216 in memory. Parts of up to 6 kB are
	// expected.
	PartReplyBytes = 128 << 10
	// defaultReplyMemory is the default of the memory for responses that are being read.
	defaultReplyMemory = 32 << 20
)

// Pool manages the links to all targets in the directory. It is safe for concurrent use.
type Pool struct {
	codec       Codec
	timers      *timer.Service
	log         *event.Log
	metrics     *metric.Set
	dialTimeout time.Duration
	replyMemory *replyMemory

	mu          sync.RWMutex
	links       map[string]*Link
	directory   *directory.Directory
	connections func(service string) int
	// departedLimits holds the rate limits of targets that have left the directory, by the ID of the target.
	departedLimits map[string]departedLimit
	// passedOnLimits are the rate limits that the leader passes on.
	passedOnLimits map[string]ratelimit.Limit
	fleet          func() FleetFacts
	// leavingMu guards leaving, the processes that have said that they leave. onLeaving is called after a new one was added.
	leavingMu sync.Mutex
	leaving   map[processKey]leavingProcess
	onLeaving func()
	// evacuated are the availability zones whose targets get no requests, and evacuatedZones the same under mu.
	evacuatedZones []string
	evacuated      atomic.Pointer[set.Set[string]]
	// cold limits the requests to cold targets, nil if they are not limited. returnedAt is when the evacuation of a zone has ended.
	cold       *ColdTargets
	returnedAt map[string]time.Time
	// limitedUntil is the time, as Unix nanoseconds, until which a rate limit that a target has named may be in force, or a target may want
	// no requests or be cold.
	limitedUntil atomic.Int64
	// reach is the connectivity to all targets. name distinguishes this instance from others.
	reach          *reach
	name           string
	onReachability func(reachability.State)
}

// Option configures a Pool.
type Option func(*Pool)

// WithLog sets the log for directory changes and for malformed or misdirected responses.
func WithLog(log *event.Log) Option {
	return func(p *Pool) { p.log = log }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *metric.Set) Option {
	return func(p *Pool) { p.metrics = metrics }
}

// WithDialTimeout sets the time limit for opening a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithConnections sets the function that returns the connection limit of this instance for each target of a service. A limit below
// 1 counts as 1.
func WithConnections(connections func(service string) int) Option {
	return func(p *Pool) { p.connections = connections }
}

// WithReplyMemory limits the size of all responses that are being read at the same time, in bytes. A response that would exceed it fails. As
// buffers grow, up to three times as much memory is in use.
func WithReplyMemory(limit int64) Option {
	return func(p *Pool) { p.replyMemory = newReplyMemory(limit) }
}

// WithFleet sets the function that returns the state of the fleet, which the requests to targets with a rate limit depend on.
func WithFleet(fleet func() FleetFacts) Option {
	return func(p *Pool) { p.fleet = fleet }
}

// WithName sets the name of this instance, by which the targets that it probes differ from those of others.
func WithName(name string) Option {
	return func(p *Pool) { p.name = name }
}

// OnLeaving sets the function that is called after a target has said for the first time that its process leaves.
func OnLeaving(leaving func()) Option {
	return func(p *Pool) { p.onLeaving = leaving }
}

// NewPool returns a Pool without targets.
func NewPool(codec Codec, timers *timer.Service, options ...Option) *Pool {
	p := &Pool{
		codec:       codec,
		timers:      timers,
		dialTimeout: defaultDialTimeout,
		replyMemory: newReplyMemory(defaultReplyMemory),
		links:       make(map[string]*Link),
		directory:   directory.New(nil),
		connections: func(string) int { return defaultConnections },

		departedLimits: make(map[string]departedLimit),
		fleet:          func() FleetFacts { return FleetFacts{Instances: 1, Listed: 1} },
		leaving:        make(map[processKey]leavingProcess),
		onLeaving:      func() {},
		returnedAt:     make(map[string]time.Time),
		reach:          newReach(),
		onReachability: func(reachability.State) {},
	}
	p.evacuated.Store(&set.Set[string]{})
	for _, option := range options {
		option(p)
	}

	return p
}

// SetEvacuated sets the availability zones whose targets get no requests any more. Requests in flight continue.
func (p *Pool) SetEvacuated(zones []string) {
	p.chillReturned(zones)
	evacuated := set.Of(zones...)
	p.evacuated.Store(&evacuated)
}

// Update makes d the current directory. It closes the links to targets that are no longer in it, that restarted, or whose address
// or service changed: they accept no new requests, while requests in flight continue.
func (p *Pool) Update(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.log
	if n := p.countChanges(d); n > maxChangeLines {
		// When an instance starts, all targets are new. A line for each would flood the log.
		p.log.Log(event.TargetsChanged, "Changes", n, "Targets", d.Len(), "Before", len(p.links))
		log = nil
	}
	for id, l := range p.links {
		t, ok := d.Target(id)
		if ok && t.Address == l.address && t.Service == l.service && t.Started.Equal(l.Target().Started) {
			if changed := l.update(t); changed {
				l.mu.Lock()
				p.chillIfReturned(l, p.timers.Now())
				l.mu.Unlock()
				log.Log(event.TargetChanged, "Target", id, "Service", t.Service, "Draining", t.Draining)
			}

			continue
		}
		delete(p.links, id)
		l.close()
		p.retainRateLimit(l)
		log.Log(event.TargetGone, "Target", id, "Service", l.service)
	}
	for t := range d.All {
		if _, ok := p.links[t.ID]; !ok {
			l := newLink(p, t)
			p.restoreRateLimit(l)
			l.mu.Lock()
			p.chillIfReturned(l, p.timers.Now())
			l.mu.Unlock()
			p.links[t.ID] = l
			log.Log(event.TargetFound, "Target", t.ID, "Service", t.Service, "Address", t.Address,
				"AvailabilityZone", t.AvailabilityZone, "Draining", t.Draining)
		}
	}
	p.directory = d
}

// countChanges returns how many targets d adds and removes. p.mu must be held.
func (p *Pool) countChanges(d *directory.Directory) int {
	n := 0
	for id := range p.links {
		if _, ok := d.Target(id); !ok {
			n++
		}
	}
	for t := range d.All {
		if _, ok := p.links[t.ID]; !ok {
			n++
		}
	}

	return n
}

// Links appends to buffer the links to those targets of a service that accept new requests, and returns the extended buffer.
func (p *Pool) Links(buffer []*Link, service string) []*Link {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.directory.Service(service) {
		if l := p.links[t.ID]; l != nil && l.usable() {
			buffer = append(buffer, l)
		}
	}

	return buffer
}

// Directory returns the current directory.
func (p *Pool) Directory() *directory.Directory {
	p.mu.RLock()
	defer p.mu.RUnlock()

	return p.directory
}

// Close closes all links with their idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.close()
	}
}
