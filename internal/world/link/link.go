// Package link keeps what this instance has seen of each target: requests in flight, latency, failures and warm-up.
//
// A Table holds one link for each target address. An attempt is bracketed by Begin and End:
//
//	use := links.Begin(address)
//	reply, err := run(ctx)
//	use.End(link.Answered)
//
// What the instance sees itself decides; a target's report of its load only breaks ties, because reports lag or mislead.
//
// A link ejects its target after EjectAfter consecutive failures, for a time that doubles with each ejection in a row from
// MinEjection to MaxEjection. A failure on a reused connection does not count: the connection may have stalled while the target is well, and the
// next attempt dials a new one.
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
	// EjectAfter is the number of consecutive failures that ejects a target. A single failure is often a connection and not a target.
	EjectAfter = 3
	// MinEjection is the time of a first ejection, long enough to outlast a restart.
	MinEjection = time.Second
	// MaxEjection bounds the time after which a recovered target is tried again.
	MaxEjection = 30 * time.Second
	// WarmUp is the time over which a cold target grows to its full weight.
	WarmUp = 10 * time.Second
	// ColdWeight is the weight of a target at the start of its warm-up.
	ColdWeight = 0.1
	// MaxLinks bounds a Table. Two years of growth need 3,200 targets; the rest is for replacements within ForgetAfter.
	MaxLinks = 16384
	// ForgetAfter is the time without use after which a link may be dropped to make room.
	ForgetAfter = 10 * time.Minute

	// latencyHalfLife is the age at which a latency sample counts half.
	latencyHalfLife = 2 * time.Second
	// assumedLatency stands in until the first sample. It is below real latencies, so that new targets are tried.
	assumedLatency = time.Millisecond
)

// Result says how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Answered means that a reply came.
	Answered Result = iota
	// Refused means that the target answered that the query did not run.
	Refused
	// Failed means that a new connection failed or that the target broke the protocol.
	Failed
	// FailedReused means that a reused connection failed, which says nothing about the target.
	FailedReused
	// Abandoned means that the attempt was cancelled on this side.
	Abandoned
)

// Table holds the links to all targets. It is safe for concurrent use.
type Table struct {
	timers *timer.Service
	log    *event.Log

	mu    sync.RWMutex
	links map[netip.AddrPort]*Link
	// full counts the links that were refused a place at MaxLinks.
	full uint64
}

// Option configures a Table.
type Option func(*Table)

// WithLog makes the table log ejections.
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

// Full returns how often the table was at its bound when a new target appeared.
func (t *Table) Full() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.full
}

// Link returns the link to address, a new one if there is none. At the bound the least recently used idle links make room;
// if none is idle, the link is not kept.
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
	l = &Link{address: address, table: t, used: t.timers.Now()}
	if len(t.links) >= MaxLinks {
		t.dropIdle()
	}
	if len(t.links) >= MaxLinks {
		t.full++

		return l
	}
	t.links[address] = l

	return l
}

func (t *Table) dropIdle() {
	now := t.timers.Now()
	for address, l := range t.links {
		if l.idleFor(now) > ForgetAfter {
			delete(t.links, address)
		}
	}
}

// Standing returns how the link to address stands now.
func (t *Table) Standing(address netip.AddrPort) Standing {
	return t.Link(address).Standing()
}

// Begin records the start of an attempt at address.
func (t *Table) Begin(address netip.AddrPort) *Use {
	l := t.Link(address)
	now := t.timers.Now()
	l.mu.Lock()
	l.inFlight++
	l.used = now
	l.mu.Unlock()

	return &Use{link: l, began: now}
}

// Learn records what the target at address says of itself.
func (t *Table) Learn(address netip.AddrPort, report *target.Report) {
	t.Link(address).learn(t.timers.Now(), report)
}

// Link is what this instance has seen of one target.
type Link struct {
	address netip.AddrPort
	table   *Table

	mu        sync.Mutex
	inFlight  int
	used      time.Time
	latency   time.Duration
	sampledAt time.Time
	failures  int
	ejections int
	ejected   time.Time // until when the target is ejected

	incarnation    uint64
	draining       bool
	warmSince      time.Time // start of the warm-up, zero when warm
	reportedFlight int
}

