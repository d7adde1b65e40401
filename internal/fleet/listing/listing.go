// Package listing brings what an instance needs of the platform's list to every instance, although few read it.
//
// The instances of an availability zone take turns: one reads the list, and passes the leaving targets and the addresses of
// unknown peers on to the others. An instance that hears nothing for MaxAge reads for itself:
//
//	reader := listing.New(self, timers, listing.Calls{List: client.List, Pass: peers.PassListing}, members.Live, catalog.MarkLeaving)
//	go reader.Run(ctx)
//	seeds, err := reader.Seeds(ctx)
package listing

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// Error is the class of the errors of this package.
var Error = errs.Class("listing")

const (
	// MaxAge is the age of the last list at which every instance reads for itself. With the lag of the list and a status poll,
	// a target that only the list names as leaving gets no new work within 9 s.
	MaxAge = 5 * time.Second
	// turnAfter is the age at which the next instance in turn reads, and turnStep how much later each one after it does. A
	// read takes milliseconds, so that one of them is usually enough.
	turnAfter = 4 * time.Second
	turnStep  = 250 * time.Millisecond
	// turns is the number of instances that have a turn. All others read between MaxAge less turnStep and MaxAge.
	turns = 3
	// keepLeaving is how long a target counts as leaving after the last list that named it. A message that waited in a
	// connection of a frozen instance looks new when it is read, and must not end what a newer list says.
	keepLeaving = MaxAge + time.Second
	// firstRetry is the time after which a read that failed is repeated. It doubles up to MaxAge.
	firstRetry = time.Second
	// maxSeeds bounds the seeds that an instance remembers.
	maxSeeds = 1024
)

// Calls are the calls to the platform and to other instances. The methods of platform.Client and peer.Client have their
// signatures.
type Calls struct {
	List func(ctx context.Context) ([]platform.Listed, error)
	Pass func(ctx context.Context, to netip.AddrPort, listing peer.Listing) error
}

// Reader is the part of one instance. It is safe for concurrent use.
type Reader struct {
	self      instance.Instance
	timers    *timer.Service
	calls     Calls
	live      func() []instance.Instance
	onLeaving func([]netip.AddrPort)
	log       *event.Log
	heard     chan struct{} // wakes Run

	reading sync.Mutex // held during a read of the list

	mu      sync.Mutex
	random  *rand.Rand
	asOf    time.Time // when the read of the last list began, zero before the first
	reader  string    // who read it
	due     time.Time // when this instance reads the list
	retry   time.Duration
	leaving map[netip.AddrPort]time.Time // with the time of the last list that named it
	seeds   []netip.AddrPort
}

// Option configures a Reader.
type Option func(*Reader)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(r *Reader) { r.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(r.self.Name))) }
}

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(r *Reader) { r.log = log }
}

// New returns a Reader that takes turns with the instances of its zone in live, and gives leaving targets to onLeaving.
func New(
	self instance.Instance,
	timers *timer.Service,
	calls Calls,
	live func() []instance.Instance,
	onLeaving func([]netip.AddrPort),
	options ...Option,
) *Reader {
	r := &Reader{
		self:      self,
		timers:    timers,
		calls:     calls,
		live:      live,
		onLeaving: onLeaving,
		heard:     make(chan struct{}, 1),
		leaving:   make(map[netip.AddrPort]time.Time),
	}
	WithSeed(rand.Uint64())(r)
	for _, option := range options {
		option(r)
	}

	return r
}

// Run reads the list when it is this instance's turn, and passes it on, until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	var passing sync.WaitGroup
	defer passing.Wait()
	for {
		r.mu.Lock()
		wait := r.due.Sub(r.timers.Now())
		r.mu.Unlock()
		if wait > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-r.heard:
			case <-r.timers.After(wait):
			}

			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		began, listing, err := r.read(ctx, turnAfter)
		if err == nil && !began.IsZero() {
			passing.Go(func() { r.pass(ctx, began, listing) })
		}
	}
}

// Read reads the list at once, for an instance whose information may be old.
func (r *Reader) Read(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	_, _, err = r.read(ctx, 0)

	return err
}

// Seeds returns addresses of instances that may be unknown here. It reads the list if the last one is too old, or if no other
// instance is known.
func (r *Reader) Seeds(ctx context.Context) (seeds []netip.AddrPort, err error) {
	defer func() { err = Error.Wrap(err) }()

	age := MaxAge
	if !slices.ContainsFunc(r.live(), func(i instance.Instance) bool { return i.Name != r.self.Name }) {
		age = 0
	}
	if _, _, err := r.read(ctx, age); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.seeds), nil
}

// HandlePass takes what another instance of the zone passes on.
func (r *Reader) HandlePass(_ context.Context, from peer.Sender, listing peer.Listing) error {
	if from.AvailabilityZone != r.self.AvailabilityZone {
		return Error.New("the sender is of the availability zone %q", string(from.AvailabilityZone))
	}
	r.learn(from.Name, r.timers.Now().Add(-listing.Age.Std()), listing)

	return nil
}

