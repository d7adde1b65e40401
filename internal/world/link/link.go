// Package link tracks the state of each target as this instance observes it: attempts in flight, latency, failures and warm-up.
//
// A Table holds one Link per target address. Begin and End enclose each attempt:
//
//	attempt := links.Begin(address)
//	reply, err := run(ctx)
//	attempt.End(link.Answered)
//
// Scores are computed from the instance's own observations. The load that a target reports only breaks ties, because reports lag
// and may be wrong.
//
// A target is ejected after EjectAfter consecutive failures. The first ejection lasts MinEjection. Each further ejection without an
// answer in between lasts twice as long as the one before, up to MaxEjection. A failure on a reused connection is not counted: the
// connection may have stalled while the target is healthy, and the next attempt opens a new connection.
package link

import (
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

const (
	// EjectAfter is the number of consecutive failures after which a target is ejected. A single failure is often due to the
	// connection and not to the target.
	EjectAfter = 3
	// MinEjection is the duration of a first ejection. It is long enough for a target to restart.
	MinEjection = time.Second
	// MaxEjection is the longest duration of an ejection. It bounds the time until a recovered target is used again.
	MaxEjection = 30 * time.Second
	// WarmUp is the time in which the weight of a cold target rises linearly from ColdWeight to 1.
	WarmUp = 10 * time.Second
	// ColdWeight is the weight of a target at the start of its warm-up.
	ColdWeight = 0.1
	// MaxLinks bounds the links of a Table. In two years, 3,200 targets are expected; the rest is for targets that were replaced
	// within EvictAfter.
	MaxLinks = 16384
	// EvictAfter is the idle time after which a link may be evicted from a full Table.
	EvictAfter = 10 * time.Minute

	// latencyHalfLife is the time in which the weight of a latency sample halves.
	latencyHalfLife = 2 * time.Second
	// assumedLatency is the latency of a target without samples. It is below real latencies, so that new targets are tried.
	assumedLatency = time.Millisecond
)

// Result is the outcome of an attempt.
type Result int

// The outcomes of an attempt.
const (
	// Answered means that the target returned a reply.
	Answered Result = iota
	// Refused means that the target returned a refusal, which states that the query did not run.
	Refused
	// Failed means that a new connection failed or that the target violated the protocol.
	Failed
	// FailedReused means that a reused connection failed. This does not indicate a failure of the target.
	FailedReused
	// Abandoned means that this instance cancelled the attempt.
	Abandoned
)

// Table holds the links to all targets. It is safe for concurrent use.
type Table struct {
	timers *timer.Service
	log    *event.Log

	mu    sync.RWMutex
	links map[netip.AddrPort]*Link
	// rejected counts the links that were not stored because MaxLinks was reached.
	rejected uint64
}

// Option configures a Table.
type Option func(*Table)

// WithLog sets the event log, which receives ejections, recoveries and the start of drains.
func WithLog(log *event.Log) Option {
	return func(t *Table) { t.log = log }
}

// NewTable returns an empty table.
func NewTable(timers *timer.Service, options ...Option) *Table {
	t := &Table{timers: timers, links: make(map[netip.AddrPort]*Link)}
	for _, option := range options {
		option(t)
	}

	return t
}

// Rejected returns how often a link could not be stored because MaxLinks was reached.
func (t *Table) Rejected() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.rejected
}

