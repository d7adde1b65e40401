package target

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/absence"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// failureSampleWeight is the weight of a new sample in the exponentially weighted failure rate.
	failureSampleWeight = 0.2
	// failureHalfLife is the half-life of the failure rate while there are no new samples. The shortest outages of targets last a
	// few seconds.
	failureHalfLife = 2 * time.Second
	// maxTrackedRoutes is the maximum number of routes for which a link tracks a latency.
	maxTrackedRoutes = 64
)

// Link manages the connections to one target and records the target's latency, load and failures.
type Link struct {
	pool    *Pool
	id      string
	service string
	address netip.AddrPort

	mu             sync.Mutex
	target         *directory.Target
	entryChangedAt time.Time // when the directory entry last changed; its Warmup runs from then
	idle           []*conn   // least recently used first
	open           int       // connections that are idle, in use, being opened, or granted to a waiter
	waiters        []chan *conn
	// inFlightSince holds the start times of the requests in flight, oldest first.
	inFlightSince  []time.Time
	latencies      map[string]*choice.AverageResponseTime // latency by route
	load           Load                                   // last load reported by the target
	loadAt         time.Time
	failureRate    float64 // failure rate as of failureRateAt, between 0 and 1
	failureRateAt  time.Time
	lastResponseAt time.Time // when the last response with an HTTP status was received
	rateLimit      rateLimit
	cold           coldness
	absence        absence.State
	endedAt        time.Time // when a connection was last refused, because no process listens
	leaving        bool      // the target's process has said that it leaves
	closed         bool      // the target was removed from the directory, or the pool was closed
	addressReused  bool      // another process answers at the target's address
}

func newLink(p *Pool, t *directory.Target) *Link {
	l := &Link{
		pool:           p,
		id:             t.ID,
		service:        t.Service,
		address:        t.Address,
		target:         t,
		entryChangedAt: p.timers.Now(),
		leaving:        p.isLeaving(t),
		latencies:      make(map[string]*choice.AverageResponseTime),
	}
	l.observeWarmup(t, l.entryChangedAt)

	return l
}

// ID returns the ID of the target.
func (l *Link) ID() string { return l.id }

// Service returns the service of the target.
func (l *Link) Service() string { return l.service }

// Target returns the target's current directory entry.
func (l *Link) Target() *directory.Target {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.target
}

// update replaces the directory entry by a newer one of the same process. It reports whether they differ in more than Warmup.
func (l *Link) update(t *directory.Target) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = !l.target.Same(t)
	if t.Warmup != l.target.Warmup || changed {
		l.entryChangedAt = l.pool.timers.Now()
	}
	if changed {
		l.addressReused = false
	}
	l.target = t
	now := l.pool.timers.Now()
	wasCold := l.cold.limits(now)
	if l.observeWarmup(t, now); !wasCold && l.cold.limits(now) {
		l.pool.log.Log(event.TargetCold, "Target", l.id, "Service", l.service, "PerSecond", l.cold.perSecond, "For", l.cold.until.Sub(now))
	}

	return changed
}

// usable reports whether the target accepts new requests.
func (l *Link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.closed && !l.addressReused && !l.leaving && !l.target.Draining && !l.isEvacuated()
}

// isEvacuated reports whether the target's availability zone is evacuated. l.mu must be held.
func (l *Link) isEvacuated() bool { return l.pool.evacuated.Load().Has(l.target.AvailabilityZone) }

// close makes the link unusable for new requests and closes its idle connections. Connections in use are closed when their requests
// end.
func (l *Link) close() {
	l.mu.Lock()
	idle := l.idle
	l.idle, l.closed = nil, true
	l.open -= len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Facts returns the input for choosing a replica for a request of the given route.
func (l *Link) Facts(route string, now time.Time) choice.Facts {
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := choice.Facts{
		AvailabilityZone: l.target.AvailabilityZone,
		Slots:            l.target.Slots,
		InFlight:         len(l.inFlightSince),
		Failures:         l.failureRateNow(now),
		Warmup:           max(0, l.target.Warmup-now.Sub(l.entryChangedAt)),
	}
	if l.cold.limits(now) {
		facts.Warmup = max(facts.Warmup, l.cold.until.Sub(now))
	}
	if latency := l.latencies[route]; latency != nil {
		facts.ResponseTime, facts.ResponseTimeAge = latency.Value(), latency.Age(now)
	}
	if len(l.inFlightSince) > 0 {
		facts.SinceResponse = now.Sub(latest(l.lastResponseAt, l.inFlightSince[0]))
	}
	if !l.loadAt.IsZero() {
		facts.Reported = l.load.Running + l.load.Waiting
		facts.ReportAge = now.Sub(l.loadAt)
		facts.Slowdown = l.load.Slowdown
	}

	return facts
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// failureRateNow returns the failure rate decayed to the time now. l.mu must be held.
func (l *Link) failureRateNow(now time.Time) float64 {
	if l.failureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(l.failureRateAt)) / float64(failureHalfLife)
	if halfLives > 20 {
		return 0
	}
	rate := l.failureRate
	for ; halfLives >= 1; halfLives-- {
		rate /= 2
	}

	return rate * (1 - halfLives/2)
}

// recordStart records the start of a request.
func (l *Link) recordStart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlightSince = append(l.inFlightSince, now)
	l.rateLimit.requests++
}

// recordEnd records the result of the request that was started at the given time.
func (l *Link) recordEnd(call *Call, started, now time.Time, result *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.inFlightSince, started); i >= 0 {
		l.inFlightSince = slices.Delete(l.inFlightSince, i, i+1)
	}
	l.recordRateLimit(result, now)
	l.recordAbsence(result, now)
	if result.Cancelled && result.Status == 0 {
		// The response was no longer needed: another attempt was faster, or the query ended. The time until the cancellation is a
		// lower bound of the latency, so it is recorded only if it exceeds the average or is the first sample.
		// If no target was heard since, it says nothing about this one.
		if took, latency := now.Sub(started), l.latencies[call.Route]; (latency == nil || took > latency.Value()) && l.pool.heardSince(started) {
			l.recordLatency(call.Route, took)
		}

		return
	}
	failed := 0.0
	if result.targetFailure() {
		failed = 1
	}
	l.failureRate = l.failureRateNow(now)*(1-failureSampleWeight) + failed*failureSampleWeight
	l.failureRateAt = now
	if result.Reply.Load != nil {
		l.load, l.loadAt = *result.Reply.Load, now
	}
	if result.Status != 0 {
		l.lastResponseAt, l.endedAt = now, time.Time{}
	}
	if result.Outcome == Answered && failed == 0 {
		l.recordLatency(call.Route, now.Sub(started))
	}
}

// recordLatency adds a sample to the average latency of a route. l.mu must be held.
func (l *Link) recordLatency(route string, took time.Duration) {
	latency := l.latencies[route]
	if latency == nil {
		if len(l.latencies) >= maxTrackedRoutes {
			return
		}
		latency = &choice.AverageResponseTime{}
		l.latencies[route] = latency
	}
	latency.Observe(took, l.pool.timers.Now())
}

// markAddressReused excludes the target from new requests until its directory entry changes, because another process answers at its
// address.
func (l *Link) markAddressReused() {
	l.mu.Lock()
	l.addressReused = true
	l.mu.Unlock()
}