// read reads the list unless the last one is younger than age, and returns when it began, which is zero if it did not read.
func (r *Reader) read(ctx context.Context, age time.Duration) (began time.Time, listing peer.Listing, err error) {
	r.reading.Lock()
	defer r.reading.Unlock()
	r.mu.Lock()
	began = r.timers.Now()
	young := !r.asOf.IsZero() && began.Sub(r.asOf) < age
	r.mu.Unlock()
	if young {
		return time.Time{}, peer.Listing{}, nil
	}
	listed, err := r.calls.List(ctx)
	if err != nil {
		r.failed(ctx, err)

		return began, peer.Listing{}, err
	}
	known := map[netip.AddrPort]bool{r.self.Peer: true}
	for _, i := range r.live() {
		known[i.Peer] = true
	}
	for _, l := range listed {
		switch {
		case l.Kind == platform.Target && l.State == platform.Leaving:
			listing.Leaving = append(listing.Leaving, l.Address)
		case l.Kind == platform.EntryInstance && l.State == platform.Live && !known[l.Address]:
			listing.Seeds = append(listing.Seeds, l.Address)
		}
	}
	r.mu.Lock()
	r.random.Shuffle(len(listing.Seeds), func(i, j int) {
		listing.Seeds[i], listing.Seeds[j] = listing.Seeds[j], listing.Seeds[i]
	})
	r.retry = 0
	r.mu.Unlock()
	listing.Seeds = listing.Seeds[:min(maxSeeds, len(listing.Seeds))]
	r.learn(r.self.Name, began, listing)

	return began, listing, nil
}

// failed sets the time of the next attempt and logs the first of several failures.
func (r *Reader) failed(ctx context.Context, err error) {
	r.mu.Lock()
	first := r.retry == 0
	r.retry = min(max(2*r.retry, firstRetry), MaxAge)
	// Another instance may have passed a list on meanwhile.
	if due := r.timers.Now().Add(r.retry - r.jitter(r.retry/2)); due.After(r.due) {
		r.due = due
	}
	r.mu.Unlock()
	if first && ctx.Err() == nil {
		r.log.Log(event.ListUnavailable, "Error", err)
	}
}

// jitter returns a random time below d. The caller holds mu.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

// pass gives a listing to the other instances of the zone. Their number is bounded by the member table. One that is not
// reached reads for itself.
func (r *Reader) pass(ctx context.Context, began time.Time, listing peer.Listing) {
	if len(listing.Leaving) > peer.MaxLeaving {
		return
	}
	// The receivers may not know this instance either.
	listing.Seeds = append([]netip.AddrPort{r.self.Peer}, listing.Seeds[:min(peer.MaxSeeds-1, len(listing.Seeds))]...)
	var running sync.WaitGroup
	for _, other := range r.zone() {
		if other.Name != r.self.Name {
			running.Go(func() {
				aged := listing
				aged.Age = duration.Duration(r.timers.Since(began))
				_ = r.calls.Pass(ctx, other.Peer, aged)
			})
		}
	}
	running.Wait()
}

// learn takes the list that an instance began to read at asOf. An older one than the last only adds leaving targets.
func (r *Reader) learn(reader string, asOf time.Time, listing peer.Listing) {
	r.mu.Lock()
	together := asOf.Sub(r.asOf).Abs() < turnStep
	if together {
		// Instances that read at the same time hear of each other in different orders, and must agree on who is next.
		reader = max(reader, r.reader)
	}
	if together || asOf.After(r.asOf) {
		r.reader = reader
		if !asOf.Before(r.asOf) {
			r.asOf, r.seeds = asOf, listing.Seeds
		}
		turn := r.turn(reader)
		r.due = r.asOf.Add(turnAfter + time.Duration(turn-1)*turnStep)
		if turn > turns {
			r.due = r.asOf.Add(MaxAge - r.jitter(turnStep))
		}
	}
	for _, address := range listing.Leaving {
		// The bound holds for messages of peers. The list itself has fewer targets.
		if named, ok := r.leaving[address]; asOf.After(named) && (ok || len(r.leaving) < 2*peer.MaxLeaving) {
			r.leaving[address] = asOf
		}
	}
	addresses := make([]netip.AddrPort, 0, len(r.leaving))
	for address, named := range r.leaving {
		if r.asOf.Sub(named) > keepLeaving {
			delete(r.leaving, address)
		} else {
			addresses = append(addresses, address)
		}
	}
	r.onLeaving(addresses)
	r.mu.Unlock()
	select {
	case r.heard <- struct{}{}:
	default:
	}
}

// turn returns how many instances of the zone come next after reader, up to this one: 1 for the first after it.
func (r *Reader) turn(reader string) int {
	zone := r.zone()
	own, live := slices.BinarySearchFunc(zone, r.self.Name, byName)
	if !live {
		// A leaving instance has no turn.
		return turns + 1
	}
	last, found := slices.BinarySearchFunc(zone, reader, byName)
	if !found {
		last--
	}

	return (own-last-1+len(zone))%len(zone) + 1
}

func byName(i instance.Instance, name string) int {
	switch {
	case i.Name < name:
		return -1
	case i.Name > name:
		return 1
	default:
		return 0
	}
}

// zone returns the live instances of the zone by name.
func (r *Reader) zone() []instance.Instance {
	return slices.DeleteFunc(slices.Clone(r.live()), func(i instance.Instance) bool {
		return i.AvailabilityZone != r.self.AvailabilityZone
	})
}
