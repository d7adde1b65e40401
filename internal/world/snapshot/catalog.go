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

// Bounds of what a Catalog keeps. Statistics counts what the bounds turned away.
const (
	// MaxTargets is five times the number of replicas expected in two years.
	MaxTargets = 16384
	// MaxShards bounds the shards of one version, since a pin allocates an entry for each. Holdings of a version that is
	// split further are ignored.
	MaxShards = 4096
	// MaxVersions bounds the versions of one service that are ranked, best coverage first. A rollout has two or three.
	MaxVersions = 16
	// maxServices bounds the cached rankings. Only names of the configuration reach Pin; the cache starts over at the bound.
	maxServices = 4096
)

// withdrawnFor is the time for which a target's reports cannot restore a version that it refused. Reports lag, and without
// this time the report that comes with the refusal would restore the version at once. It spans two status polls.
const withdrawnFor = 2 * time.Second

// drainingFor is the time for which a target that drains cannot be restored by its own reports. A reply that was on its way
// when the drain began carries an older report, and deadlines are far below this time.
const drainingFor = 2 * time.Second

// Catalog knows what each target holds. It is safe for concurrent use.
type Catalog struct {
	timers *timer.Service

	mutex   sync.RWMutex
	targets map[netip.AddrPort]*record
	leaving set.Set[netip.AddrPort]
	// generation changes with every change that can affect a ranking. It is written under mutex.
	generation atomic.Uint64
	dropped    atomic.Uint64

	cacheMutex sync.RWMutex
	cache      map[string]*ranking
}

// record is what a target last reported. All fields but seen are guarded by the catalogue's mutex.
type record struct {
	incarnation uint64
	service     string
	draining    bool
	// drained is when the last report of a drain came.
	drained  time.Time
	reported []target.Holding
	// usable is reported without duplicates, withdrawn versions and versions over MaxShards.
	usable []target.Holding
	// withdrawn holds, for each refused version, the time until which reports cannot restore it.
	withdrawn map[uint64]time.Time
	// recheck is the first of these times.
	recheck time.Time
	// seen is the time of the last report in Unix nanoseconds.
	seen atomic.Int64
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithTimers makes the catalogue take the time from timers.
func WithTimers(timers *timer.Service) Option {
	return func(c *Catalog) { c.timers = timers }
}

// New returns an empty Catalog.
func New(options ...Option) *Catalog {
	c := &Catalog{targets: make(map[netip.AddrPort]*record), cache: make(map[string]*ranking)}
	for _, option := range options {
		option(c)
	}
	if c.timers == nil {
		c.timers = timer.New()
	}

	return c
}

// Learn records what the target at address reported. Reports count in the order in which they arrive, and the last one
// decides what the target holds and whether it drains, except that a drain lasts for drainingFor after its last report.
func (c *Catalog) Learn(address netip.AddrPort, report target.Report) {
	now := c.timers.Now()
	if c.refresh(address, &report, now) {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.targets[address]
	if r == nil {
		if len(c.targets) >= MaxTargets {
			c.dropped.Add(1)

			return
		}
		r = &record{}
		c.targets[address] = r
	}
	if r.incarnation != report.Incarnation {
		r.withdrawn, r.draining = nil, false
	}
	r.drain(report.Draining, now)
	r.incarnation, r.service = report.Incarnation, report.Service
	r.reported = slices.Clone(report.Holdings)
	r.seen.Store(now.UnixNano())
	r.restore(now)
	c.generation.Add(1)
}

func (r *record) drain(reported bool, now time.Time) {
	if reported {
		r.draining, r.drained = true, now

		return
	}
	r.draining = r.draining && now.Sub(r.drained) < drainingFor
}

// refresh handles a report that says nothing new, as nearly all of them do, under the read lock.
func (c *Catalog) refresh(address netip.AddrPort, report *target.Report, now time.Time) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	r := c.targets[address]
	if r == nil || r.incarnation != report.Incarnation || r.draining || report.Draining || r.service != report.Service ||
		!slices.Equal(r.reported, report.Holdings) || (!r.recheck.IsZero() && !now.Before(r.recheck)) {
		return false
	}
	r.seen.Store(now.UnixNano())

	return true
}

// restore derives the usable holdings and drops withdrawals whose time is over.
func (r *record) restore(now time.Time) {
	r.recheck = time.Time{}
	for version, until := range r.withdrawn {
		if !now.Before(until) {
			delete(r.withdrawn, version)
		} else if r.recheck.IsZero() || until.Before(r.recheck) {
			r.recheck = until
		}
	}
	r.usable = make([]target.Holding, 0, len(r.reported))
	for _, h := range r.reported {
		if _, refused := r.withdrawn[h.Version]; refused || h.Shards > MaxShards || h.Shard < 0 || h.Shard >= h.Shards {
			continue
		}
		if !slices.Contains(r.usable, h) {
			r.usable = append(r.usable, h)
		}
	}
}

// Withdraw records that the target at address refused version as unavailable. Its reports cannot restore the version for
// 2 s, unless its incarnation changes.
func (c *Catalog) Withdraw(address netip.AddrPort, version uint64) {
	now := c.timers.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.targets[address]
	if r == nil || !slices.ContainsFunc(r.reported, func(h target.Holding) bool { return h.Version == version }) {
		return
	}
	if r.withdrawn == nil {
		r.withdrawn = make(map[uint64]time.Time)
	}
	// Only reported versions enter, and restore drops them after their time, which bounds the map.
	r.withdrawn[version] = now.Add(withdrawnFor)
	before := len(r.usable)
	r.restore(now)
	if len(r.usable) != before {
		c.generation.Add(1)
	}
}

// Forget drops all knowledge of the target at address.
func (c *Catalog) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.targets[address]; ok {
		delete(c.targets, address)
		c.generation.Add(1)
	}
}

