// Package budget is the retry budget: it limits the extra requests (hedges, retries and restarts) to the targets of a service.
//
// Each service has one token bucket. Each first attempt adds a fraction of a token, the ExtraLoad of the contract, and each
// extra request to a target removes one token:
//
//	b := budget.New(budget.WithTimers(timers))
//	b.Earn("catalogue", service.ExtraLoad, 20) // 20 first attempts
//	if b.Spend("catalogue", 1) {
//		// one hedge or retry may be sent
//	}
//
// The bucket holds at most the tokens that the traffic of the last 10 s has added, so that earlier traffic does not allow a
// burst of retries. While the service is overloaded, Spend refuses all extra requests, because they make an overload worse.
//
// With little traffic the fraction would allow almost no retries: a query of 20 shards with an ExtraLoad of 5% adds one token,
// although half of its first attempts can fail when an availability zone is lost. A bucket therefore starts with one token
// for each first attempt of the largest query, can always hold that many, and is refilled to that number when no token has
// been spent for 10 s. This allows the retry of one whole query in 10 s for each service and instance, and none where
// ExtraLoad is 0.
package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

const (
	// A bucket holds at most the tokens that were added within the last window, or its floor if that is more. Added tokens are
	// counted separately for each second.
	window        = 10 * time.Second
	windowSeconds = int64(window / time.Second)
	// tokenUnit represents one token: tokens are counted in millionths, because sums of integers are exact.
	tokenUnit = 1_000_000
	// maxFloor bounds the tokens that a bucket can hold without traffic. The largest expected queries use 150 replicas.
	maxFloor = 150
	// MaxServices bounds the number of buckets. At the bound, buckets without traffic for idleAfter are removed.
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
	hasEarned  bool // whether there was a first attempt with a fraction above 0
	overloaded bool
	// earned holds the tokens added in each of the last seconds. second is the newest of these seconds, counted from the start.
	earned [windowSeconds]int64
	second int64
	// floor is the capacity without traffic: a token for each first attempt of the largest query, at most maxFloor.
	floor int64
	// refillAt is the time from which Spend refills a bucket that has fewer tokens than floor.
	refillAt time.Time
	lastUsed time.Time
	spent    uint64
	refused  uint64
}

// Option configures a Budget.
type Option func(*Budget)

// WithTimers sets the clock of the budget.
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

// Earn adds tokens for n first attempts of a query: fraction of a token for each, at most one.
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
	if !k.hasEarned {
		k.hasEarned, k.refillAt = true, now.Add(window)
	}
	if floor := int64(min(n, maxFloor)) * tokenUnit; floor > k.floor {
		k.tokens += floor - k.floor
		k.floor = floor
	}
	k.advance(now, b.start)
	amount := int64(math.Round(min(fraction, 1)*tokenUnit)) * int64(n)
	k.earned[k.second%windowSeconds] += amount
	k.tokens += amount
	k.capTokens()
	k.lastUsed = now
}

// Spend removes n tokens and reports whether it did. It removes none if the bucket has fewer, if the service is overloaded, or
// if no first attempt of the service has added tokens yet.
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
	if k.hasEarned && k.tokens < k.floor && !now.Before(k.refillAt) {
		k.tokens = k.floor
	}
	if !k.hasEarned || k.overloaded || k.tokens < int64(n)*tokenUnit {
		k.refused += uint64(n)

		return false
	}
	k.tokens -= int64(n) * tokenUnit
	k.spent += uint64(n)
	k.refillAt = now.Add(window)

	return true
}

// SetOverloaded sets whether service is overloaded. While it is, Spend refuses all its extra requests.
func (b *Budget) SetOverloaded(service string, overloaded bool) {
	if k := b.bucket(service, b.timers.Now()); k != nil {
		k.mutex.Lock()
		k.overloaded = overloaded
		k.mutex.Unlock()
	}
}

// Statistics describes one bucket.
type Statistics struct {
	// Spent and Refused count the tokens that Spend removed and refused.
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

	return Statistics{Spent: k.spent, Refused: k.refused, Tokens: float64(k.tokens) / tokenUnit, Overloaded: k.overloaded}
}

// Dropped counts the calls of Earn and SetOverloaded that had no effect because MaxServices was reached. Spend refuses extra
// requests of a service without a bucket.
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
	k = &bucket{lastUsed: now}
	b.buckets[service] = k

	return k
}

// dropIdle removes the idle buckets and reports whether there were any. b.mutex must be held.
func (b *Budget) dropIdle(now time.Time) bool {
	before := len(b.buckets)
	for service, k := range b.buckets {
		k.mutex.Lock()
		idle := now.Sub(k.lastUsed) >= idleAfter
		k.mutex.Unlock()
		if idle {
			delete(b.buckets, service)
		}
	}

	return len(b.buckets) < before
}

// advance clears the counts of seconds that are older than the window and caps the tokens. k.mutex must be held.
func (k *bucket) advance(now, start time.Time) {
	second := int64(now.Sub(start) / time.Second)
	if second <= k.second {
		return
	}
	for i := max(k.second+1, second-windowSeconds+1); i <= second; i++ {
		k.earned[i%windowSeconds] = 0
	}
	k.second = second
	k.capTokens()
}

func (k *bucket) capTokens() {
	capacity := int64(0)
	for _, amount := range k.earned {
		capacity += amount
	}
	k.tokens = min(k.tokens, max(capacity, k.floor))
}
