// Package budget limits the extra requests that hedges and retries put on a service, over the whole fleet and without a
// coordinator.
//
// It answers a load in which the targets of many shards are slow at once, so that every instance would like to send each part
// twice. In each window of time a service may get extra requests up to a ratio of the requests for it plus a fixed allowance for
// the fleet. Each instance spends the ratio of its own requests and its share of the allowance:
//
//	w := budget.New(budget.Limits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second, Share: 1.0 / 8})
//	w.Earn(now, 1)
//	if w.Spend(now) {
//		// one extra request may be sent
//	}
//
// An instance that has just started may follow one that has spent its share already, so the share of the allowance grows from
// zero over the first window.
package budget

import (
	"sync"
	"time"
)

const (
	// slices is the number of parts that a window is counted in.
	slices = 20
	// reserve is the fraction of the limit that is kept for the error of counting in slices and for requests that arrive at
	// a target later than they were counted here.
	reserve = 0.1
)

// Limits are the bounds for one service.
type Limits struct {
	// Ratio of extra requests to requests in a window.
	Ratio float64
	// Allowance is the number of extra requests in a window that do not depend on the requests; for all instances together.
	Allowance float64
	Window    time.Duration
	// Share is the part of the allowance that this instance may spend. The shares of all instances add up to 1 at most.
	Share float64
}

// Window counts the requests of one service at one instance. It is not safe for concurrent use.
type Window struct {
	started time.Time
	slice   int64
	earned  [slices]int
	spent   [slices]int
}

// New returns a Window that starts at now.
func New(now time.Time) *Window {
	return &Window{started: now}
}

// Earn notes n requests for the service.
func (w *Window) Earn(now time.Time, limits Limits, n int) {
	w.advance(now, limits.Window)
	w.earned[w.slice%slices] += n
}

// Spend takes one extra request and reports whether the limits allow it.
func (w *Window) Spend(now time.Time, limits Limits) bool {
	w.advance(now, limits.Window)
	if float64(w.sum(&w.spent)+1) > w.limit(now, limits) {
		return false
	}
	w.spent[w.slice%slices]++

	return true
}

// Left returns the number of extra requests that may still be sent, for logs.
func (w *Window) Left(now time.Time, limits Limits) float64 {
	w.advance(now, limits.Window)

	return w.limit(now, limits) - float64(w.sum(&w.spent))
}

func (w *Window) limit(now time.Time, limits Limits) float64 {
	share := limits.Allowance * limits.Share
	if age := now.Sub(w.started); age < limits.Window {
		share *= float64(age) / float64(limits.Window)
	}

	return (1 - reserve) * (limits.Ratio*float64(w.sum(&w.earned)) + share)
}

func (w *Window) sum(counts *[slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}

	return total
}

// advance clears the slices that have passed. Spent requests stay counted for one slice longer than a window.
func (w *Window) advance(now time.Time, window time.Duration) {
	slice := int64(now.Sub(w.started) / (window / (slices - 1)))
	for i := max(w.slice+1, slice-slices+1); i <= slice; i++ {
		w.earned[i%slices], w.spent[i%slices] = 0, 0
	}
	w.slice = max(w.slice, slice)
}

// maxServices bounds the windows of a Ledger. The aim is 3,200 targets, so fewer services.
const maxServices = 4096

// Ledger holds a Window for each service. It is safe for concurrent use.
type Ledger struct {
	limits  func(service string) Limits
	started time.Time

	mu      sync.Mutex
	windows map[string]*Window
}

// NewLedger returns a Ledger of an instance that started at the given time and asks limits for the bounds in force for a
// service.
func NewLedger(started time.Time, limits func(service string) Limits) *Ledger {
	return &Ledger{limits: limits, started: started, windows: make(map[string]*Window)}
}

// Earn notes one request for each of the services.
func (l *Ledger) Earn(now time.Time, services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range services {
		if w := l.window(s); w != nil {
			w.Earn(now, l.limits(s), 1)
		}
	}
}

// Spend takes one extra request for the service and reports whether the limits allow it.
func (l *Ledger) Spend(now time.Time, service string) bool {
	limits := l.limits(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(service)

	return w != nil && w.Spend(now, limits)
}

func (l *Ledger) window(service string) *Window {
	w := l.windows[service]
	if w == nil && len(l.windows) < maxServices {
		w = New(l.started)
		l.windows[service] = w
	}

	return w
}

// Keep drops the windows of services for which keep returns false.
func (l *Ledger) Keep(keep func(service string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.windows {
		if !keep(s) {
			delete(l.windows, s)
		}
	}
}
