// Package budget limits the extra load that hedges, retries and restarts put on the targets of a service.
//
// Each service has one token bucket. First attempts fill it at the fraction that the contract allows, and each extra target
// request takes one token:
//
//	b := budget.New(budget.WithTimers(timers))
//	b.Earn("catalogue", service.ExtraLoad, 20) // 20 first attempts
//	if b.Spend("catalogue", 1) {
//		// one hedge or retry may be sent
//	}
//
// The bucket holds at most what the last 10 s of traffic earned, so that a quiet hour does not pay for a burst of retries.
// While the service is overloaded the bucket is closed, because extra load makes an overload worse.
//
// At small traffic the fraction would round to no retry at all: a query of 20 shards and an ExtraLoad of 5% earns one token,
// although the loss of an availability zone can cost it half of its first attempts. A bucket therefore starts with one token
// for each first attempt of its largest query, can always hold that many, and is filled up to them after 10 s without
// spending. This allows the retry of one whole query in 10 s for each service and instance, and none where ExtraLoad is 0.
package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// window is the traffic that a bucket can hold, kept in slots of one second.
	window = 10 * time.Second
	slots  = int64(window / time.Second)
	// token is the unit in which fractions of tokens are counted. Integers keep sums of fractions exact.
	token = 1_000_000
	// maxFloor bounds the tokens that do not depend on traffic. Queries of 150 replicas are the largest expected.
	maxFloor = 150
	// MaxServices bounds the buckets. At the bound, buckets without traffic for idleAfter are dropped.
	MaxServices = 4096
	idleAfter   = 10 * time.Minute
)

// Budget holds the buckets of all services. It is safe for concurrent use.
type Budget struct {
	timers  *timer.Service
	start   time.Time
	mutex   sync.RWMutex
	buckets map[string]*bucket
	dropped atomic.Uint64
}

type bucket struct {
	mutex      sync.Mutex
	tokens     int64
	open       bool // some first attempt had a fraction above 0
	overloaded bool
	// earned holds the earnings of the last seconds, and second is the newest of them, counted from the start.
	earned [slots]int64
	second int64
	// floor is what the bucket can always hold: a token for each first attempt of the largest query.
	floor int64
	// grantAt is the time from which a bucket below the floor is filled up to it.
	grantAt time.Time
	used    time.Time
	spent   uint64
	refused uint64
}

// Option configures a Budget.
type Option func(*Budget)

// WithTimers makes the budget take the time from timers.
func WithTimers(timers *timer.Service) Option {
	return func(b *Budget) { b.timers = timers }
}

// New returns a Budget without buckets.
func New(options ...Option) *Budget {
	b := &Budget{buckets: make(map[string]*bucket)}
	for _, option := range options {
		option(b)
	}
	if b.timers == nil {
		b.timers = timer.New()
	}
	b.start = b.timers.Now()

	return b
}

// Earn adds fraction tokens for each of n first attempts.
func (b *Budget) Earn(service string, fraction float64, n int) {
	if n <= 0 || !(fraction > 0) {
		return
	}
	now := b.timers.Now()
	k := b.bucket(service, now)
	if k == nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.open {
		k.open, k.grantAt = true, now.Add(window)
	}
	if floor := int64(min(n, maxFloor)) * token; floor > k.floor {
		k.tokens += floor - k.floor
		k.floor = floor
	}
	k.advance(now, b.start)
	amount := int64(math.Round(min(fraction, 1)*token)) * int64(n)
	k.earned[k.second%slots] += amount
	k.tokens += amount
	k.limit()
	k.used = now
}

// Spend takes n tokens and reports whether that many were there. It takes none if there were fewer, if the service is
// overloaded, or if the service has earned nothing yet.
func (b *Budget) Spend(service string, n int) bool {
	if n <= 0 {
		return true
	}
	b.mutex.RLock()
	k := b.buckets[service]
	b.mutex.RUnlock()
	if k == nil {
		return false
	}
	now := b.timers.Now()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.advance(now, b.start)
	if k.open && k.tokens < k.floor && !now.Before(k.grantAt) {
		k.tokens = k.floor
	}
	if !k.open || k.overloaded || k.tokens < int64(n)*token {
		k.refused += uint64(n)

		return false
	}
	k.tokens -= int64(n) * token
	k.spent += uint64(n)
	k.grantAt = now.Add(window)

	return true
}

// SetOverloaded closes the bucket of service while overloaded is true.
func (b *Budget) SetOverloaded(service string, overloaded bool) {
	if k := b.bucket(service, b.timers.Now()); k != nil {
		k.mutex.Lock()
		k.overloaded = overloaded
		k.mutex.Unlock()
	}
}

// Statistics describes one bucket.
type Statistics struct {
	// Spent and Refused count the tokens that Spend gave and denied.
	Spent   uint64
	Refused uint64
	// Tokens is the number of tokens left.
	Tokens     float64
	Overloaded bool
}

// Statistics returns the state of the bucket of service.
func (b *Budget) Statistics(service string) Statistics {
	b.mutex.RLock()
	k := b.buckets[service]
	b.mutex.RUnlock()
	if k == nil {
		return Statistics{}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.advance(b.timers.Now(), b.start)

	return Statistics{Spent: k.spent, Refused: k.refused, Tokens: float64(k.tokens) / token, Overloaded: k.overloaded}
}

// Dropped counts the calls that found no bucket because MaxServices was reached. Spend is then refused.
func (b *Budget) Dropped() uint64 {
	return b.dropped.Load()
}

func (b *Budget) bucket(service string, now time.Time) *bucket {
	b.mutex.RLock()
	k := b.buckets[service]
	b.mutex.RUnlock()
	if k != nil {
		return k
	}

	b.mutex.Lock()
	defer b.mutex.Unlock()
	if k = b.buckets[service]; k != nil {
		return k
	}
	if len(b.buckets) >= MaxServices && !b.dropIdle(now) {
		b.dropped.Add(1)

		return nil
	}
	k = &bucket{used: now}
	b.buckets[service] = k

	return k
}

// dropIdle removes idle buckets and reports whether there were any.
func (b *Budget) dropIdle(now time.Time) bool {
	before := len(b.buckets)
	for service, k := range b.buckets {
		k.mutex.Lock()
		idle := now.Sub(k.used) >= idleAfter
		k.mutex.Unlock()
		if idle {
			delete(b.buckets, service)
		}
	}

	return len(b.buckets) < before
}

// advance clears the slots of the seconds that have passed and applies the limit that results.
func (k *bucket) advance(now, start time.Time) {
	second := int64(now.Sub(start) / time.Second)
	if second <= k.second {
		return
	}
	for i := max(k.second+1, second-slots+1); i <= second; i++ {
		k.earned[i%slots] = 0
	}
	k.second = second
	k.limit()
}

func (k *bucket) limit() {
	capacity := int64(0)
	for _, amount := range k.earned {
		capacity += amount
	}
	k.tokens = min(k.tokens, max(capacity, k.floor))
}
