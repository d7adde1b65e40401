// Package control keeps an instance's copy of the fleet's shared state up to date: the configuration in force, the
// registered instances and the directory of targets.
//
// This state is kept in the platform's store. Leadership elects one instance, the leader, that reads it for the fleet: the
// configuration, by means of Configuration, and the registry of targets, by means of Targets, which it also mirrors in the store. Its
// Feed passes the state on to the other instances, whose Fleet follows the leader. A session with the leader is also the registration
// of an instance:
//
//	fleet := control.NewFleet(store, self, timers, control.WithFollowing(following))
//	configuration := control.NewConfiguration(source, timers, fleet.PollTime, control.WithFleet(fleet))
//
// An instance that cannot follow the leader reads the store itself: Configuration and Fleet long-poll it for changes, and Registration
// keeps the entry of the instance there. While the store is unavailable or returns data that cannot be decoded, the last valid state
// stays in use. Gate limits the calls that an instance makes meanwhile.
package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// Error is the class of the errors of this package.
var Error = errs.Class("control")

// ErrOthersChanged means that a long poll for the configuration has ended because the operators have changed something else that is read
// together with it.
var ErrOthersChanged = errors.New("the operators have changed something other than the configuration")

// ErrCompacted means that the store has compacted its history past the requested revision. Changes may have been missed, so the
// full state has to be read again.
var ErrCompacted = errors.New("the store has discarded its history")

const (
	// minimumBackoff and maximumBackoff bound the delay before a failed call is retried. The retries of a whole fleet must not
	// exceed the store's rate limit when the store recovers: 80 instances at one call each half second make 160 calls a second.
	minimumBackoff = 50 * time.Millisecond
	maximumBackoff = 500 * time.Millisecond
	// callTimeout is the timeout of a call other than a long poll. The store usually answers in 4 ms.
	callTimeout = 700 * time.Millisecond
	// passedOnTimeout is how long an instance that follows the leader waits for a newer configuration that a peer has, before it reads
	// the store.
	passedOnTimeout = 300 * time.Millisecond
	// readMargin is the part of a bound that is left for an instance to read the store itself, including overdueSpread.
	readMargin = 500 * time.Millisecond
)

// ConfigurationResult is the result of a read or a long poll of the stored configuration.
type ConfigurationResult struct {
	// Table is the decoded configuration, nil if none is stored or if it has not changed.
	Table *route.Table
	// Fault is the reason why the stored configuration was rejected, nil if it is valid.
	Fault error
	// Revision is the store's revision at the time of the answer.
	Revision uint64
	// Value is the form of the configuration that is passed on to other instances, nil if it is not valid. It is the stored form, except
	// that client accounts have the hashes of their keys in place of the keys.
	Value []byte
	// Evacuated are the evacuated zones, nil if the result says nothing about them.
	Evacuated *Evacuation
}

// ConfigurationSource reads the operators' configuration from the store. The function fields must be set before the first use.
type ConfigurationSource struct {
	// Read returns the configuration that is stored now.
	Read func(ctx context.Context) (ConfigurationResult, error)
	// Wait is a long poll: it returns the first change after a revision, or a nil Table if there is none within wait.
	Wait func(ctx context.Context, after uint64, wait time.Duration) (ConfigurationResult, error)
	// Decode decodes a configuration in its stored form, or in the form that is passed on. It sets Table, Fault and Value. It may be nil if
	// no configuration is received from other instances.
	Decode func(value []byte) ConfigurationResult
	// ReadsZones is set if each result of Read has the evacuated zones.
	ReadsZones bool
}

// Configuration watches the stored configuration and brings newer versions into force.
type Configuration struct {
	source    ConfigurationSource
	timers    *timer.Service
	log       *event.Log
	pollTime  func() time.Duration
	onAdopted []func(*route.Table)
	onStored  func(*StoredConfiguration)
	onZones   func(Evacuation)
	usesStore func() (bool, <-chan struct{})
	current   atomic.Pointer[route.Table]
	health    storeHealth
	refreshCh chan struct{}
	// confirmation is that of the configuration in force. Once it is older than maximumAge, a change may be overdue.
	confirmation confirmation
	maximumAge   time.Duration
	// wanted is the newest version that another instance is known to have.
	wanted atomic.Uint64
	// batchDelay is the pause between a change and the next long poll. Changes within it are fetched by one call.
	batchDelay time.Duration
	isOlder    func(version, inForce uint64) bool
	mu         sync.Mutex // serializes the adoption of new versions
}

// ConfigurationOption configures a Configuration.
type ConfigurationOption func(*Configuration)

// WithConfigurationLog sets the event log.
func WithConfigurationLog(log *event.Log) ConfigurationOption {
	return func(c *Configuration) { c.log = log }
}

// WithBatchDelay sets the pause between a change and the next long poll, so that changes in quick succession cost one call.
func WithBatchDelay(delay time.Duration) ConfigurationOption {
	return func(c *Configuration) { c.batchDelay = delay }
}

