package snapshot

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Bounds on the memory of a Catalog.
const (
	// MaxTargets bounds the targets of a Catalog. It is five times the number of replicas expected in two years. Statistics
	// counts what is dropped at this bound.
	MaxTargets = 16384
	// MaxShards bounds the shards of one version, because a Pin allocates an entry for each. Holdings of a version with more
	// shards are ignored.
	MaxShards = 4096
	// MaxVersions bounds the versions in the ranking of one service. If a service has more, the ones whose coverage
	// has the lowest upper bound are left out (see candidates). A rollout has two or three versions.
	MaxVersions = 16
	// maxCachedRankings bounds the cached rankings, one per service. When it is reached, the cache is cleared. Only configured
	// service names are passed to Pin.
	maxCachedRankings = 4096
)

// withdrawalHoldDown is the time after a refusal during which reports of the target cannot make the refused version usable again.
// Reports lag: without the hold-down, the report that accompanies the refusal would restore the version at once. The hold-down
// spans two status polls.
const withdrawalHoldDown = 2 * time.Second

// drainHoldDown is the minimum time from the last report of a drain until another report of the same process can end the drain. A
// reply that was in transit when the drain began carries an older report. The delay of such a reply is bounded by the deadline of
// its query, which is normally far below 2 s.
const drainHoldDown = 2 * time.Second

// Catalog stores the index versions that each target holds. It is safe for concurrent use.
type Catalog struct {
	timers *timer.Service

	mutex   sync.RWMutex
	targets map[netip.AddrPort]*targetState
	// leaving holds the addresses that the platform's list marks as leaving.
	leaving set.Set[netip.AddrPort]
	// generation is incremented by every change that can affect a ranking, which invalidates the cache. It is written under mutex.
	generation atomic.Uint64
	dropped    atomic.Uint64

	cacheMutex sync.RWMutex
	// cache holds the last ranking of each service.
	cache map[string]*ranking
}

// targetState is the last report of a target and what is derived from it. All fields but lastReportAt are guarded by the mutex of
// the Catalog.
type targetState struct {
	incarnation uint64
	service     string
	draining    bool
	// drainReportedAt is the time of the last report that the target drains.
	drainReportedAt time.Time
	// reported holds the holdings as the target reported them.
	reported []target.Holding
	// usable contains the elements of reported that queries may use: all but duplicates and holdings with an invalid shard
	// number, of a withdrawn version or of a version with more than MaxShards shards.
	usable []target.Holding
	// withdrawn maps each refused version to the end of its hold-down.
	withdrawn map[uint64]time.Time
	// nextHoldDownEnd is the earliest time in withdrawn, or zero if withdrawn is empty.
	nextHoldDownEnd time.Time
	// lastReportAt is the time of the last report in Unix nanoseconds.
	lastReportAt atomic.Int64
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithTimers sets the source of the time.
func WithTimers(timers *timer.Service) Option {
	return func(c *Catalog) { c.timers = timers }
}

// New returns an empty Catalog.
func New(options ...Option) *Catalog {
	c := &Catalog{targets: make(map[netip.AddrPort]*targetState), cache: make(map[string]*ranking)}
	for _, option := range options {
		option(c)
	}
	if c.timers == nil {
		c.timers = timer.New()
	}

	return c
}

// Learn processes a report of the target at address. The report that arrives last determines what the target holds and whether it
// drains, with two exceptions: within the same incarnation, a drain lasts for at least 2 s after it was last reported, and a
// withdrawn version is not restored for 2 s (see Withdraw).
func (c *Catalog) Learn(address netip.AddrPort, report target.Report) {
	now := c.timers.Now()
	if c.refreshUnchanged(address, &report, now) {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.targets[address]
	if s == nil {
		if len(c.targets) >= MaxTargets {
			c.dropped.Add(1)

			return
		}
		s = &targetState{}
		c.targets[address] = s
	}
	if s.incarnation != report.Incarnation {
		s.withdrawn, s.draining = nil, false
	}
	s.updateDraining(report.Draining, now)
	s.incarnation, s.service = report.Incarnation, report.Service
	s.reported = slices.Clone(report.Holdings)
	s.lastReportAt.Store(now.UnixNano())
	s.updateUsable(now)
	c.generation.Add(1)
}

func (s *targetState) updateDraining(reportedDraining bool, now time.Time) {
	if reportedDraining {
		s.draining, s.drainReportedAt = true, now

		return
	}
	s.draining = s.draining && now.Sub(s.drainReportedAt) < drainHoldDown
}

// refreshUnchanged updates the time of the last report if the report changes nothing else, and returns whether it did so. Nearly
// all reports change nothing, so they need the read lock only.
func (c *Catalog) refreshUnchanged(address netip.AddrPort, report *target.Report, now time.Time) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.targets[address]
	if s == nil || s.incarnation != report.Incarnation || s.draining || report.Draining || s.service != report.Service ||
		!slices.Equal(s.reported, report.Holdings) || (!s.nextHoldDownEnd.IsZero() && !now.Before(s.nextHoldDownEnd)) {
		return false
	}
	s.lastReportAt.Store(now.UnixNano())

	return true
}

// updateUsable deletes the withdrawals whose hold-down has ended and recomputes the usable holdings.
func (s *targetState) updateUsable(now time.Time) {
	s.nextHoldDownEnd = time.Time{}
	for version, until := range s.withdrawn {
		if !now.Before(until) {
			delete(s.withdrawn, version)
		} else if s.nextHoldDownEnd.IsZero() || until.Before(s.nextHoldDownEnd) {
			s.nextHoldDownEnd = until
		}
	}
	s.usable = make([]target.Holding, 0, len(s.reported))
	for _, h := range s.reported {
		if _, withdrawn := s.withdrawn[h.Version]; withdrawn || h.Shards > MaxShards || h.Shard < 0 || h.Shard >= h.Shards {
			continue
		}
		if !slices.Contains(s.usable, h) {
			s.usable = append(s.usable, h)
		}
	}
}

// Withdraw records that the target at address refused a query because version is not available. Reports of the target do not make
// the version usable again for 2 s, unless its incarnation changes.
func (c *Catalog) Withdraw(address netip.AddrPort, version uint64) {
	now := c.timers.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.targets[address]
	if s == nil || !slices.ContainsFunc(s.reported, func(h target.Holding) bool { return h.Version == version }) {
		return
	}
	if s.withdrawn == nil {
		s.withdrawn = make(map[uint64]time.Time)
	}
	// The map is bounded, because only reported versions are added and updateUsable deletes them when their hold-down ends.
	s.withdrawn[version] = now.Add(withdrawalHoldDown)
	before := len(s.usable)
	s.updateUsable(now)
	if len(s.usable) != before {
		c.generation.Add(1)
	}
}

// Forget deletes the state of the target at address.
func (c *Catalog) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.targets[address]; ok {
		delete(c.targets, address)
		c.generation.Add(1)
	}
}

