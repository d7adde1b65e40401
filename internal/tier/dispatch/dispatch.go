// Package dispatch answers requests by sending them to targets: to one replica of each shard, or to one target.
//
// A request is a set of jobs, one for each service that has to answer. The dispatcher starts an attempt for each job, hedges
// attempts that are late, replaces attempts that failed, and stops as soon as the answer is decided:
//
//	answer := d.Gather(ctx, query)   // a merged answer of the shards
//	answer := d.Forward(ctx, query)  // the response of one target
//
// All decisions are made by the packages under internal/decision; this package collects their facts and carries out their
// verdicts.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// Status is the kind of an answer.
type Status string

// The kinds of answers.
const (
	// Answered means that the caller gets an answer of targets.
	Answered Status = "Answered"
	// NotRun means that no target ran the request and none will.
	NotRun Status = "NotRun"
	// Unknown means that a target may have run the request and there is no answer.
	Unknown Status = "Unknown"
	// TimedOut means that the time was over; a target may have run the request.
	TimedOut Status = "TimedOut"
	// Abandoned means that the caller left.
	Abandoned Status = "Abandoned"
)

// Query is a caller's request.
type Query struct {
	Route     *route.Route
	Version   uint64
	RequestID string
	Method    string
	// Head is the request line and the headers that are passed on, as in target.Call.
	Head []byte
	Body []byte
	// Deadline is when the caller must have a final answer.
	Deadline time.Time
	// Received is when the request was read, and Elapsed the time that its caller had waited by then, as far as it is known.
	Received time.Time
	Elapsed  time.Duration
	// Extra is set if targets may have got the query already, so that its first attempts draw on the budget as well.
	Extra bool
	// Shards is the subset of the route's shards to gather, nil for all. The answer of a subset has a stamp for each shard, empty
	// for a missing part, and is given however few there are.
	Shards []string
	// Early, if set, is called with the parts of a subset that are at hand at the objective. The answer then has the others.
	Early func(Answer)
}

// Answer is the end of a query.
type Answer struct {
	Status Status
	// Reason says why there is no better answer, or why it ended when it did.
	Reason string
	// Result is the response of the one target that answered a forwarded request.
	Result *target.Result
	// Stamps, Missing and Records are the merged answer of a gathered query.
	Stamps  []string
	Missing int
	Records []byte
	// Shed is set if busy targets refused the request.
	Shed bool
	// Attempts, Hedges and Retries count what was sent to targets.
	Attempts int
	Hedges   int
	Retries  int
	// Early is set if more parts of a subset follow.
	Early bool
	// Denied counts the hedges and retries that the budget did not allow.
	Denied int
	// Gatherer is the peer that gathered the answer, empty if this instance did.
	Gatherer string
}

// Group is a set of a query's shards that a peer gathers.
type Group struct {
	// Jobs are positions in the list of shards.
	Jobs []int
	// Run returns the answer of the subset, and calls early with parts that are at hand at the objective if others are not. After an
	// error that wraps ErrMayHaveRun targets may have got the requests.
	Run func(ctx context.Context, early func(Answer)) (Answer, error)
}

// ErrMayHaveRun means that a peer that failed may have sent a query to targets.
var ErrMayHaveRun = errors.New("the query may have reached targets")

// Settings of a Dispatcher.
type Settings struct {
	Place choice.Place
	// ReturnPath is the time between the end of a gathered query here and the arrival of its answer, with the caller's way to
	// this instance.
	ReturnPath time.Duration
	// Hedges can be switched off for comparisons.
	Hedges bool
}

// Dispatcher sends requests to the targets of a fleet. It is safe for concurrent use.
type Dispatcher struct {
	fleet    *target.Fleet
	ledger   *budget.Ledger
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set
	settings Settings
	groups   func(q *Query) []Group

	mu       sync.Mutex
	trackers map[string]*hedging.Tracker
	shares   map[string]*rotation
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

// WithGroups sets the function that names the shards of a query that peers gather.
func WithGroups(groups func(q *Query) []Group) Option {
	return func(d *Dispatcher) { d.groups = groups }
}

// New returns a Dispatcher.
func New(fleet *target.Fleet, ledger *budget.Ledger, timers *timer.Service, settings Settings, options ...Option) *Dispatcher {
	d := &Dispatcher{
		fleet:    fleet,
		ledger:   ledger,
		timers:   timers,
		settings: settings,
		trackers: make(map[string]*hedging.Tracker),
		shares:   make(map[string]*rotation),
		groups:   func(*Query) []Group { return nil },
	}
	for _, option := range options {
		option(d)
	}

	return d
}

// Keep forgets what belongs to routes that table does not have.
func (d *Dispatcher) Keep(table *route.Table) {
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
	for name := range d.shares {
		if !names[name] {
			delete(d.shares, name)
		}
	}
	d.ledger.Keep(func(service string) bool { return services[service] })
}

// usual returns the 90th percentile of the recent attempts of a route.
func (d *Dispatcher) usual(routeName string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trackers[routeName]; t != nil {
		return t.Value()
	}

	return 0
}

func (d *Dispatcher) observe(routeName string, result *target.Result) {
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
	t.Observe(result.Took)
}

// Forward sends the query to one target and returns its response.
func (d *Dispatcher) Forward(ctx context.Context, q *Query) Answer {
	service := q.Route.Service
	if len(q.Route.Split) > 0 {
		service = d.split(q.Route)
	}
	f := newFlight(d, q, []string{service})
	f.single = true

	return f.run(ctx)
}

// Gather sends the query to one replica of each shard and merges the parts.
func (d *Dispatcher) Gather(ctx context.Context, q *Query) Answer {
	if q.Shards != nil {
		f := newFlight(d, q, q.Shards)
		f.subset = true

		return f.run(ctx)
	}

	return newFlight(d, q, q.Route.Gather.Shards).run(ctx)
}
