// Package polling asks the targets for their reports, each by its owner alone, and passes on to all other instances what
// they need of a report.
//
// A Poller polls the targets that this instance owns once every Period. A report that is new is pushed to a few peers at
// once, and each of these passes it on once. What was missed is repaired by comparing digests with one instance of each
// availability zone every Period. The same contacts show who does not poll any more: the next instance of the zone takes
// over from one that does not answer, and the other zones from a zone that cannot be reached:
//
//	poller := polling.New(self, timers, polling.Functions{Live: members.Live, Status: targets.Status, ...}, seed)
//	poller.Keep(replicas)
//	go poller.Run(ctx)
//	poller.Poll(ctx) // once every Period, and when Changed has a value
package polling

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// Period is the time between two status polls of a target, and between two contacts with each zone. A leaving target
	// must get no new work within 3 s of its report: a poll, a contact that repairs a push that was lost, and the way.
	Period = time.Second
	// pollTimeout bounds one status poll. It is below Period so that polls do not pile up.
	pollTimeout = 800 * time.Millisecond
	// pollAtOnce bounds the polls in flight of one instance.
	pollAtOnce = 32
	// unknownFor is the time for which a new instance waits for the owners' reports of targets that no one knows yet, before it
	// asks these targets itself. It has room for two polls of the owners.
	unknownFor = 2 * Period
)

// Functions are what a Poller works with. All are required. The methods of peer.Client and target.Client have the
// signatures of the calls.
type Functions struct {
	// Live returns the instances in use, with this one. It returns another slice when they change.
	Live    func() []instance.Instance
	Status  func(ctx context.Context, address netip.AddrPort) (target.Report, error)
	Compare func(ctx context.Context, to netip.AddrPort, digest uint64) (peer.Comparison, error)
	Reports func(ctx context.Context, to netip.AddrPort, reports []peer.TargetReport, want uint64) ([]peer.TargetReport, error)
	// Learn is told of each new report, and Repeat of all reports in each round, because a table may have left a report out
	// for a time, as it does with one that contradicts a drain.
	Learn, Repeat func(address netip.AddrPort, report target.Report)
}

// Counts counts what happened since the start.
type Counts struct {
	Targets  int // now
	Polls    uint64
	Pushed   uint64 // reports sent to one peer each
	Adopted  uint64 // reports taken from peers
	Repairs  uint64 // exchanges with a peer whose digest differed
	TakenOn  uint64 // rounds in which another instance's targets were polled
	Rejected uint64 // targets that found no place in the table
}

// Poller polls the targets of one instance. It is safe for concurrent use.
type Poller struct {
	self      instance.Instance
	timers    *timer.Service
	functions Functions
	table     table
	owners    ownership.Cache
	changed   chan struct{} // the targets to poll may have changed
	signal    chan struct{} // there are reports to push
	rounds    atomic.Uint64

	polls, pushed, adopted, repairs, takenOn, rejected atomic.Uint64

	contacting sync.Mutex // held during a contact
	seen       map[string]progress

	mu       sync.Mutex
	random   *rand.Rand
	replicas []contract.Replica
	absent   set.Set[string]    // instances of this zone that do not poll
	cut      set.Set[zone.Zone] // zones that cannot be reached
	isolated bool               // no other instance can be reached
	// reachable is live without cut, for the live instances of which it was made.
	live, reachable []instance.Instance
	waiting         time.Time // since when CatchUp waits for reports of unknown targets
}

// New returns a Poller without targets that makes random choices by the seed.
func New(self instance.Instance, timers *timer.Service, functions Functions, seed uint64) *Poller {
	return &Poller{
		self:      self,
		timers:    timers,
		functions: functions,
		table:     table{timers: timers, entries: make(map[netip.AddrPort]*entry)},
		changed:   make(chan struct{}, 1),
		signal:    make(chan struct{}, 1),
		seen:      make(map[string]progress),
		random:    rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
	}
}

// Counts returns the counts since the start.
func (p *Poller) Counts() Counts {
	p.mu.Lock()
	targets := len(p.replicas)
	p.mu.Unlock()

	return Counts{
		Targets: targets,
		Polls:   p.polls.Load(), Pushed: p.pushed.Load(), Adopted: p.adopted.Load(), Repairs: p.repairs.Load(),
		TakenOn: p.takenOn.Load(), Rejected: p.rejected.Load(),
	}
}

