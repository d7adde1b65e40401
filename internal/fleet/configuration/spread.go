package configuration

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// pushes is the number of peers that each instance gives a new record. Three leave about 5% of a large fleet without
	// the record; these ask for it when gossip tells them of its revision.
	pushes = 3
	// askEvery bounds how often an instance that is behind asks for the record, which may have 1 MB.
	askEvery = time.Second
	// askRefusedEvery is that time for a revision that this instance has rejected. A peer may have sent it damaged.
	askRefusedEvery = 30 * time.Second
)

// PeerCalls are the calls to other instances. The methods of peer.Client have their signatures.
type PeerCalls struct {
	Push          func(ctx context.Context, to netip.AddrPort, raw []byte) error
	Configuration func(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error)
}

// Spread passes records between instances. It is safe for concurrent use.
type Spread struct {
	self   instance.Instance
	keeper *Keeper
	timers *timer.Service
	calls  PeerCalls
	live   func() []instance.Instance
	signal chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	pushed uint64            // the highest revision that was passed on
	ahead  instance.Instance // the last instance that has a higher revision
	higher uint64            // that revision
	asked  time.Time
}

// NewSpread returns a Spread that chooses peers from live by the seed.
func NewSpread(
	self instance.Instance,
	keeper *Keeper,
	timers *timer.Service,
	calls PeerCalls,
	live func() []instance.Instance,
	seed uint64,
) *Spread {
	return &Spread{
		self:   self,
		keeper: keeper,
		timers: timers,
		calls:  calls,
		live:   live,
		signal: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
	}
}

// Adopted tells that the keeper adopted a record. It does not block.
func (s *Spread) Adopted(Active) {
	s.wake()
}

// Behind tells that another instance has a higher revision. It does not block. Only the last such instance is kept, because
// gossip tells of the revision again until this instance has it.
func (s *Spread) Behind(from instance.Instance, revision uint64) {
	s.mu.Lock()
	s.ahead, s.higher = from, revision
	s.mu.Unlock()
	s.wake()
}

func (s *Spread) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// Run passes records on and asks for them until ctx ends.
func (s *Spread) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.signal:
			s.Flush(ctx)
		}
	}
}

// Flush asks for a record if this instance is behind and passes on a record that it has not passed on yet. Run calls it
// when there is something to do.
func (s *Spread) Flush(ctx context.Context) {
	s.ask(ctx)
	active, ok := s.keeper.Current()
	if !ok {
		return
	}
	s.mu.Lock()
	if active.Revision <= s.pushed {
		s.mu.Unlock()

		return
	}
	s.pushed = active.Revision
	chosen := s.choose()
	s.mu.Unlock()

	var running sync.WaitGroup
	for _, other := range chosen {
		// A push that fails is not repeated; gossip tells the peer of the revision.
		running.Go(func() { _ = s.calls.Push(ctx, other.Peer, active.Raw) })
	}
	running.Wait()
}

// choose returns the peers to push to: those of the own zone first, but one of another zone when there is one. The caller
// holds mu.
func (s *Spread) choose() []instance.Instance {
	var own, others []instance.Instance
	for _, i := range s.live() {
		switch {
		case i.Name == s.self.Name:
		case i.AvailabilityZone == s.self.AvailabilityZone:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	s.shuffle(own)
	s.shuffle(others)
	near := min(len(own), pushes-min(1, len(others)))

	return append(own[:near:near], others[:min(len(others), pushes-near)]...)
}

func (s *Spread) shuffle(members []instance.Instance) {
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// ask requests the record from the instance that is ahead.
func (s *Spread) ask(ctx context.Context) {
	now := s.timers.Now()
	s.mu.Lock()
	from, revision := s.ahead, s.higher
	wait := askEvery
	if s.keeper.Refused(revision) {
		wait = askRefusedEvery
	}
	if revision <= s.keeper.Revision() || now.Sub(s.asked) < wait {
		s.mu.Unlock()

		return
	}
	s.asked = now
	s.mu.Unlock()

	raw, err := s.calls.Configuration(ctx, from.Peer, s.keeper.Revision())
	if err == nil && len(raw) > 0 {
		// The keeper counts and logs a bad record.
		_, _ = s.keeper.Offer(raw, from.Name)
	}
}

// peers returns the addresses of up to n other instances in a random order.
func (s *Spread) peers(n int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := append([]instance.Instance(nil), s.live()...)
	s.shuffle(members)
	addresses := make([]netip.AddrPort, 0, n)
	for _, i := range members {
		if i.Name != s.self.Name && len(addresses) < n {
			addresses = append(addresses, i.Peer)
		}
	}

	return addresses
}

// HandlePush takes the record that another instance offers.
func (s *Spread) HandlePush(_ context.Context, from peer.Sender, raw []byte) error {
	_, err := s.keeper.Offer(raw, from.Name)

	return err
}

// HandleConfiguration returns the raw active record if its revision is over have, and nothing otherwise.
func (s *Spread) HandleConfiguration(_ context.Context, _ peer.Sender, have uint64) ([]byte, error) {
	if active, ok := s.keeper.Current(); ok && active.Revision > have {
		return active.Raw, nil
	}

	return nil, nil
}