// MarkLeaving replaces the addresses that the platform's list names as leaving.
func (c *Catalog) MarkLeaving(addresses []netip.AddrPort) {
	if len(addresses) > MaxTargets {
		c.dropped.Add(uint64(len(addresses) - MaxTargets))
		addresses = addresses[:MaxTargets]
	}
	leaving := set.Of(addresses...)

	c.mutex.Lock()
	defer c.mutex.Unlock()
	same := leaving.Len() == c.leaving.Len()
	for _, address := range addresses {
		same = same && c.leaving.Has(address)
	}
	if !same {
		c.leaving = leaving
		c.generation.Add(1)
	}
}

// Target is what the catalogue knows of one target.
type Target struct {
	Address     netip.AddrPort
	Service     string
	Incarnation uint64
	Draining    bool
	Leaving     bool
	// Age is the time since the last report. It does not make a target unusable: during a network partition the last report
	// is all there is, and an unreachable target is ejected for its failures.
	Age time.Duration
	// Holdings are the versions that the target is asked for.
	Holdings []target.Holding
}

// Target returns what is known of the target at address, or false if it has never reported.
func (c *Catalog) Target(address netip.AddrPort) (Target, bool) {
	now := c.timers.Now()
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	r := c.targets[address]
	if r == nil {
		return Target{}, false
	}

	return Target{
		Address:     address,
		Service:     r.service,
		Incarnation: r.incarnation,
		Draining:    r.draining,
		Leaving:     c.leaving.Has(address),
		Age:         now.Sub(time.Unix(0, r.seen.Load())),
		Holdings:    slices.Clone(r.usable),
	}, true
}

// Statistics describes the size of a Catalog.
type Statistics struct {
	Targets int
	// Dropped counts reports and list entries that were ignored because MaxTargets was reached.
	Dropped uint64
}

// Statistics returns the current size.
func (c *Catalog) Statistics() Statistics {
	c.mutex.RLock()
	defer c.mutex.RUnlock()

	return Statistics{Targets: len(c.targets), Dropped: c.dropped.Load()}
}

// Pin returns the version that a query of service is held to: the newest version above newerThan all of whose shards have
// a usable replica, else the version with the highest coverage, and the newest of these. A target is usable if it reports
// for this service, does not drain, and is not leaving. Pin returns false if no usable target holds a version above
// newerThan.
//
// The result is shared and must not be changed. The caller passes the same replicas slice until the configuration changes,
// since the ranking of versions is kept for that slice until a report changes it.
func (c *Catalog) Pin(service string, replicas []contract.Replica, newerThan uint64) (Pin, bool) {
	c.cacheMutex.RLock()
	known := c.cache[service]
	c.cacheMutex.RUnlock()
	if known == nil || known.generation != c.generation.Load() || !sameSlice(known.replicas, replicas) {
		known = c.rank(service, replicas)
		c.cacheMutex.Lock()
		if len(c.cache) >= maxServices {
			clear(c.cache)
		}
		c.cache[service] = known
		c.cacheMutex.Unlock()
	}
	for _, pin := range known.pins {
		if pin.Version > newerThan {
			return pin, true
		}
	}

	return Pin{}, false
}

func sameSlice(a, b []contract.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