// Keep makes replicas the targets. It is called with the same replicas at all instances that have the same configuration.
func (p *Poller) Keep(replicas []contract.Replica) {
	addresses := make([]netip.AddrPort, len(replicas))
	for i := range replicas {
		addresses[i] = replicas[i].Address
	}
	p.rejected.Add(uint64(p.table.keep(addresses)))
	p.mu.Lock()
	p.replicas = replicas[:min(len(replicas), MaxTargets)]
	p.mu.Unlock()
}

// Changed has a value when targets are to be polled before the next round.
func (p *Poller) Changed() <-chan struct{} { return p.changed }

// Replied tells of the report that came with a target's reply, which the caller has learned itself.
func (p *Poller) Replied(address netip.AddrPort, report *target.Report) {
	if p.table.replied(address, report) {
		wake(p.signal)
	}
}

// Poll polls the targets that this instance owns and those whose owner does not poll, and repeats all reports.
func (p *Poller) Poll(ctx context.Context) {
	p.rounds.Add(1)
	p.pollAll(ctx, p.mine())
	p.table.repeat(p.functions.Repeat)
}

// CatchUp contacts the other instances, takes over all their reports, and polls as Poll does. It returns true when there is
// a report of every target that answers. An instance that starts or that was paused calls it until then.
func (p *Poller) CatchUp(ctx context.Context) bool {
	p.contact(ctx, true)
	p.Poll(ctx)
	now := p.timers.Now()
	p.mu.Lock()
	if p.waiting.IsZero() {
		p.waiting = now
	}
	waited := now.Sub(p.waiting) >= unknownFor
	p.mu.Unlock()
	own := set.Of(p.mine()...)
	rest := slices.DeleteFunc(p.table.unknown(), own.Has)
	if len(rest) > 0 && !waited {
		return false
	}
	p.pollAll(ctx, rest)
	p.mu.Lock()
	p.waiting = time.Time{}
	p.mu.Unlock()

	return ctx.Err() == nil
}

// mine returns the targets that this instance is to poll.
func (p *Poller) mine() (addresses []netip.AddrPort) {
	live := p.functions.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable := p.within(live)
	others := false
	for _, replica := range p.replicas {
		owners := p.owners.Owners(replica, reachable)
		if len(owners) == 0 {
			continue
		}
		if owners[0].Name == p.self.Name {
			addresses = append(addresses, replica.Address)
		} else if p.absent.Has(owners[0].Name) {
			addresses = append(addresses, replica.Address)
			others = true
		}
	}
	if others {
		p.takenOn.Add(1)
	}

	return addresses
}

// within returns the live instances that can be reached, the same slice for the same instances. The caller holds mu.
func (p *Poller) within(live []instance.Instance) []instance.Instance {
	if p.cut.Len() == 0 && !p.isolated {
		return live
	}
	if p.reachable != nil && len(p.live) == len(live) && (len(live) == 0 || &p.live[0] == &live[0]) {
		return p.reachable
	}
	p.live, p.reachable = live, make([]instance.Instance, 0, len(live))
	for _, i := range live {
		if i.Name == p.self.Name || (!p.isolated && !p.cut.Has(i.AvailabilityZone)) {
			p.reachable = append(p.reachable, i)
		}
	}

	return p.reachable
}

func (p *Poller) pollAll(ctx context.Context, addresses []netip.AddrPort) {
	var running sync.WaitGroup
	defer running.Wait()
	free := make(chan struct{}, pollAtOnce)
	for _, address := range addresses {
		select {
		case <-ctx.Done():
			return
		case free <- struct{}{}:
		}
		running.Go(func() {
			defer func() { <-free }()
			p.pollOne(ctx, address)
		})
	}
}

// pollOne asks one target. A poll that fails says nothing: attempts decide whether a target is lost.
func (p *Poller) pollOne(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := p.timers.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.polls.Add(1)
	report, err := p.functions.Status(ctx, address)
	if err != nil {
		return
	}
	p.functions.Learn(address, report)
	if p.table.polled(address, &report) {
		wake(p.signal)
	}
}

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
