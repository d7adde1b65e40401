package target

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// failureWeight is the weight of a new sample in the exponentially weighted failure rate.
	failureWeight = 0.2
	// failureDecay is the half-life of the failure rate while there are no new samples. The shortest outages of targets last a
	// few seconds.
	failureDecay = 2 * time.Second
	// maxRoutes is the maximum number of routes for which a link tracks a latency.
	maxRoutes = 64
)

// Link manages the connections to one target and records the target's latency, load and failures.
type Link struct {
	fleet   *Fleet
	id      string
	service string
	address netip.AddrPort

	mu      sync.Mutex
	target  *directory.Target
	seen    time.Time // when the directory entry last changed; its Warmup runs from then
	idle    []*conn   // oldest first
	open    int       // connections that are idle, in use, being opened, or granted to a waiter
	waiters []chan *conn
	// active holds the start times of the requests in flight, oldest first.
	active  []time.Time
	pace    map[string]*choice.Pace // latency by route
	load    Load                    // last load reported by the target
	loadAt  time.Time
	fails   float64 // failure rate as of failsAt, between 0 and 1
	failsAt time.Time
	replied time.Time // when the last response with an HTTP status was received
	retired bool      // the target was removed from the directory, or the fleet was closed
	moved   bool      // another process answers at the target's address
}

func newLink(f *Fleet, t *directory.Target) *Link {
	return &Link{
		fleet:   f,
		id:      t.ID,
		service: t.Service,
		address: t.Address,
		target:  t,
		seen:    f.timers.Now(),
		pace:    make(map[string]*choice.Pace),
	}
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
		l.seen = l.fleet.timers.Now()
	}
	if changed {
		l.moved = false
	}
	l.target = t

	return changed
}

// usable reports whether the target accepts new requests.
func (l *Link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.retired && !l.moved && !l.target.Draining
}

// retire closes the idle connections. Connections in use are closed when their requests end.
func (l *Link) retire() {
	l.mu.Lock()
	idle := l.idle
	l.idle, l.retired = nil, true
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
		InFlight:         len(l.active),
		Failures:         l.failures(now),
		Warmup:           max(0, l.target.Warmup-now.Sub(l.seen)),
	}
	if p := l.pace[route]; p != nil {
		facts.Pace, facts.PaceAge = p.Value(), p.Age(now)
	}
	if len(l.active) > 0 {
		facts.Silent = now.Sub(latest(l.replied, l.active[0]))
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

// failures returns the failure rate decayed to the time now. l.mu must be held.
func (l *Link) failures(now time.Time) float64 {
	if l.fails == 0 {
		return 0
	}
	halves := float64(now.Sub(l.failsAt)) / float64(failureDecay)
	if halves > 20 {
		return 0
	}
	f := l.fails
	for ; halves >= 1; halves-- {
		f /= 2
	}

	return f * (1 - halves/2)
}

// begin records the start of a request.
func (l *Link) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, now)
}

// end records the result of the request that was started at the given time.
func (l *Link) end(call *Call, started, now time.Time, result *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.active, started); i >= 0 {
		l.active = slices.Delete(l.active, i, i+1)
	}
	if result.Cancelled {
		// Another attempt was faster, or the caller disconnected. The time until the cancellation is a lower bound of the latency,
		// so it is recorded only if it exceeds the average or is the first sample.
		if took, p := now.Sub(started), l.pace[call.Route]; p == nil || took > p.Value() {
			l.observe(call.Route, took)
		}

		return
	}
	failed := 0.0
	if result.failed() {
		failed = 1
	}
	l.fails = l.failures(now)*(1-failureWeight) + failed*failureWeight
	l.failsAt = now
	if result.Reply.Load != nil {
		l.load, l.loadAt = *result.Reply.Load, now
	}
	if result.Status != 0 {
		l.replied = now
	}
	if result.Outcome == Answered && failed == 0 {
		l.observe(call.Route, now.Sub(started))
	}
}

// observe adds a sample to the average latency of a route. l.mu must be held.
func (l *Link) observe(route string, took time.Duration) {
	p := l.pace[route]
	if p == nil {
		if len(l.pace) >= maxRoutes {
			return
		}
		p = &choice.Pace{}
		l.pace[route] = p
	}
	p.Observe(took, l.fleet.timers.Now())
}

// noteMoved excludes the target from new requests until its directory entry changes, because another process answers at its
// address.
func (l *Link) noteMoved() {
	l.mu.Lock()
	l.moved = true
	l.mu.Unlock()
}