// Link returns the link to address, and creates it if it does not exist. If the table is full, all links that have been idle for
// longer than EvictAfter are evicted; if there are none, the new link is returned without being stored.
func (t *Table) Link(address netip.AddrPort) *Link {
	t.mu.RLock()
	l, ok := t.links[address]
	t.mu.RUnlock()
	if ok {
		return l
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[address]; ok {
		return l
	}
	l = &Link{address: address, table: t, lastUsedAt: t.timers.Now()}
	if len(t.links) >= MaxLinks {
		t.evictIdle()
	}
	if len(t.links) >= MaxLinks {
		t.rejected++

		return l
	}
	t.links[address] = l

	return l
}

func (t *Table) evictIdle() {
	now := t.timers.Now()
	for address, l := range t.links {
		if l.idleFor(now) > EvictAfter {
			delete(t.links, address)
		}
	}
}

// Status returns the current Status of the link to address.
func (t *Table) Status(address netip.AddrPort) Status {
	return t.Link(address).Status()
}

// Begin records the start of an attempt that is sent to the target at address. The attempt counts as in flight until Attempt.End.
func (t *Table) Begin(address netip.AddrPort) *Attempt {
	l := t.Link(address)
	now := t.timers.Now()
	l.mu.Lock()
	l.inFlight++
	l.lastUsedAt = now
	l.mu.Unlock()

	return &Attempt{link: l, startedAt: now}
}

// Learn processes a report of the target at address.
func (t *Table) Learn(address netip.AddrPort, report *target.Report) {
	t.Link(address).learn(t.timers.Now(), report)
}

// Link is the state of one target as this instance observes it.
type Link struct {
	address netip.AddrPort
	table   *Table

	mu           sync.Mutex
	inFlight     int
	lastUsedAt   time.Time     // last start or end of an attempt, or the creation of the link
	latency      time.Duration // moving average of the samples
	sampledAt    time.Time     // time of the last latency sample
	failures     int           // consecutive failures, reset by an ejection
	ejections    int           // consecutive ejections
	ejectedUntil time.Time

	incarnation      uint64
	draining         bool
	warmupStartedAt  time.Time // zero if no warm-up was observed
	reportedInFlight int
}

// Status contains the current values of a link by which routing compares replicas.
type Status struct {
	// Score increases with the attempts in flight and with the latency. Lower is better.
	Score float64
	// ReportedInFlight is the number of requests in flight that the target reported. It only breaks ties between equal scores.
	ReportedInFlight int
	// Ejected is true if the target is ejected at present.
	Ejected bool
}

// Status returns the current Status of the link.
func (l *Link) Status() Status {
	now := l.table.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()

	return Status{
		Score:            float64(l.inFlight+1) * float64(l.recentLatency(now)) / l.weight(now),
		ReportedInFlight: l.reportedInFlight,
		Ejected:          now.Before(l.ejectedUntil),
	}
}

// recentLatency returns the average latency, which decays towards assumedLatency while there are no new samples. Otherwise a target
// that was once slow would not be tried again.
func (l *Link) recentLatency(now time.Time) time.Duration {
	if l.sampledAt.IsZero() {
		return assumedLatency
	}
	oldWeight := decay(now.Sub(l.sampledAt))

	return time.Duration(float64(l.latency)*oldWeight + float64(assumedLatency)*(1-oldWeight))
}

// weight returns the routing weight of the target, which is below 1 during its warm-up.
func (l *Link) weight(now time.Time) float64 {
	if l.warmupStartedAt.IsZero() {
		return 1
	}
	progress := float64(now.Sub(l.warmupStartedAt)) / float64(WarmUp)
	if progress >= 1 {
		return 1
	}

	return ColdWeight + (1-ColdWeight)*progress
}

func (l *Link) idleFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight > 0 {
		return 0
	}

	return now.Sub(l.lastUsedAt)
}

func (l *Link) learn(now time.Time, report *target.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedInFlight = report.InFlight
	// A restarted target begins a new warm-up, even if it does not report that it is cold, and its earlier failures are discarded.
	restarted := l.incarnation != 0 && report.Incarnation != l.incarnation
	if restarted || (report.Cold && l.incarnation == 0) {
		l.warmupStartedAt = now
		l.failures, l.ejections, l.ejectedUntil = 0, 0, time.Time{}
	}
	if report.Draining && !l.draining {
		l.table.log.Log(event.TargetDraining, "Target", l.address)
	}
	l.incarnation, l.draining = report.Incarnation, report.Draining
}

// Attempt is one attempt in progress.
type Attempt struct {
	link      *Link
	startedAt time.Time
	once      sync.Once
}

// Elapsed returns the time since the start of the attempt.
func (a *Attempt) Elapsed() time.Duration {
	return a.link.table.timers.Since(a.startedAt)
}

// End records the outcome of the attempt. Calls after the first have no effect.
func (a *Attempt) End(result Result) {
	a.once.Do(func() { a.link.end(a.startedAt, result) })
}

func (l *Link) end(startedAt time.Time, result Result) {
	now := l.table.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.lastUsedAt = now

	elapsed := now.Sub(startedAt)
	switch result {
	case Answered:
		l.addSample(now, elapsed)
		l.recordAnswer()
	case Refused:
		// The target is alive, but the latency of a refusal says nothing about the latency of a query.
		l.failures = 0
	case Failed:
		l.addSample(now, elapsed)
		l.recordFailure(now)
	case FailedReused:
		l.addSample(now, elapsed)
	case Abandoned:
		// The elapsed time is only a lower bound of the latency, so it is used only if it exceeds the current average.
		if elapsed > l.latency {
			l.addSample(now, elapsed)
		}
	}
}

// addSample adds a sample to the average latency.
func (l *Link) addSample(now time.Time, latency time.Duration) {
	if l.sampledAt.IsZero() {
		l.latency, l.sampledAt = latency, now

		return
	}
	// A sample above the average has at least half of the weight, so that a target that becomes slow is detected within one
	// request. Lower samples have at least a tenth, so that the average falls slowly.
	oldWeight := decay(now.Sub(l.sampledAt))
	if latency > l.latency {
		oldWeight = min(oldWeight, 0.5)
	}
	oldWeight = min(oldWeight, 0.9)
	l.latency = time.Duration(float64(l.latency)*oldWeight + float64(latency)*(1-oldWeight))
	l.sampledAt = now
}

// recordAnswer resets the failures and ends a series of ejections.
func (l *Link) recordAnswer() {
	l.failures = 0
	if l.ejections > 0 {
		l.ejections = 0
		l.table.log.Log(event.TargetReturned, "Target", l.address)
	}
}

// recordFailure counts a failure and ejects the target after EjectAfter consecutive failures.
func (l *Link) recordFailure(now time.Time) {
	l.failures++
	if l.failures < EjectAfter {
		return
	}
	l.failures = 0
	duration := min(MinEjection<<min(l.ejections, 10), MaxEjection)
	l.ejections++
	l.ejectedUntil = now.Add(duration)
	l.table.log.Log(event.TargetEjected, "Target", l.address, "For", duration)
}
