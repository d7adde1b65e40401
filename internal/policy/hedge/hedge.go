// Package hedge decides when a second copy of a slow target request is worth its load.
//
// It keeps a digest of recent times for each service and returns one of its quantiles. The owner of a target keeps the times
// for which requests hold a slot, and tells the sender of an attempt that holds one for longer:
//
//	held := hedge.New(hedge.WithTimers(timers), hedge.WithExtraLoad(extraLoad), hedge.WithHolds())
//	held.ObserveHeld("catalogue", 4*time.Millisecond, true)
//	late, ok := held.Delay("catalogue")
//
// The time in a slot has no wait in it, so that it tells a straggler from an attempt that only waited. The sender keeps the
// ages of first attempts, which have both in them, for attempts of which their owner tells nothing: a paused owner, or one
// that cannot be reached any more.
//
// Hedging every request that is slower than quantile q sends a second copy of 1-q of the requests. The delay is a high
// quantile (the 99.5th of times in a slot, the 98.5th of ages), which repeats few requests that were about to be answered, but
// at most 1.5 times the 90th percentile: when more than one request in 200 or 66 is a straggler, the high quantile is the time
// of a straggler, while the 90th percentile holds up to one in 10. The delay is never below quantile 1-ExtraLoad, so
// that hedges alone do not need more than the budget of the service gives, nor below the 95th percentile.
//
// The state is at most MaxServices digests over the last 10 s. Package budget bounds the hedges.
package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// earliest is the lowest quantile that is hedged.
	earliest = 0.95
	// sturdy is the quantile that holds up to one straggler in 10.
	sturdy = 0.90
	// The digest covers the last windows × period. It is long enough for a stable 95th percentile at 10 requests a second and
	// short enough to follow a change of load.
	windows = 4
	period  = 2500 * time.Millisecond
	// refresh is the time for which a computed delay is used, because merging the windows takes too long for each query.
	refresh = 250 * time.Millisecond
	// minimumSamples is the smallest number of latencies that has a 95th percentile below its maximum.
	minimumSamples = 20
	// Latencies are recorded in units of 10 µs up to 10 s with two significant digits, which needs 14 KB for each window.
	unit    = 10 * time.Microsecond
	highest = int64(10 * time.Second / unit)
	digits  = 2
	// MaxServices bounds the digests to 20 MB. Services beyond it are not hedged.
	MaxServices = 256
)

// The rules. Log-normal service times with a spread of 0.3 to 0.45 have their 98.5th percentile at 1.3 to 1.5 times their 90th,
// and their 99.5th at 1.5 to 1.8 times.
var (
	ages  = rule{usual: 0.985, factor: 1.5}
	holds = rule{usual: 0.995, factor: 1.5}
)

// Hedge holds the digests of all services. It is safe for concurrent use.
type Hedge struct {
	timers    *timer.Service
	extraLoad func(service string) float64
	rule      rule
	start     time.Time
	mutex     sync.RWMutex
	digests   map[string]*digest
}

type digest struct {
	mutex sync.Mutex
	// recent holds the windows; window is the number of the newest one, counted from the start.
	recent [windows]*hdrhistogram.Histogram
	window int64
	merged *hdrhistogram.Histogram
	// delay and known are the last result, computed at the time at for quantile.
	delay    time.Duration
	known    bool
	at       time.Time
	quantile float64
}

// rule is the quantile that is hedged, unless it exceeds factor times the quantile sturdy.
type rule struct{ usual, factor float64 }

// Option configures a Hedge.
type Option func(*Hedge)

// WithTimers makes the digests rotate by timers.
func WithTimers(timers *timer.Service) Option {
	return func(h *Hedge) { h.timers = timers }
}

// WithExtraLoad sets the function that returns the ExtraLoad of a service. Without it, the 95th percentile is used for all.
func WithExtraLoad(extraLoad func(service string) float64) Option {
	return func(h *Hedge) { h.extraLoad = extraLoad }
}

// WithHolds makes the Hedge judge times in a slot, for the owners of targets, and not the ages of attempts at their senders.
func WithHolds() Option {
	return func(h *Hedge) { h.rule = holds }
}

// New returns a Hedge without latencies.
func New(options ...Option) *Hedge {
	h := &Hedge{digests: make(map[string]*digest), rule: ages, extraLoad: func(string) float64 { return 1 - earliest }}
	for _, option := range options {
		option(h)
	}
	if h.timers == nil {
		h.timers = timer.New()
	}
	h.start = h.timers.Now()

	return h
}

// Observe records the latencies of first attempts. For an attempt that was cancelled because a hedge won or the time was
// over, the time until then is recorded as well: leaving out the slowest attempts would lower the quantile with each hedge.
func (h *Hedge) Observe(service string, latencies ...time.Duration) {
	d := h.digest(service)
	if d == nil {
		return
	}
	now := h.timers.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rotate(h.window(now))
	for _, latency := range latencies {
		// The value is within the range of the histogram, which is the only cause of an error.
		_ = d.recent[d.window%windows].RecordValue(min(max(int64(latency/unit), 1), highest))
	}
}

// ObserveHeld records the time that a request held a slot. A cancelled request counts only if it was late, because it would
// have held the slot for longer.
func (h *Hedge) ObserveHeld(service string, held time.Duration, ended bool) {
	if !ended {
		if late, ok := h.Delay(service); ok && held < late {
			return
		}
	}
	h.Observe(service, held)
}

// Delay returns the time after which a request of service may be hedged, or false if the service has no extra load or too
// few recent latencies.
func (h *Hedge) Delay(service string) (time.Duration, bool) {
	extra := h.extraLoad(service)
	if !(extra > 0) {
		return 0, false
	}
	h.mutex.RLock()
	d := h.digests[service]
	h.mutex.RUnlock()
	if d == nil {
		return 0, false
	}
	now := h.timers.Now()
	quantile := max(earliest, 1-extra)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.at.IsZero() && now.Sub(d.at) < refresh && d.quantile == quantile {
		return d.delay, d.known
	}
	d.rotate(h.window(now))
	d.at, d.quantile = now, quantile
	d.merged.Reset()
	for _, w := range d.recent {
		d.merged.Merge(w)
	}
	d.known = d.merged.TotalCount() >= minimumSamples
	limit := int64(h.rule.factor * float64(d.merged.ValueAtQuantile(sturdy*100)))
	delay := min(d.merged.ValueAtQuantile(max(quantile, h.rule.usual)*100), limit)
	d.delay = time.Duration(max(delay, d.merged.ValueAtQuantile(quantile*100))) * unit

	return d.delay, d.known
}

func (h *Hedge) window(now time.Time) int64 {
	return int64(now.Sub(h.start) / period)
}

func (h *Hedge) digest(service string) *digest {
	h.mutex.RLock()
	d := h.digests[service]
	h.mutex.RUnlock()
	if d != nil {
		return d
	}

	h.mutex.Lock()
	defer h.mutex.Unlock()
	if d = h.digests[service]; d != nil || len(h.digests) >= MaxServices {
		return d
	}
	d = &digest{merged: hdrhistogram.New(1, highest, digits)}
	for i := range d.recent {
		d.recent[i] = hdrhistogram.New(1, highest, digits)
	}
	h.digests[service] = d

	return d
}

// rotate clears the windows that have passed.
func (d *digest) rotate(window int64) {
	for i := max(d.window+1, window-windows+1); i <= window; i++ {
		d.recent[i%windows].Reset()
	}
	d.window = max(d.window, window)
}
