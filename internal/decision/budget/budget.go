// Package budget implements the retry budget. It limits the hedges and retries (together: extra requests) that a whole fleet sends
// to a service, although the instances do not communicate about them.
//
// The budget is designed for overload in which the targets of many shards are slow at once and every instance would send each
// request twice. In each time window, a service may receive extra requests up to a ratio of its first requests plus a fixed
// allowance for the fleet. Each instance may use the ratio of the requests that it sent itself and its share of the allowance:
//
//	limits := budget.Limits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second, Share: 1.0 / 8}
//	w := budget.New(now)
//	w.CountFirst(now, limits, 1)
//	if w.AllowExtra(now, limits) {
//		// one extra request may be sent
//	}
//
// A new instance may replace one that has already used its share of the allowance. The share of a new instance therefore grows
// from zero to its full size over the first window.
package budget

import (
	"sync"
	"time"
)

const (
	// sliceCount is the number of slices of time that a Window keeps counts for.
	sliceCount = 20
	// reservedFraction is the fraction of the limit that is left unused, because counting in slices is inexact and requests
	// arrive at a target later than they are counted here.
	reservedFraction = 0.1
)

// Limits is the budget of one service.
type Limits struct {
	// Ratio is the allowed number of extra requests for each first request in a window.
	Ratio float64
	// Allowance is the number of extra requests that all instances together may send in a window regardless of the number of first
	// requests.
	Allowance float64
	Window    time.Duration
	// Share is the fraction of the allowance that this instance may use. The shares of all instances add up to at most 1.
	Share float64
}

// Window counts the first requests and the extra requests that one instance sends to one service, over a sliding window of time. It
// is not safe for concurrent use.
type Window struct {
	started       time.Time
	currentSlice  int64
	firstRequests [sliceCount]int
	extraRequests [sliceCount]int
}

// New returns a Window that starts at now.
func New(now time.Time) *Window {
	return &Window{started: now}
}

// CountFirst counts n first requests to the service; they raise the limit for extra requests.
func (w *Window) CountFirst(now time.Time, limits Limits, n int) {
	w.advance(now, limits.Window)
	w.firstRequests[w.currentSlice%sliceCount] += n
}

// AllowExtra reports whether the limits allow one more extra request, and counts it if they do.
func (w *Window) AllowExtra(now time.Time, limits Limits) bool {
	w.advance(now, limits.Window)
	if float64(w.sum(&w.extraRequests)+1) > w.limit(now, limits) {
		return false
	}
	w.extraRequests[w.currentSlice%sliceCount]++

	return true
}

// Left returns the number of extra requests that the limits still allow. It is meant for logs.
func (w *Window) Left(now time.Time, limits Limits) float64 {
	w.advance(now, limits.Window)

	return w.limit(now, limits) - float64(w.sum(&w.extraRequests))
}

// limit returns the number of extra requests that are allowed in the window that ends now.
func (w *Window) limit(now time.Time, limits Limits) float64 {
	allowance := limits.Allowance * limits.Share
	if age := now.Sub(w.started); age < limits.Window {
		allowance *= float64(age) / float64(limits.Window)
	}

	return (1 - reservedFraction) * (limits.Ratio*float64(w.sum(&w.firstRequests)) + allowance)
}

func (w *Window) sum(counts *[sliceCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}

	return total
}

// advance clears the slices that have left the window. A slice lasts 1/(sliceCount-1) of the window, so that a request stays
// counted for at least a whole window and at most one slice longer.
func (w *Window) advance(now time.Time, window time.Duration) {
	slice := int64(now.Sub(w.started) / (window / (sliceCount - 1)))
	for i := max(w.currentSlice+1, slice-sliceCount+1); i <= slice; i++ {
		w.firstRequests[i%sliceCount], w.extraRequests[i%sliceCount] = 0, 0
	}
	w.currentSlice = max(w.currentSlice, slice)
}

// maxServices bounds the memory of a Ledger. The design goal is 3,200 targets, and there are fewer services than targets.
const maxServices = 4096

// Ledger keeps a Window for each service. It is safe for concurrent use.
type Ledger struct {
	limitsOf func(service string) Limits
	started  time.Time

	mu      sync.Mutex
	windows map[string]*Window
}

// NewLedger returns a Ledger for an instance that started at the given time. limitsOf returns the limits of a service that are
// currently in force; it is called for every request.
func NewLedger(started time.Time, limitsOf func(service string) Limits) *Ledger {
	return &Ledger{limitsOf: limitsOf, started: started, windows: make(map[string]*Window)}
}

// CountFirst counts one first request to each of the services.
func (l *Ledger) CountFirst(now time.Time, services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range services {
		if w := l.window(s); w != nil {
			w.CountFirst(now, l.limitsOf(s), 1)
		}
	}
}

// AllowExtra reports whether the limits of the service allow one more extra request, and counts it if they do.
func (l *Ledger) AllowExtra(now time.Time, service string) bool {
	limits := l.limitsOf(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(service)

	return w != nil && w.AllowExtra(now, limits)
}

// window returns the window of the service, which it creates if needed. It returns nil if there are maxServices windows already.
// l.mu must be held.
func (l *Ledger) window(service string) *Window {
	w := l.windows[service]
	if w == nil && len(l.windows) < maxServices {
		w = New(l.started)
		l.windows[service] = w
	}

	return w
}

// Retain removes the windows of the services for which keep returns false.
func (l *Ledger) Retain(keep func(service string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.windows {
		if !keep(s) {
			delete(l.windows, s)
		}
	}
}
