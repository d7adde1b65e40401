// Package dispatch sends the requests of callers to targets: to one replica of each shard, or to a single target.
//
// The dispatcher splits a request into subrequests, one for each service that has to answer. It starts an attempt for each of them,
// hedges attempts that are late, retries attempts that failed, and returns as soon as the answer is determined:
//
//	answer := d.Gather(ctx, query)   // merged from the parts of the shards
//	answer := d.Forward(ctx, query)  // the response of one target
//
// The packages under internal/decision make all decisions. This package collects their inputs and acts on their verdicts.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// Status says how a query ended.
type Status string

// The values of Status.
const (
	// Answered means that there is an answer to return, made of the responses of targets.
	Answered Status = "Answered"
	// NotRun means that no target has run the request and none will run it later.
	NotRun Status = "NotRun"
	// Unknown means that there is no answer, although a target may have run the request.
	Unknown Status = "Unknown"
	// TimedOut means that the deadline passed without an answer. A target may have run the request.
	TimedOut Status = "TimedOut"
	// Abandoned means that the caller cancelled the request or disconnected before it was answered.
	Abandoned Status = "Abandoned"
)

// ReasonUnreachable is the reason of a query that was not answered because this instance has lost connectivity to the targets.
const ReasonUnreachable = "TargetsUnreachable"

// Query is a caller's request.
type Query struct {
	Route *route.Route
	// Account is the name of the client account that sent the query, empty if there is none. Scope are the regions in which the query may
	// be served, and Priority is its rank under overload; 0 is the highest.
	Account  string
	Scope    region.Scope
	Priority int
	// Version is the version of the configuration that Route belongs to.
	Version   uint64
	RequestID string
	Method    string
	// Head is the request line and the headers that are forwarded to targets, as in target.Call.
	Head []byte
	Body []byte
	// Fingerprint is the same for all queries that ask the same of the targets. If it is not set, the dispatcher computes it.
	Fingerprint suspect.Fingerprint
	// Deadline is the time by which the caller must have the final answer.
	Deadline time.Time
	// Received is the time at which this instance read the request. Elapsed is how long the caller had already been waiting by
	// then, as far as it is known.
	Received time.Time
	Elapsed  time.Duration
	// MaybeSent is set if another gatherer may already have sent the query to targets. The first attempts are then charged to the
	// retry budget as well.
	MaybeSent bool
	// Service is the service that a peer has chosen for a forwarded query, empty if none has. Tried are the targets to which that peer may have
	// sent it.
	Service string
	Tried   []string
	// Shards is the subset of the route's shards to gather; nil means all of them. The answer to a subset has one stamp for each
	// shard, which is empty if the part of the shard is missing. It is returned however few parts there are.
	Shards []string
	// OnEarly, if set, is called once the objective is reached, with the parts of a subset that have arrived by then. The returned
	// answer then holds only the other parts.
	OnEarly func(Answer)
}

// Answer is the outcome of a query.
type Answer struct {
	Status Status
	// Reason says why there is no better answer, or why the query ended when it did.
	Reason string
	// Result is the result of a forwarded request: the response that answers it or, if every attempt failed, the last result, which is
	// passed on only if it is a ForwardableError. It is nil if there was no attempt.
	Result *target.Result
	// Stamps holds the stamps of the parts of a gathered query, Missing is the number of shards without a part, and Records are
	// the merged records.
	Stamps  []string
	Missing int
	Records []byte
	// Shed is set if a target received the request and refused to run it, as overloaded targets do.
	Shed bool
	// TurnIn is the time after which this instance could send a request that failed for the rate limits of targets, 0 if none did.
	TurnIn time.Duration
	// Attempts counts the attempts at targets. Hedges and Retries count those attempts that were hedges or retries.
	Attempts int
	Hedges   int
	Retries  int
	// MoreFollows is set if another answer with further parts of the subset follows.
	MoreFollows bool
	// Denied counts the hedges and retries that the retry budget did not allow.
	Denied int
	// Gatherer is the name of the peer that gathered the answer, or that forwarded the query to a target. It is empty if this instance did.
	Gatherer string
	// Service is the service of a forwarded query. Tried are the targets that may have got it, if the reason is ReasonUnreachable.
	Service string
	Tried   []string
}

// Group is a subset of a query's shards that a peer gathers.
type Group struct {
	// Shards are indexes into the query's list of shards.
	Shards []int
	// Run asks the peer to gather the subset and returns its answer. If only some of the parts have arrived by the objective, it
	// passes those to early first and returns the others later. An error wraps ErrMayHaveRun if targets may have received
	// requests for the subset.
	Run func(ctx context.Context, early func(Answer)) (Answer, error)
}

