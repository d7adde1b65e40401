package configuration

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// ReadEvery is the time between the reads of the second instance of a zone, the bound on a stalled watch.
	ReadEvery = 5 * time.Second
	// roleEvery is the time between looks at the order of the instances.
	roleEvery = time.Second
	// learnTimeout bounds the calls with which an instance learns the configuration at its start. The store answers in
	// milliseconds, and a slow one must not hold up what a peer has answered.
	learnTimeout = time.Second
	// learnPeers is the number of peers asked at a time.
	learnPeers = 3
	// minBackoff and maxBackoff bound the time between calls in an outage of the store. An instance without a configuration
	// waits for at most maxLearnBackoff, because no one may hold the watch yet.
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	maxLearnBackoff = 5 * time.Second
)

var errNothingLearned = errors.New("neither the store nor a peer has a usable configuration")

// StoreCalls are the calls to the platform's store. The methods of platform.Client have their signatures.
type StoreCalls struct {
	Read  func(ctx context.Context, key string) (platform.Entry, error)
	Watch func(ctx context.Context, key string, after uint64) (platform.Entry, error)
}

// StoreTraffic counts the calls to the store; a waiting watch is one call.
type StoreTraffic struct {
	Reads   uint64
	Watches uint64
	Failed  uint64
	// Bytes is the size of the values received.
	Bytes uint64
}

// role is what an instance does for its zone.
type role int

const (
	noRole role = iota
	watching
	watchingAlone // in a zone without a second instance
	reading
)

// Watcher brings records from the store to the keeper. In each zone one instance watches the announcement, so that store calls
// grow with the number of zones, and a second one reads it as a check. The record itself is read once for each change.
type Watcher struct {
	self   instance.Instance
	keeper *Keeper
	spread *Spread
	timers *timer.Service
	store  StoreCalls
	log    *event.Log

	mu      sync.Mutex
	random  *rand.Rand
	traffic StoreTraffic
	down    bool
}

// NewWatcher returns a Watcher for the zone of self.
func NewWatcher(self instance.Instance, spread *Spread, store StoreCalls, seed uint64, log *event.Log) *Watcher {
	return &Watcher{
		self:   self,
		keeper: spread.keeper,
		spread: spread,
		timers: spread.timers,
		store:  store,
		log:    log,
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
	}
}

// Traffic returns the counts since the start.
func (w *Watcher) Traffic() StoreTraffic {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.traffic
}

// Run learns the configuration and then watches or reads as the order of the instances says, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	wait := w.backoff(maxLearnBackoff)
	for !w.keeper.Ready() && w.Learn(ctx) != nil {
		if err := wait(ctx); err != nil {
			return err
		}
	}

	ticks := w.timers.Subscribe(roleEvery)
	defer ticks.Stop()
	current, stop := noRole, func() {}
	defer func() { stop() }()
	for {
		if next := w.role(); next != current {
			stop()
			current, stop = next, w.begin(ctx, next)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
	}
}

// Learn asks the store and some peers at the same time and offers all records that come, the highest revision first. It is
// called at the start, and after a pause of the process.
func (w *Watcher) Learn(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := w.timers.WithTimeout(ctx, learnTimeout)
	defer cancel()
	type offer struct {
		raw      []byte
		source   string
		revision uint64
	}
	peers := w.spread.peers(learnPeers)
	offers := make([]offer, len(peers)+1)
	var running sync.WaitGroup
	running.Go(func() {
		if entry, err := w.read(ctx, Key); err == nil {
			offers[0] = offer{raw: entry.Value, source: "Store"}
		}
	})
	for i, address := range peers {
		running.Go(func() {
			if raw, err := w.spread.calls.Configuration(ctx, address, w.keeper.Revision()); err == nil {
				offers[i+1] = offer{raw: raw, source: address.String()}
			}
		})
	}
	running.Wait()

	offers = slices.DeleteFunc(offers, func(o offer) bool { return len(o.raw) == 0 })
	for i := range offers {
		// The keeper reports a record that does not decode; it sorts last.
		if record, err := Decode(offers[i].raw); err == nil {
			offers[i].revision = record.Revision
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.revision, a.revision) })
	for _, o := range offers {
		_, _ = w.keeper.Offer(o.raw, o.source)
	}
	if !w.keeper.Ready() {
		return errNothingLearned
	}

	return nil
}

// role returns what this instance does for its zone.
func (w *Watcher) role() role {
	var zone []instance.Instance
	for _, i := range w.spread.live() {
		if i.AvailabilityZone == w.self.AvailabilityZone {
			zone = append(zone, i)
		}
	}
	order := ownership.Rank(Key, zone)
	switch position := slices.IndexFunc(order, func(i instance.Instance) bool { return i.Name == w.self.Name }); position {
	case 0:
		if len(order) == 1 {
			return watchingAlone
		}

		return watching
	case 1:
		return reading
	default:
		return noRole
	}
}

