// Package target implements a stand-in for a target. It serves the queries of one service for tests, demonstrations and
// benchmarks, keeps a journal of the queries that ran, and injects faults on request.
//
//	POST /query    200 Reply, 503, 409 or 400 Refusal
//	GET  /status   200 Report
//	GET  /journal  200 Journal
//	GET  /fault    200 Fault, the active faults
//	PUT  /fault    204, replaces the active faults
//
// It runs as a separate process (cmd/standin) or inside a test:
//
//	t := target.New(timers, target.WithService("payout"), target.WithHoldings(holding))
//	go t.Serve(ctx, listener)
//	err := t.SetFault(target.Fault{Shed: true})
//
// Hits are computed from the version, shard and text of a query, so that all replicas of a shard return the same hits.
package target

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Error is the class of the errors of this package.
var Error = errs.Class("stand-in target")

const (
	defaultSlots      = 2
	defaultQueue      = 4
	defaultColdFactor = 5
	defaultMaxEntries = 1 << 16
)

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	timers            *timer.Service
	service           string
	slots             int
	maxWaiting        int
	maxConnections    int
	connectTime       time.Duration
	serviceTimeMedian time.Duration
	serviceTimeSigma  float64
	coldDuration      time.Duration
	coldFactor        float64
	gracePeriod       time.Duration
	incarnation       uint64
	started           time.Time
	hook              func(Stage)

	mu        sync.Mutex
	rng       *rand.Rand
	holdings  []wire.Holding
	shardKeys map[shardID][]string
	fault     Fault
	stopping  bool
	running   int
	waiting   []chan struct{} // queries that wait for a slot, at most maxWaiting
	lastQuery wire.Query      // the query that was received last, for Misdirect
	journal   journal
	serving   chan struct{}      // closed once listener is set
	openConns map[*conn]struct{} // limited by the open files of the process
	listener  *listener
}

// Option configures a Target.
type Option func(*Target)

// WithService restricts the target to the queries of one service. By default, it serves those of any service.
func WithService(name string) Option { return func(t *Target) { t.service = name } }

// WithHoldings sets the index versions and shards that the target holds at the start.
func WithHoldings(holdings ...wire.Holding) Option {
	return func(t *Target) { t.holdings = slices.Clone(holdings) }
}

// WithSlots sets the number of queries that run concurrently.
func WithSlots(n int) Option { return func(t *Target) { t.slots = max(1, n) } }

// WithQueue sets the number of queries that may wait for a slot. Queries beyond it are shed.
func WithQueue(n int) Option { return func(t *Target) { t.maxWaiting = max(0, n) } }

// WithConnections limits the number of connections. Queries on further connections are refused. Zero means no limit.
func WithConnections(n int) Option { return func(t *Target) { t.maxConnections = n } }

// WithConnectTime delays the first read on each new connection.
func WithConnectTime(d time.Duration) Option { return func(t *Target) { t.connectTime = d } }

// WithServiceTime draws service times from a log-normal distribution with the given median. sigma is the standard deviation
// of their logarithm; with 0, every service time is the median.
func WithServiceTime(median time.Duration, sigma float64) Option {
	return func(t *Target) { t.serviceTimeMedian, t.serviceTimeSigma = median, sigma }
}

