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
	// failureWeight is the weight of a new sample in the moving average of failures.
	failureWeight = 0.2
	// failureDecay is the time in which the average of failures halves without new ones. The shortest faults of targets last a
	// few seconds.
	failureDecay = 2 * time.Second
	// maxRoutes bounds the averages that a link keeps, one for each route.
	maxRoutes = 64
)

// Link is what the instance holds and knows of one target.
type Link struct {
	fleet   *Fleet
	id      string
	service string
	address netip.AddrPort

	mu      sync.Mutex
	target  *directory.Target
	seen    time.Time // when the entry was last changed
	idle    []*conn
	open    int
	waiters []chan *conn
	// active holds the start times of the requests in flight, oldest first.
	active  []time.Time
	pace    map[string]*choice.Pace
	load    Load
	loadAt  time.Time
	fails   float64
	failsAt time.Time
	replied time.Time
	retired bool
	moved   bool // another process answers at the address
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

// Target returns the entry of the target.
func (l *Link) Target() *directory.Target {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.target
}

// update takes a new entry of the same process and reports whether it differs from the last.
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

func (l *Link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.retired && !l.moved && !l.target.Draining
}

// retire closes the idle connections. Connections in use are closed when their request ends.
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

// Facts describes the target for the choice of a replica for a request of the named route.
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

// failures returns the moving average of failures with its decay. The lock is held.
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

// begin notes the start of a request.
func (l *Link) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, now)
}

// end notes the end of the request that began at started.
func (l *Link) end(call *Call, started, now time.Time, result *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.active, started); i >= 0 {
		l.active = slices.Delete(l.active, i, i+1)
	}
	if result.Cancelled {
		// The attempt lost to another or its caller left. How long it took so far is a lower bound of its time.
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

// observe adds a sample to the moving average of a route. The lock is held.
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

// noteMoved takes the target out of use until its entry changes, because another process answers at its address.
func (l *Link) noteMoved() {
	l.mu.Lock()
	l.moved = true
	l.mu.Unlock()
}