// begin starts the work of a role and returns the function that ends it.
func (w *Watcher) begin(ctx context.Context, next role) (stop func()) {
	s := newSchedule(w.keeper, w.timers, next)
	work := w.readAll
	switch next {
	case noRole:
		return func() {}
	case watching, watchingAlone:
		w.log.Log(event.ConfigurationWatching, "AvailabilityZone", w.self.AvailabilityZone)
		work = w.watchAll
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		work(ctx, s)
	}()

	return func() {
		cancel()
		<-ended
	}
}

// watchAll holds a watch on the announcement and reads the record when s says so, until ctx ends.
func (w *Watcher) watchAll(ctx context.Context, s *schedule) {
	var after uint64
	wait := w.backoff(maxBackoff)
	for ctx.Err() == nil {
		due := s.wait()
		if due <= 0 {
			if w.fetch(ctx, s) != nil {
				_ = wait(ctx)
			} else {
				wait = w.backoff(maxBackoff)
			}

			continue
		}
		began := w.timers.Now()
		entry, err := w.watch(ctx, after, due)
		switch {
		case err == nil && entry.Version != after:
			after = entry.Version
			s.learn(entry.Value)
			wait = w.backoff(maxBackoff)
		case err == nil && w.timers.Since(began) >= roleEvery:
			// The platform answers a watch without a change after some time.
			wait = w.backoff(maxBackoff)
		case w.timers.Since(began) >= due:
			// The watch was ended for a read of the record.
		default:
			// A store that answers at once without a change would otherwise be called without a pause.
			_ = wait(ctx)
		}
	}
}

// readAll reads the announcement every ReadEvery, and the record when s says so, until ctx ends.
func (w *Watcher) readAll(ctx context.Context, s *schedule) {
	wait := w.backoff(maxBackoff)
	for ctx.Err() == nil {
		entry, err := w.read(ctx, AnnouncementKey)
		if err == nil {
			s.learn(entry.Value)
			if s.wait() <= 0 {
				err = w.fetch(ctx, s)
			}
		}
		if err != nil {
			_ = wait(ctx)

			continue
		}
		wait = w.backoff(maxBackoff)
		_ = w.sleep(ctx, min(ReadEvery, s.wait()))
	}
}

// fetch reads the record and offers it to the keeper.
func (w *Watcher) fetch(ctx context.Context, s *schedule) error {
	entry, err := w.read(ctx, Key)
	if err == nil {
		w.offer(entry)
		s.read()
	}

	return err
}

func (w *Watcher) offer(entry platform.Entry) {
	if len(entry.Value) > 0 {
		// The keeper counts and logs a bad record.
		_, _ = w.keeper.Offer(entry.Value, "Store")
	}
}

func (w *Watcher) read(ctx context.Context, key string) (platform.Entry, error) {
	w.begun(&w.traffic.Reads)
	entry, err := w.store.Read(ctx, key)
	w.ended(ctx, entry, err)

	return entry, err
}

// watch watches the announcement for at most limit.
func (w *Watcher) watch(ctx context.Context, after uint64, limit time.Duration) (platform.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if limit < never {
		defer w.timers.AfterFunc(limit, cancel)()
	}
	w.begun(&w.traffic.Watches)
	entry, err := w.store.Watch(ctx, AnnouncementKey, after)
	w.ended(ctx, entry, err)

	return entry, err
}

// begun counts a call to the store when it begins, because the store counts a waiting watch too.
func (w *Watcher) begun(calls *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*calls++
}

// ended records the result of a call, and logs when an outage begins and ends.
func (w *Watcher) ended(ctx context.Context, entry platform.Entry, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traffic.Bytes += uint64(len(entry.Value))
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if err != nil {
		w.traffic.Failed++
	}
	switch down := err != nil; {
	case down && !w.down:
		w.log.Log(event.StoreUnavailable, "Error", fmt.Sprint(err))
	case !down && w.down:
		w.log.Log(event.StoreReturned)
	}
	w.down = err != nil
}

// backoff returns a function that waits for a growing time with jitter, so that the instances of a fleet do not call a
// returning store at the same time.
func (w *Watcher) backoff(limit time.Duration) func(ctx context.Context) error {
	next := minBackoff

	return func(ctx context.Context) error {
		w.mu.Lock()
		wait := next/2 + time.Duration(w.random.Int64N(int64(next)))
		w.mu.Unlock()
		next = min(2*next, limit)

		return w.sleep(ctx, wait)
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.timers.After(d):
		return nil
	}
}
