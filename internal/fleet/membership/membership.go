// Package membership keeps a view of the fleet by SWIM-style failure detection with a constant load for each instance.
//
// In each period an instance probes one member, and asks two others to probe it when it does not answer. A member that
// no one reaches is suspected, and failed unless it refutes the suspicion in time by a higher incarnation. News travels
// on probes and their replies, and a periodic exchange of tables repairs what was lost:
//
//	members := membership.New(self, timers, membership.Calls{Ping: client.Ping, PingRequest: client.PingRequest, Sync: client.Sync},
//		membership.WithSeeds(address))
//	go members.Run(ctx)
//	owners := ownership.Owners(replica, members.Live())
package membership

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// Error is the class of the errors of this package.
var Error = errs.Class("membership")

// Times of the protocol.
const (
	// Period is the time between probes.
	Period = time.Second
	// Step is the time between calls of Tick. It bounds how late a suspicion ends.
	Step = Period / stepsPerPeriod
	// PingTimeout and IndirectTimeout together end within a period.
	PingTimeout     = 300 * time.Millisecond
	IndirectTimeout = 600 * time.Millisecond
	// Suspicion is the time to refute for up to ten instances. With the time of two probes and lastWait, a killed instance
	// is failed after about 5 s.
	Suspicion = 1500 * time.Millisecond
	// SyncPeriod is the time between exchanges of tables.
	SyncPeriod = 30 * time.Second
	// ReconnectPeriod is the time between attempts to reach a failed member or an unknown seed. Without them the sides
	// of a partition that has ended would never find each other again.
	ReconnectPeriod = 10 * time.Second
	// Forget is the time for which failed members are remembered, above the minutes that a partition lasts.
	Forget = 10 * time.Minute
	// PauseGap is the time between ticks after which the process counts as paused. Others may have failed this
	// instance by then.
	PauseGap = 3 * time.Second
	// maxJoinWait bounds the doubling time between attempts to join.
	maxJoinWait = 8 * time.Second
)

const (
	stepsPerPeriod = 4
	// otherZoneEvery is the share of probes that go to another zone. Most failures are noticed within the zone, and few
	// messages cross zones.
	otherZoneEvery = 4
	indirectProbes = 2
	joinTries      = 3
	leaveMessages  = 8
	// urgentMessages is the number of members that are told at once of a suspicion or a refutation. Probes alone often
	// take longer than Suspicion to carry the one to the suspect and the other back.
	urgentMessages = 3
	// lastQuestions bounds the suspects that are asked a last time in one step; lastWait is the time for their answers. When a
	// whole zone fails, the others are failed without.
	lastQuestions = 4
	lastWait      = 2 * Step
	// conflictProbes bounds the members that are asked after an exchange of tables whether they live.
	conflictProbes = 8
	// repeatFactor times the binary logarithm of the fleet is the number of messages that carry an update.
	repeatFactor = 3
	// newsAge is the time for which an update is repeated. Every member hears it in half of that time. When hundreds of
	// members are lost at once, repeating all the updates would take minutes: they would hold up the news of the next loss, and
	// after the end of a partition they would fail members that live.
	newsAge = 30 * time.Second
	// lossWindow is the time in which two losses in an availability zone count as one event, which may have taken
	// more of its members. It is twice the time until a single loss is known to all.
	lossWindow = 20 * time.Second
	// manyLosses is the number of losses in a zone from which each further one gets fewer messages, because many
	// instances notice it at once. Fewer may be suspicions of live members that lost messages caused.
	manyLosses = 4
	// lossProbes is the number of members of the zone that are probed first for each loss after the first one. Two spread the
	// news no sooner at 256 instances.
	lossProbes = 1
	// maxLeft bounds the members that a ping asks about in this way to half of its updates.
	maxLeft = peer.MaxUpdates / 2
	// maxFirst bounds the members to probe first to those of a few seconds. After a partition the tables of others name
	// hundreds.
	maxFirst = 8
	// calm is the time after the last loss from which tables are exchanged. Before that, the tables of any two differ
	// and would be sent whole, while news still make them equal.
	calm     = 10 * time.Second
	maxSeeds = 1024
)