// WithApplyBound sets the time within which a change of the stored configuration has to be in force. 0, the default, stands for none.
func WithApplyBound(bound time.Duration) ConfigurationOption {
	return func(c *Configuration) { c.maximumAge = maximumAge(bound) }
}

// WithOlder replaces the comparison by which a version older than the one in force is rejected.
func WithOlder(isOlder func(version, inForce uint64) bool) ConfigurationOption {
	return func(c *Configuration) { c.isOlder = isOlder }
}

// OnAdopted adds a callback that receives each configuration that comes into force.
func OnAdopted(callback func(*route.Table)) ConfigurationOption {
	return func(c *Configuration) { c.onAdopted = append(c.onAdopted, callback) }
}

// WithFleet makes the instance long-poll the store only while it does not follow the leader, which passes the configuration on. Each
// configuration that comes into force is passed on to the instances that follow this one.
func WithFleet(f *Fleet) ConfigurationOption {
	return func(c *Configuration) {
		c.usesStore = f.UsesStore
		c.onStored = f.feed.SetConfiguration
		c.onZones, f.needsZones = f.observeEvacuation, c.source.ReadsZones
		f.feed.configurationAge = c.Age
	}
}

// NewConfiguration returns a watcher of source. Before each long poll, it calls pollTime for the maximum duration of that poll.
func NewConfiguration(
	source ConfigurationSource, timers *timer.Service, pollTime func() time.Duration, options ...ConfigurationOption,
) *Configuration {
	c := &Configuration{
		source: source, timers: timers, pollTime: pollTime, refreshCh: make(chan struct{}, 1),
		isOlder:    func(version, inForce uint64) bool { return version < inForce },
		onStored:   func(*StoredConfiguration) {},
		onZones:    func(Evacuation) {},
		maximumAge: unbounded,
		usesStore:  func() (bool, <-chan struct{}) { return true, nil },
	}
	for _, option := range options {
		option(c)
	}
	c.health = storeHealth{timers: timers, log: func() *event.Log { return c.log }, component: "Configuration"}

	return c
}

// Current returns the configuration in force, nil if none has been read yet.
func (c *Configuration) Current() *route.Table { return c.current.Load() }

// Refresh makes Run read the store immediately, even during a long poll. It is called when a peer has a newer version.
func (c *Configuration) Refresh() {
	select {
	case c.refreshCh <- struct{}{}:
	default:
	}
}

// Check reads the store once and adopts the result, independently of the long poll of Run.
func (c *Configuration) Check(ctx context.Context) error {
	started := c.timers.Now()
	stored, err := c.read(ctx)
	if err == nil {
		c.adopt(stored)
		c.confirmation.advance(started)
	}

	return err
}

// RefreshIfOlder makes Run read the store if version, which a peer reports, is newer than the one in force.
func (c *Configuration) RefreshIfOlder(version uint64) {
	if version <= c.Version() {
		return
	}
	for {
		wanted := c.wanted.Load()
		if version <= wanted || c.wanted.CompareAndSwap(wanted, version) {
			break
		}
	}
	c.Refresh()
}

// Version returns the version in force, 0 if there is none.
func (c *Configuration) Version() uint64 {
	if current := c.current.Load(); current != nil {
		return current.Version()
	}

	return 0
}

// Offer adopts a configuration that the leader has passed on, if it is valid and newer than the one in force.
func (c *Configuration) Offer(stored *StoredConfiguration) {
	// The value that is passed on is that of Decode, because a leader of an older version does not replace keys by their hashes.
	c.adopt(c.source.Decode(stored.Value))
}

// Run watches the configuration until ctx is done.
func (c *Configuration) Run(ctx context.Context) error {
	revision, canPoll := uint64(0), false
	backoff := newBackoff(c.timers)
	for ctx.Err() == nil {
		if c.Current() != nil && !c.awaitTurn(ctx) {
			canPoll = false
		}
		var stored ConfigurationResult
		var err error
		confirmedAt := c.timers.Now()
		if canPoll {
			stored, err = c.longPoll(ctx, revision)
			confirmedAt = c.timers.Now()
		} else {
			stored, err = c.read(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, errRefresh), errors.Is(err, ErrCompacted), errors.Is(err, ErrOthersChanged):
			canPoll = false

			continue
		case err != nil:
			// Read the full state next: a long poll might miss changes that were made during the failure.
			canPoll = false
			c.health.recordFailure(err)
			backoff.sleep(ctx)

			continue
		}
		c.health.recordSuccess()
		backoff.reset()
		c.adopt(stored)
		c.confirmation.advance(confirmedAt)
		if canPoll && stored.Table != nil {
			c.waitBatchDelay(ctx)
		}
		revision, canPoll = stored.Revision, true
	}

	return ctx.Err()
}