// MarkLeaving replaces the set of addresses that the platform's list marks as leaving. Addresses beyond MaxTargets are dropped.
func (c *Catalog) MarkLeaving(addresses []netip.AddrPort) {
	if len(addresses) > MaxTargets {
		c.dropped.Add(uint64(len(addresses) - MaxTargets))
		addresses = addresses[:MaxTargets]
	}
	leaving := set.Of(addresses...)

	c.mutex.Lock()
	defer c.mutex.Unlock()
	unchanged := leaving.Len() == c.leaving.Len()
	for _, address := range addresses {
		unchanged = unchanged && c.leaving.Has(address)
	}
	if !unchanged {
		c.leaving = leaving
		c.generation.Add(1)
	}
}

// Target is the state of one target in a Catalog.
type Target struct {
	Address     netip.AddrPort
	Service     string
	Incarnation uint64
	Draining    bool
	// Leaving is true if the platform's list marks the target as leaving.
	Leaving bool
	// Age is the time since the last report. A target with an old report remains usable: during a network partition no newer
	// information is available, and an unreachable target is ejected because of its failures (see package link).
	Age time.Duration
	// Holdings are the holdings that queries may use, without withdrawn versions.
	Holdings []target.Holding
}

// Target returns the state of the target at address, or false if no report of it is stored.
func (c *Catalog) Target(address netip.AddrPort) (Target, bool) {
	now := c.timers.Now()
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.targets[address]
	if s == nil {
		return Target{}, false
	}

	return Target{
		Address:     address,
		Service:     s.service,
		Incarnation: s.incarnation,
		Draining:    s.draining,
		Leaving:     c.leaving.Has(address),
		Age:         now.Sub(time.Unix(0, s.lastReportAt.Load())),
		Holdings:    slices.Clone(s.usable),
	}, true
}

// Statistics describes the size of a Catalog.
type Statistics struct {
	// Targets is the number of targets that have reported.
	Targets int
	// Dropped counts the reports of new targets and the list entries that were ignored because MaxTargets was reached.
	Dropped uint64
}

// Statistics returns the current statistics.
func (c *Catalog) Statistics() Statistics {
	c.mutex.RLock()
	defer c.mutex.RUnlock()

	return Statistics{Targets: len(c.targets), Dropped: c.dropped.Load()}
}

// Pin selects the version that a query of service is pinned to. Among the versions above newerThan, it selects the one with the
// highest coverage, which is the fraction of shards that have a usable replica, and the newest of several with equal coverage. A
// target is usable if its report names this service or none, it does not drain and it is not leaving. Pin returns false if no
// usable target holds a version above newerThan.
//
// The result is shared and must not be modified. Pin should be called with the same replicas slice until the configuration
// changes: the ranking of versions is cached for that slice and computed anew for any other.
func (c *Catalog) Pin(service string, replicas []contract.Replica, newerThan uint64) (Pin, bool) {
	c.cacheMutex.RLock()
	ranked := c.cache[service]
	c.cacheMutex.RUnlock()
	if ranked == nil || ranked.generation != c.generation.Load() || !sameSlice(ranked.replicas, replicas) {
		ranked = c.rank(service, replicas)
		c.cacheMutex.Lock()
		if len(c.cache) >= maxCachedRankings {
			clear(c.cache)
		}
		c.cache[service] = ranked
		c.cacheMutex.Unlock()
	}
	for _, pin := range ranked.pins {
		if pin.Version > newerThan {
			return pin, true
		}
	}

	return Pin{}, false
}

// sameSlice reports whether a and b have the same length and the same underlying array.
func sameSlice(a, b []contract.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