// ErrMayHaveRun is wrapped by an error of Group.Run if the peer failed but may have sent the query to targets.
var ErrMayHaveRun = errors.New("the peer may have sent the query to targets")

// Settings configure a Dispatcher.
type Settings struct {
	// Place is the location of this instance.
	Place choice.Place
	// ReturnPath is the time from the end of a gathered query at this instance until its answer reaches the caller, plus the time
	// that the caller's request took to reach this instance.
	ReturnPath time.Duration
	// Hedges enables hedging. It can be disabled to compare results with and without hedges.
	Hedges bool
}

// Dispatcher sends requests to the targets of a pool. It is safe for concurrent use.
type Dispatcher struct {
	pool     *target.Pool
	ledger   *budget.Ledger
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set
	settings Settings
	groups   func(q *Query) []Group
	// suspects are the queries that seem to crash targets.
	suspects *quarantine.List
	mayTry   func(f suspect.Fingerprint, instances int) bool

	mu          sync.Mutex
	trackers    map[string]*hedging.Tracker
	roundRobins map[string]*weightedRoundRobin
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(d *Dispatcher) { d.log = log }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *metric.Set) Option {
	return func(d *Dispatcher) { d.metrics = metrics }
}

// WithGroups sets the function that selects the shards of a query that peers gather.
func WithGroups(groups func(q *Query) []Group) Option {
	return func(d *Dispatcher) { d.groups = groups }
}

// WithSuspects sets the list of the queries that seem to crash targets. A suspect is sent only if mayTry returns true: this instance is one
// of the given number of instances that may try it.
func WithSuspects(suspects *quarantine.List, mayTry func(f suspect.Fingerprint, instances int) bool) Option {
	return func(d *Dispatcher) { d.suspects, d.mayTry = suspects, mayTry }
}

// New returns a Dispatcher.
func New(pool *target.Pool, ledger *budget.Ledger, timers *timer.Service, settings Settings, options ...Option) *Dispatcher {
	d := &Dispatcher{
		pool:        pool,
		ledger:      ledger,
		timers:      timers,
		settings:    settings,
		trackers:    make(map[string]*hedging.Tracker),
		roundRobins: make(map[string]*weightedRoundRobin),
		groups:      func(*Query) []Group { return nil },
		suspects:    quarantine.NewList(),

		mayTry: func(suspect.Fingerprint, int) bool { return true },
	}
	for _, option := range options {
		option(d)
	}

	return d
}

// Prune drops the state of routes and services that are not in table: response times, traffic splits and budgets.
func (d *Dispatcher) Prune(table *route.Table) {
	names := make(map[string]bool)
	services := make(map[string]bool)
	for _, r := range table.Routes() {
		names[r.Name] = true
		for _, s := range r.Services() {
			services[s] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.trackers {
		if !names[name] {
			delete(d.trackers, name)
		}
	}
	for name := range d.roundRobins {
		if !names[name] {
			delete(d.roundRobins, name)
		}
	}
	d.ledger.Retain(func(service string) bool { return services[service] })
}

// responseTimeP90 returns the 90th percentile of the response times of a route's recent attempts that succeeded, or 0 if none did.
func (d *Dispatcher) responseTimeP90(routeName string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trackers[routeName]; t != nil {
		return t.Value()
	}

	return 0
}

// observeAttempt adds the response time of a successful attempt to the percentile of the route.
func (d *Dispatcher) observeAttempt(routeName string, result *target.Result) {
	if !result.Success() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trackers[routeName]
	if t == nil {
		t = &hedging.Tracker{}
		d.trackers[routeName] = t
	}
	t.Observe(result.Duration)
}

// Forward sends the query to one target and returns its response.
func (d *Dispatcher) Forward(ctx context.Context, q *Query) Answer {
	service := q.Service
	switch {
	case service != "":
	case len(q.Route.Split) > 0:
		service = d.nextSplitService(q.Route)
	default:
		service = q.Route.Service
	}
	active := newActiveQuery(d, q, []string{service})
	active.forwarded = true
	active.answer.Service = service

	return active.run(ctx)
}

// Gather sends the query to one replica of each shard and merges the parts that they return.
func (d *Dispatcher) Gather(ctx context.Context, q *Query) Answer {
	if q.Shards != nil {
		active := newActiveQuery(d, q, q.Shards)
		active.subset = true

		return active.run(ctx)
	}

	return newActiveQuery(d, q, q.Route.Gather.Shards).run(ctx)
}