// Calls are the calls to other instances. The methods of peer.Client have their signatures.
type Calls struct {
	Ping        func(ctx context.Context, to netip.AddrPort, gossip peer.Gossip) (peer.Gossip, error)
	PingRequest func(ctx context.Context, via netip.AddrPort, member instance.Instance, gossip peer.Gossip) (peer.Gossip, error)
	Sync        func(ctx context.Context, to netip.AddrPort, table peer.Table) (peer.Table, error)
}

// Traffic counts messages and their bytes without framing.
type Traffic struct {
	MessagesSent     uint64
	MessagesReceived uint64
	BytesSent        uint64
	BytesReceived    uint64
}

// member is another instance with what only this instance knows of it.
type member struct {
	instance.Instance
	changed time.Time
	// hearsay says that a suspicion stands for a failure that another instance told of.
	hearsay bool
	// answered is when it last answered this instance.
	answered time.Time
	// deadline is when a suspicion ends, and asked says that this instance has asked the suspect before that end.
	deadline time.Time
	asked    bool
}

// update is news that messages carry until it was sent often enough.
type update struct {
	instance.Instance
	sent  int
	since time.Time
	// order is random, so that instances with the same news do not all send the same part of it first.
	order uint64
}

// Membership is the view that one instance has of the fleet. It is safe for concurrent use.
type Membership struct {
	timers     *timer.Service
	calls      Calls
	seeds      []netip.AddrPort
	seedList   func(ctx context.Context) ([]netip.AddrPort, error)
	revision   func() uint64
	onRevision func(from instance.Instance, revision uint64)
	onPause    func(gap time.Duration)
	onChange   func(changed []instance.Instance)
	log        *event.Log
	limit      int

	// live is the result of Live, renewed at each change, because each relayed attempt reads it.
	live atomic.Pointer[[]instance.Instance]

	mu       sync.Mutex
	random   *rand.Rand
	self     instance.Instance
	members  map[string]*member
	news     map[string]*update
	first    []string // members to probe before others, the last one first, as they may be lost
	own      []string // members of this zone still to be probed in this round
	others   []string // members of other zones still to be probed in this round
	urgent   int      // members to tell of news that cannot wait for the next probe
	doubted  []string // suspects to ask again at once
	steps    int
	probes   int
	ticked   time.Time
	joined   bool
	joinAt   time.Time
	joinWait time.Duration
	syncAt   time.Time
	syncBy   time.Time // the exchange is put off until then at most
	lostAt   time.Time // when a member was last suspected or failed
	retryAt  time.Time
	changed  []instance.Instance // not yet given to onChange
	dropped  uint64
	traffic  Traffic
}

// Option configures a Membership.
type Option func(*Membership)

// WithSeeds sets addresses of instances to join through.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(m *Membership) { m.seeds = seeds }
}

// WithSeedList sets the function that gives further seeds, those on the platform's list.
func WithSeedList(seeds func(ctx context.Context) ([]netip.AddrPort, error)) Option {
	return func(m *Membership) { m.seedList = seeds }
}

// WithRevision sets the function that gives the revision of the active configuration, and the one that is told of a higher
// revision of another instance. The latter must not block.
func WithRevision(current func() uint64, higher func(from instance.Instance, revision uint64)) Option {
	return func(m *Membership) { m.revision, m.onRevision = current, higher }
}

// WithOnPause sets the function that is called when the process did not run for gap, before anything that was learned
// before the pause is used.
func WithOnPause(f func(gap time.Duration)) Option {
	return func(m *Membership) { m.onPause = f }
}

// WithOnChange sets the function that is told of members whose state changed. Concurrent changes may arrive out of
// order, so the function reads Live or Members for the current state. It must not block.
func WithOnChange(f func(changed []instance.Instance)) Option {
	return func(m *Membership) { m.onChange = f }
}

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(m *Membership) { m.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(m.self.Name))) }
}

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(m *Membership) { m.log = log }
}

// WithLimit bounds the member table, to at most peer.MaxMembers.
func WithLimit(limit int) Option {
	return func(m *Membership) { m.limit = min(limit, peer.MaxMembers) }
}

