// Package hedge computes the delay after which a slow target request is hedged, that is, sent a second time.
//
// It keeps a digest of the recent latencies of first attempts for each service and derives the delay from its quantiles:
//
//	h := hedge.New(hedge.WithTimers(timers), hedge.WithExtraLoad(extraLoad))
//	h.Observe("catalogue", 4*time.Millisecond)
//	delay, ok := h.Delay("catalogue")
//
// Hedging every request that is slower than quantile q sends a second copy of 1-q of the requests. The delay is the 98.5th
// percentile, at which few of the hedged requests were about to be answered, but at most 1.5 times the 90th percentile: when
// more than one request in 66 is a straggler, the 98.5th percentile is the latency of a straggler, while the 90th percentile is
// not affected by up to one straggler in 10. The delay is never below quantile 1-ExtraLoad, so that hedges alone do not exceed
// the retry budget of the service, nor below the 95th percentile.
package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// minQuantile is the lowest quantile of the latencies that is used as the delay.
	minQuantile = 0.95
	// The delay is defaultQuantile of the latencies, but at most robustFactor times their robustQuantile, which stragglers
	// affect less. Log-normal service times with a spread of 0.3 to 0.45 have their 98.5th percentile at 1.3 to 1.5 times
	// their 90th.
	defaultQuantile = 0.985
	robustQuantile  = 0.90
	robustFactor    = 1.5
	// The digest covers the last windows × period. It is long enough for a stable 95th percentile at 10 requests a second and
	// short enough to follow a change of load.
	windows = 4
	period  = 2500 * time.Millisecond
	// delayTTL is the time for which a computed delay is reused, because merging the windows for each query takes too long.
	delayTTL = 250 * time.Millisecond
	// minimumSamples is the smallest number of latencies whose 95th percentile is below their maximum.
	minimumSamples = 20
	// Latencies are recorded in units of 10 µs up to 10 s with two significant digits, which needs 14 KB for each window.
	latencyUnit     = 10 * time.Microsecond
	maxLatencyUnits = int64(10 * time.Second / latencyUnit)
	digits          = 2
	// MaxServices bounds the memory of all digests to 20 MB. The requests of further services are not hedged.
	MaxServices = 256
)

// Hedge holds the digests of all services. It is safe for concurrent use.
type Hedge struct {
	timers    *timer.Service
	extraLoad func(service string) float64
	start     time.Time
	mutex     sync.RWMutex
	digests   map[string]*digest
}

type digest struct {
	mutex sync.Mutex
	// recent holds the latencies of the last windows. window is the number of the newest one, counted from the start.
	recent [windows]*hdrhistogram.Histogram
	window int64
	merged *hdrhistogram.Histogram
	// delay and enoughSamples are the last result of Delay, computed at computedAt. quantile is the minimum quantile used.
	delay         time.Duration
	enoughSamples bool
	computedAt    time.Time
	quantile      float64
}

// Option configures a Hedge.
type Option func(*Hedge)

// WithTimers sets the clock of the digests.
func WithTimers(timers *timer.Service) Option {
	return func(h *Hedge) { h.timers = timers }
}

// WithExtraLoad sets the function that returns the ExtraLoad of a service. The default is 0.05 for all services.
func WithExtraLoad(extraLoad func(service string) float64) Option {
	return func(h *Hedge) { h.extraLoad = extraLoad }
}

// New returns a Hedge without latencies.
func New(options ...Option) *Hedge {
	h := &Hedge{digests: make(map[string]*digest), extraLoad: func(string) float64 { return 1 - minQuantile }}
	for _, option := range options {
		option(h)
	}
	if h.timers == nil {
		h.timers = timer.New()
	}
	h.start = h.timers.Now()

	return h
}

// Observe records the latencies of first attempts. The latency of an attempt that was cancelled, because its hedge was answered
// first or the deadline passed, is the time until it was cancelled: if the slowest attempts were left out, each hedge would
// lower the quantile.
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
		// RecordValue fails only for a value outside the range of the histogram, which this one is not.
		_ = d.recent[d.window%windows].RecordValue(min(max(int64(latency/latencyUnit), 1), maxLatencyUnits))
	}
}

// Delay returns the time after which a request of service may be hedged, or false if the ExtraLoad of the service is 0 or it
// has too few recent latencies.
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
	quantile := max(minQuantile, 1-extra)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.computedAt.IsZero() && now.Sub(d.computedAt) < delayTTL && d.quantile == quantile {
		return d.delay, d.enoughSamples
	}
	d.rotate(h.window(now))
	d.computedAt, d.quantile = now, quantile
	d.merged.Reset()
	for _, w := range d.recent {
		d.merged.Merge(w)
	}
	d.enoughSamples = d.merged.TotalCount() >= minimumSamples
	limit := int64(robustFactor * float64(d.merged.ValueAtQuantile(robustQuantile*100)))
	delay := min(d.merged.ValueAtQuantile(max(quantile, defaultQuantile)*100), limit)
	d.delay = time.Duration(max(delay, d.merged.ValueAtQuantile(quantile*100))) * latencyUnit

	return d.delay, d.enoughSamples
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
	d = &digest{merged: hdrhistogram.New(1, maxLatencyUnits, digits)}
	for i := range d.recent {
		d.recent[i] = hdrhistogram.New(1, maxLatencyUnits, digits)
	}
	h.digests[service] = d

	return d
}

// rotate advances the digest to window and clears the histograms that the newly started windows reuse. d.mutex must be held.
func (d *digest) rotate(window int64) {
	for i := max(d.window+1, window-windows+1); i <= window; i++ {
		d.recent[i%windows].Reset()
	}
	d.window = max(d.window, window)
}