// WithSeed seeds the random choice of service times and of slow queries.
func WithSeed(seed uint64) Option {
	return func(t *Target) { t.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithColdStart multiplies service times by factor for a duration d after the start, and while the fault Cold is active.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(t *Target) { t.coldDuration, t.coldFactor = d, factor }
}

// WithGrace sets how long Serve, once its context is done, refuses queries as draining before it closes its connections.
func WithGrace(d time.Duration) Option { return func(t *Target) { t.gracePeriod = d } }

// WithIncarnation sets the incarnation in reports. The default is the time of the start in nanoseconds.
func WithIncarnation(n uint64) Option { return func(t *Target) { t.incarnation = n } }

// WithJournal limits the journal to n entries. The oldest entries are dropped first.
func WithJournal(n int) Option { return func(t *Target) { t.journal.maxEntries = max(1, n) } }

// Stage is a point in the processing of a query at which the hook of WithHook is called.
type Stage string

// The stages, in the order in which a query reaches them.
const (
	Connected     Stage = "connected"      // a connection was accepted
	PartlyRead    Stage = "partly read"    // the start of the request line of a query was read
	Running       Stage = "running"        // the query has a slot and an entry in the journal
	PartlyReplied Stage = "partly replied" // half of the reply was written
)

// WithHook calls hook at each stage of each query. The query blocks until hook returns; faults that hook sets apply to the
// rest of the query.
func WithHook(hook func(Stage)) Option { return func(t *Target) { t.hook = hook } }

// New returns a Target. By default it has 2 slots, a queue of 4 and a service time of zero.
func New(timers *timer.Service, options ...Option) *Target {
	now := timers.Now()
	t := &Target{
		timers:      timers,
		slots:       defaultSlots,
		maxWaiting:  defaultQueue,
		coldFactor:  defaultColdFactor,
		incarnation: uint64(now.UnixNano()),
		started:     now,
		rng:         rand.New(rand.NewPCG(1, 1)),
		shardKeys:   make(map[shardID][]string),
		journal:     journal{maxEntries: defaultMaxEntries},
		serving:     make(chan struct{}),
		openConns:   make(map[*conn]struct{}),
	}
	for _, option := range options {
		option(t)
	}
	for _, h := range t.holdings {
		t.indexShard(h)
	}

	return t
}

// Report returns the state that the target reports in replies and to status polls. It is deliberately wrong under WrongReport.
func (t *Target) Report() wire.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := wire.Report{
		Incarnation: t.incarnation,
		Service:     t.service,
		Draining:    t.draining(),
		Cold:        t.cold(),
		InFlight:    t.running + len(t.waiting),
		Slots:       t.slots,
		Holdings:    slices.Clone(t.holdings),
	}
	if t.fault.WrongReport {
		report.Draining, report.Cold = false, false
		report.InFlight, report.Slots = 0, 10*t.slots
		for i := range report.Holdings {
			report.Holdings[i].Version++
		}
	}

	return report
}

// SetHoldings replaces the index versions and shards that the target holds.
func (t *Target) SetHoldings(holdings ...wire.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdings = nil
	clear(t.shardKeys)
	for _, h := range holdings {
		t.addHolding(h)
	}
}

// addHolding adds h to the holdings, up to wire.MaxHoldings. t.mu must be locked.
func (t *Target) addHolding(h wire.Holding) {
	if !slices.Contains(t.holdings, h) && len(t.holdings) < wire.MaxHoldings {
		t.holdings = append(t.holdings, h)
		t.indexShard(h)
	}
}

// removeVersion removes a version from the holdings. t.mu must be locked.
func (t *Target) removeVersion(version uint64) {
	t.holdings = slices.DeleteFunc(t.holdings, func(h wire.Holding) bool { return h.Version == version })
}

// draining reports whether new queries are refused as draining. t.mu must be locked.
func (t *Target) draining() bool {
	return t.stopping || t.fault.Drain
}

// cold reports whether service times are multiplied by coldFactor. t.mu must be locked.
func (t *Target) cold() bool {
	return t.fault.Cold || t.timers.Since(t.started) < t.coldDuration
}

// drawServiceTime draws the service time of a query and applies the slow and cold factors.
func (t *Target) drawServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := float64(t.serviceTimeMedian) * math.Exp(t.serviceTimeSigma*t.rng.NormFloat64())
	if t.fault.SlowFraction > 0 && t.rng.Float64() < t.fault.SlowFraction {
		d *= t.fault.SlowFactor
	}
	if t.cold() {
		d *= t.coldFactor
	}

	return time.Duration(d)
}