// Standing is a link at one moment, as routing compares it.
type Standing struct {
	// Score grows with requests in flight and latency. Lower is better.
	Score float64
	// ReportedInFlight is the target's own word, a hint for ties only.
	ReportedInFlight int
	Ejected          bool
}

// Standing returns how the link stands now.
func (l *Link) Standing() Standing {
	now := l.table.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()

	return Standing{
		Score:            float64(l.inFlight+1) * float64(l.recentLatency(now)) / l.weight(now),
		ReportedInFlight: l.reportedFlight,
		Ejected:          now.Before(l.ejected),
	}
}

// recentLatency decays towards the assumed latency while there are no samples, so that a target that was slow once is tried again.
func (l *Link) recentLatency(now time.Time) time.Duration {
	if l.sampledAt.IsZero() {
		return assumedLatency
	}
	kept := decay(now.Sub(l.sampledAt))

	return time.Duration(float64(l.latency)*kept + float64(assumedLatency)*(1-kept))
}

func (l *Link) weight(now time.Time) float64 {
	if l.warmSince.IsZero() {
		return 1
	}
	progress := float64(now.Sub(l.warmSince)) / float64(WarmUp)
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

	return now.Sub(l.used)
}

func (l *Link) learn(now time.Time, report *target.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedFlight = report.InFlight
	restarted := l.incarnation != 0 && report.Incarnation != l.incarnation
	if restarted || (report.Cold && l.incarnation == 0) {
		l.warmSince = now
		l.failures, l.ejections, l.ejected = 0, 0, time.Time{}
	}
	if report.Draining && !l.draining {
		l.table.log.Log(event.TargetDraining, "Target", l.address)
	}
	l.incarnation, l.draining = report.Incarnation, report.Draining
}

// Use is one attempt in progress.
type Use struct {
	link  *Link
	began time.Time
	once  sync.Once
}

// Elapsed returns the time since the attempt began.
func (u *Use) Elapsed() time.Duration {
	return u.link.table.timers.Since(u.began)
}

// End records how the attempt ended. Only the first call counts.
func (u *Use) End(result Result) {
	u.once.Do(func() { u.link.end(u.began, result) })
}

func (l *Link) end(began time.Time, result Result) {
	now := l.table.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.used = now

	took := now.Sub(began)
	switch result {
	case Answered:
		l.sample(now, took)
		l.recover()
	case Refused:
		// The target is alive, but the time of a refusal is no service time.
		l.failures = 0
	case Failed:
		l.sample(now, took)
		l.fail(now)
	case FailedReused:
		l.sample(now, took)
	case Abandoned:
		// The attempt took at least this long, which matters only when it is worse than what is known.
		if took > l.latency {
			l.sample(now, took)
		}
	}
}

func (l *Link) sample(now time.Time, took time.Duration) {
	if l.sampledAt.IsZero() {
		l.latency, l.sampledAt = took, now

		return
	}
	// A slower sample counts at once and a faster one slowly, so that a target that turns slow is noticed within one request.
	kept := decay(now.Sub(l.sampledAt))
	if took > l.latency {
		kept = min(kept, 0.5)
	}
	kept = min(kept, 0.9)
	l.latency = time.Duration(float64(l.latency)*kept + float64(took)*(1-kept))
	l.sampledAt = now
}

func (l *Link) recover() {
	l.failures = 0
	if l.ejections > 0 {
		l.ejections = 0
		l.table.log.Log(event.TargetReturned, "Target", l.address)
	}
}

func (l *Link) fail(now time.Time) {
	l.failures++
	if l.failures < EjectAfter {
		return
	}
	l.failures = 0
	length := min(MinEjection<<min(l.ejections, 10), MaxEjection)
	l.ejections++
	l.ejected = now.Add(length)
	l.table.log.Log(event.TargetEjected, "Target", l.address, "For", length)
}