// awaitTurn waits while the instance follows the leader or waits for one, unless a version that another instance has does not arrive,
// or no confirmation arrives: that must not depend on a leader being elected and reached in time. It returns false if it has waited,
// because changes may have been missed meanwhile.
func (c *Configuration) awaitTurn(ctx context.Context) (atOnce bool) {
	atOnce = true
	for {
		usesStore, changed := c.usesStore()
		if usesStore {
			return atOnce
		}
		atOnce = false
		select {
		case <-changed:
			continue
		case <-c.timers.After(c.untilOverdue()):
			if c.isOverdue() {
				return false
			}

			continue
		case <-c.refreshCh:
		case <-ctx.Done():
			return false
		}
		// The leader usually passes the version on within moments.
		select {
		case <-c.timers.After(passedOnTimeout):
		case <-ctx.Done():
			return false
		}
		if wanted := c.wanted.Load(); wanted == 0 || wanted > c.Version() {
			return false
		}
	}
}

func (c *Configuration) waitBatchDelay(ctx context.Context) {
	select {
	case <-c.timers.After(c.batchDelay):
	case <-ctx.Done():
	}
}

func (c *Configuration) read(ctx context.Context) (ConfigurationResult, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.source.Read(ctx)
}

var errRefresh = errors.New("the long poll was cancelled to read the store again")

func (c *Configuration) longPoll(ctx context.Context, revision uint64) (stored ConfigurationResult, err error) {
	wait := c.pollTime()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go c.refreshOnceOverdue(ctx)
	_, _, err = pollUntilRefresh(ctx, c.timers, c.refreshCh, wait, func(ctx context.Context) ([]Entry, uint64, error) {
		var err error
		stored, err = c.source.Wait(ctx, revision, wait)

		return nil, 0, err
	})

	return stored, err
}

// refreshOnceOverdue ends a long poll once a change may be overdue. To an instance that reads the store itself, a dead connection looks like
// a store without changes. The leader's long polls are never ended, because it also reads the configuration each second.
func (c *Configuration) refreshOnceOverdue(ctx context.Context) {
	for {
		select {
		case <-c.timers.After(c.untilOverdue()):
		case <-ctx.Done():
			return
		}
		if c.isOverdue() {
			c.Refresh()

			return
		}
	}
}

// adopt brings a stored configuration into force if it is valid and newer than the one in force.
func (c *Configuration) adopt(stored ConfigurationResult) {
	if stored.Evacuated != nil {
		c.onZones(*stored.Evacuated)
	}
	if stored.Fault != nil {
		c.log.Log(event.ConfigurationRejected, "Revision", stored.Revision, "Error", stored.Fault)

		return
	}
	if stored.Table == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	switch {
	case current != nil && c.isOlder(stored.Table.Version(), current.Version()):
		c.log.Log(event.ConfigurationOlder, "Version", stored.Table.Version(), "InForce", current.Version())

		return
	case current != nil && stored.Table.Version() == current.Version():
		return
	}
	c.current.Store(stored.Table)
	if stored.Value != nil {
		c.onStored(&StoredConfiguration{Version: stored.Table.Version(), Value: stored.Value})
	}
	c.log.Log(event.ConfigurationAdopted, "Version", stored.Table.Version(), "Revision", stored.Revision,
		"Routes", len(stored.Table.Routes()))
	for _, callback := range c.onAdopted {
		callback(stored.Table)
	}
}

// backoff is an exponential backoff with jitter for failed calls.
type backoff struct {
	timers *timer.Service
	delay  time.Duration
}

func newBackoff(timers *timer.Service) *backoff {
	return &backoff{timers: timers, delay: minimumBackoff}
}

func (b *backoff) reset() { b.delay = minimumBackoff }

// sleep waits for 0.5 to 1.5 times the current delay, so that the retries of many instances are spread over time, and doubles it.
func (b *backoff) sleep(ctx context.Context) {
	jittered := b.delay/2 + rand.N(b.delay)
	b.delay = min(2*b.delay, maximumBackoff)
	select {
	case <-b.timers.After(jittered):
	case <-ctx.Done():
	}
}

// storeHealth logs when the store becomes unavailable to one component, and when it recovers.
type storeHealth struct {
	timers           *timer.Service
	log              func() *event.Log
	component        string
	unavailableSince time.Time
}

func (h *storeHealth) recordFailure(err error) {
	if h.unavailableSince.IsZero() {
		h.unavailableSince = h.timers.Now()
		h.log().Log(event.StoreUnavailable, "Part", h.component, "Error", err)
	}
}

// recordSuccess records a successful call, which may end an outage.
func (h *storeHealth) recordSuccess() {
	if !h.unavailableSince.IsZero() {
		h.log().Log(event.StoreReturned, "Part", h.component, "After", h.timers.Since(h.unavailableSince))
		h.unavailableSince = time.Time{}
	}
}