// New returns the view of self, which knows no other instance yet.
func New(self instance.Instance, timers *timer.Service, calls Calls, options ...Option) *Membership {
	m := &Membership{
		timers:  timers,
		calls:   calls,
		self:    self,
		limit:   peer.MaxMembers,
		members: make(map[string]*member),
		news:    make(map[string]*update),
	}
	m.self.State = instance.Alive
	WithSeed(rand.Uint64())(m)
	for _, option := range options {
		option(m)
	}
	// Instances that start together probe neither at the same time nor all in other zones at once.
	m.steps, m.probes = m.random.IntN(stepsPerPeriod), m.random.IntN(otherZoneEvery)
	now := timers.Now()
	m.joinAt, m.joinWait = now, Period
	// The first exchange is at a random time, so that instances that start together do not exchange together.
	m.syncAt = now.Add(time.Duration(m.random.Int64N(int64(SyncPeriod))))
	m.syncBy = m.syncAt
	m.retryAt = now.Add(time.Duration(m.random.Int64N(int64(ReconnectPeriod))))
	m.renew()

	return m
}

// Self returns this instance as it describes itself to others.
func (m *Membership) Self() instance.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.self
}

// Joined reports whether an exchange with another instance succeeded since the start and since the last pause.
func (m *Membership) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.joined
}

// Members returns all known instances by name, with this one and with failed ones that are still remembered.
func (m *Membership) Members() []instance.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]instance.Instance, 0, len(m.members)+1)
	all = append(all, m.self)
	for _, known := range m.members {
		all = append(all, known.Instance)
	}
	slices.SortFunc(all, byName)

	return all
}

// Live returns the instances that are in use, by name: alive and suspected ones, and this one unless it leaves. A suspect
// stays in use, because ownership would otherwise move back and forth with each lost message. The result must not
// be changed.
func (m *Membership) Live() []instance.Instance {
	return *m.live.Load()
}

// Traffic returns the counts since the start.
func (m *Membership) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.traffic
}

// Dropped returns how many instances were not added because the table was full.
func (m *Membership) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.dropped
}

func byName(a, b instance.Instance) int {
	return cmp.Compare(a.Name, b.Name)
}

func usable(s instance.State) bool {
	return s == instance.Alive || s == instance.Suspect
}

// renew stores the result of Live. The caller holds mu.
func (m *Membership) renew() {
	live := make([]instance.Instance, 0, len(m.members)+1)
	if usable(m.self.State) {
		live = append(live, m.self)
	}
	for _, known := range m.members {
		if usable(known.State) {
			live = append(live, known.Instance)
		}
	}
	slices.SortFunc(live, byName)
	m.live.Store(&live)
}

// digest returns a hash over the live members and their incarnations. The caller holds mu.
func (m *Membership) digest() uint64 {
	hash := xxhash.New()
	for _, i := range m.Live() {
		_, _ = hash.WriteString(i.Name)
		_, _ = hash.WriteString(i.Peer.String())
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, i.Incarnation))
	}

	return hash.Sum64()
}

// suspicion returns the time to refute, which grows with the way that news travel. The caller holds mu.
func (m *Membership) suspicion() time.Duration {
	factor := max(1, math.Log10(float64(len(m.members)+1)))

	return time.Duration(factor * float64(Suspicion))
}

// sample returns up to n random members that accept does not refuse, in a random order. The caller holds mu.
func (m *Membership) sample(n int, accept func(*member) bool) []instance.Instance {
	names := make([]string, 0, len(m.members))
	for name, known := range m.members {
		if accept(known) {
			names = append(names, name)
		}
	}
	// Map order is random too, but not from the seed.
	slices.Sort(names)
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	chosen := make([]instance.Instance, 0, n)
	for _, name := range names[:min(n, len(names))] {
		chosen = append(chosen, m.members[name].Instance)
	}

	return chosen
}

// sent and received count one message.
func (m *Membership) sent(message any) {
	size := uint64(peer.Size(message))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.traffic.MessagesSent++
	m.traffic.BytesSent += size
}

func (m *Membership) received(message any) {
	size := uint64(peer.Size(message))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.traffic.MessagesReceived++
	m.traffic.BytesReceived += size
}
