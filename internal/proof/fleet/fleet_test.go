package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/fleet/membership"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	adapter "github.com/hickorynotch/hickorynotch/platform"
)

var (
	zones   = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}
	errLost = errors.New("no answer")
)

const (
	// tick is the virtual time of one step of the simulation.
	tick = membership.Step
	// settle is the virtual time that the real work between two steps may hold up a step. It is no deadline of the product:
	// a late reply is one more delay that the simulated clocks show the instances.
	settle = 20 * time.Millisecond
)

// cleanup runs a function at the end of a spec, or of a Go test that proves a promise.
var cleanup = func(f func()) { DeferCleanup(f) }

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "proof of the fleet")
}

// seed is that of all random choices.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PROOF_SEED"), 10, 64); err == nil {
		return n
	}

	return 20261204
}

// node is one simulated process.
type node struct {
	fleet   *fleet
	self    instance.Instance
	clock   *clockwork.FakeClock
	members *membership.Membership
	keeper  *configuration.Keeper
	spread  *configuration.Spread
	watcher *configuration.Watcher
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	dead    bool
	cut     bool // from all peers
	froze   chan struct{}
	thaw    chan struct{} // nil unless frozen
	missed  time.Duration
	inForce []configuration.Applied
}

// fleet is a set of instances with in-memory calls, each on its own fake clock, and the platform's stand-in.
type fleet struct {
	platform *standin.Platform
	stores   map[zone.Zone]*adapter.Store // the clients of the instances in each zone, and "" that of operators
	clock    *clockwork.FakeClock         // of the platform and the operators
	timers   *timer.Service
	ctx      context.Context
	running  sync.WaitGroup
	busy     atomic.Int64
	applying atomic.Int64

	// silent switches off the spread by peers, and rewrite may change what an instance is offered.
	silent  atomic.Bool
	rewrite func(n *node, raw []byte) []byte

	mu    sync.Mutex
	nodes []*node
	apart func(a, b *node) bool
	hook  func(step string, n *node)
	// settled is what operators were told of each ApplyID; nil means accepted.
	settled map[string]error
	// operators ends the apply of an ApplyID.
	operators map[string]context.CancelFunc
}

func newFleet(size int, rewrite func(*node, []byte) []byte) *fleet {
	f := &fleet{
		clock:     clockwork.NewFakeClock(),
		apart:     func(*node, *node) bool { return false },
		rewrite:   rewrite,
		settled:   map[string]error{},
		operators: map[string]context.CancelFunc{},
	}
	f.timers = timer.New(timer.WithClock(f.clock))
	f.platform = standin.New(standin.WithTimers(f.timers))
	f.stores = make(map[zone.Zone]*adapter.Store)
	var stopPlatform []func() error
	for _, z := range append([]zone.Zone{""}, zones...) {
		address, stop, err := f.platform.StartIn(z)
		Expect(err).NotTo(HaveOccurred())
		f.stores[z] = adapter.NewStore(address)
		stopPlatform = append(stopPlatform, stop)
	}
	var stop context.CancelFunc
	f.ctx, stop = context.WithCancel(context.Background())
	for i := range size {
		f.start(i, 1)
	}
	cleanup(func() {
		for _, n := range f.all() {
			n.kill()
		}
		stop()
		for _, stop := range stopPlatform {
			Expect(stop()).To(Succeed())
		}
		f.running.Wait()
	})

	return f
}

// unchanged is what instances are offered unless a proof rewrites it.
func unchanged(_ *node, raw []byte) []byte { return raw }

// newFleetAt returns a fleet that has a first revision in force and in which one instance of each zone holds the watch. An
// instance that does not know of the others yet holds a watch of its own, and would get a new revision without its peers.
func newFleetAt(size int, rewrite func(*node, []byte) []byte) *fleet {
	f := newFleet(size, rewrite)
	f.apply("first", `"one"`)
	Expect(f.pass(5*time.Minute, func() bool {
		return f.settledAll() && f.agree(1) && f.acquainted() && f.platform.Calls().Waiting == min(size, len(zones))
	})).To(BeTrue(), "the fleet starts")

	return f
}

// start begins a process under the name of index i.
func (f *fleet) start(i int, incarnation uint64) *node {
	n := &node{
		fleet: f,
		clock: clockwork.NewFakeClockAt(f.clock.Now()),
		froze: make(chan struct{}),
		self: instance.Instance{
			Name: fmt.Sprintf("i%02d", i), AvailabilityZone: zones[i%len(zones)], Incarnation: incarnation,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
		},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	timers := timer.New(timer.WithClock(n.clock))
	client := f.client(n.self.AvailabilityZone, timers)
	n.keeper = configuration.NewKeeper(n.self.AvailabilityZone, n.merge, configuration.WithOnAdopt(n.adopted))
	n.members = membership.New(n.self, timers, membership.Calls{
		Ping: func(ctx context.Context, to netip.AddrPort, g peer.Gossip) (peer.Gossip, error) {
			return call(ctx, n, to, func(o *node) (peer.Gossip, error) { return o.members.HandlePing(ctx, peer.Sender{}, g) })
		},
		PingRequest: func(ctx context.Context, to netip.AddrPort, i instance.Instance, g peer.Gossip) (peer.Gossip, error) {
			return call(ctx, n, to, func(o *node) (peer.Gossip, error) {
				return o.members.HandlePingRequest(ctx, peer.Sender{}, i, g)
			})
		},
		Sync: func(ctx context.Context, to netip.AddrPort, t peer.Table) (peer.Table, error) {
			return call(ctx, n, to, func(o *node) (peer.Table, error) { return o.members.HandleSync(ctx, peer.Sender{}, t) })
		},
	},
		membership.WithSeed(seed()),
		membership.WithSeeds(netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")),
		membership.WithSeedList(func(ctx context.Context) (peers []netip.AddrPort, err error) {
			listed, err := client.List(ctx)
			for _, l := range listed {
				peers = append(peers, l.Address)
			}

			return peers, err
		}),
		membership.WithRevision(n.keeper.Revision, func(from instance.Instance, revision uint64) { n.spread.Behind(from, revision) }))
	n.spread = configuration.NewSpread(n.self, n.keeper, timers, configuration.PeerCalls{
		Push: func(ctx context.Context, to netip.AddrPort, raw []byte) error {
			n.at("passing on", raw)
			_, err := call(ctx, n, to, func(o *node) (any, error) {
				if f.silent.Load() {
					return nil, errLost
				}

				return nil, o.spread.HandlePush(ctx, peer.Sender{Name: n.self.Name}, f.rewrite(o, raw))
			})

			return err
		},
		Configuration: func(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error) {
			n.starts()
			raw, err := call(ctx, n, to, func(o *node) ([]byte, error) {
				if f.silent.Load() {
					return nil, errLost
				}

				return o.spread.HandleConfiguration(ctx, peer.Sender{Name: n.self.Name}, have)
			})

			return f.rewrite(n, raw), err
		},
	}, n.members.Live, seed())
	n.watcher = configuration.NewWatcher(n.self, n.spread, configuration.StoreCalls{
		Read: func(ctx context.Context, key string) (platform.Entry, error) {
			n.starts()
			f.busy.Add(1)
			entry, err := client.Read(ctx, key)
			f.busy.Add(-1)

			return n.received(entry, err)
		},
		Watch: func(ctx context.Context, key string, after uint64) (platform.Entry, error) {
			return n.received(client.Watch(ctx, key, after))
		},
	}, seed(), nil)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.list(standin.Update{Entries: []platform.Listed{{
		Name: n.self.Name, Kind: platform.EntryInstance, Address: n.self.Peer,
		AvailabilityZone: n.self.AvailabilityZone, State: platform.Live,
	}}})
	for _, run := range []func(context.Context) error{n.members.Run, n.spread.Run, n.watcher.Run} {
		f.running.Go(func() { _ = run(n.ctx) })
	}
	return n
}

// client returns a client of the platform for an instance in z.
func (f *fleet) client(z zone.Zone, timers *timer.Service) *platform.Client {
	store := f.stores[z]

	return platform.NewClient(store.KeyStore(), store.Targets(), timers)
}

// list changes the platform's list.
func (f *fleet) list(update standin.Update) {
	defer GinkgoRecover()
	Expect(f.platform.UpdateList(update)).To(Succeed())
}

// reach reports whether both processes run and a message gets from one to the other.
func (f *fleet) reach(a, b *node) bool {
	f.mu.Lock()
	apart := f.apart
	f.mu.Unlock()

	return a.reachable() && b.reachable() && !apart(a, b)
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.nodes)
}

// step lets a short time pass for all processes that run.
func (f *fleet) step() {
	f.clock.Advance(tick)
	for _, n := range f.all() {
		n.mu.Lock()
		if n.thaw != nil {
			n.missed += tick
		} else if !n.dead {
			n.clock.Advance(tick)
		}
		n.mu.Unlock()
	}
	time.Sleep(100 * time.Microsecond)
	limit := settle
	if slices.ContainsFunc(f.platform.Faults(), func(s standin.Fault) bool { return s.Slow > 0 }) {
		// Calls to a slow store wait for virtual time.
		limit /= 10
	}
	for end := time.Now().Add(limit); f.busy.Load() > 0 && time.Now().Before(end); {
		time.Sleep(50 * time.Microsecond)
	}
}

// pass lets virtual time pass until done, at most for d.
func (f *fleet) pass(d time.Duration, done func() bool) bool {
	for ; d > 0; d -= tick {
		if done() {
			return true
		}
		f.step()
	}

	return done()
}

// apply makes an operator apply base, again and again under the same ApplyID until the outcome is known.
func (f *fleet) apply(id, base string) {
	f.applying.Add(1)
	ctx, kill := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.operators[id] = kill
	f.mu.Unlock()
	f.running.Go(func() {
		defer f.applying.Add(-1)
		client := f.client("", f.timers)
		applier := configuration.NewApplier(f.timers, configuration.WithApplierStore(client))
		applier.CompareAndSwap = func(
			ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
		) (uint64, error) {
			operator := &node{fleet: f}
			before, after := "apply before the write", "apply after the write"
			if key == configuration.AnnouncementKey {
				before, after = "apply before the announcement", ""
				if bytes.Contains(value, []byte(`"Written":true`)) {
					before, after = "", "apply after the confirmation"
				}
			}
			operator.at(before, []byte(base))
			version, err := client.CompareAndSwap(ctx, key, value, expected, lease)
			operator.at(after, []byte(base))

			return version, err
		}
		for {
			_, err := applier.Apply(ctx, configuration.Change{ApplyID: id, Operator: id, Base: json.RawMessage(base)})
			if ctx.Err() != nil {
				// A killed operator is told nothing.
				return
			}
			var race *configuration.RaceError
			if err == nil || errors.As(err, &race) {
				f.mu.Lock()
				f.settled[id] = err
				f.mu.Unlock()

				return
			}
			select {
			case <-f.timers.After(time.Second):
			case <-ctx.Done():
				return
			}
		}
	})
}

// kill ends the apply of an ApplyID as it stands.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operators[id]()
}

func (f *fleet) settledAll() bool { return f.applying.Load() == 0 }

// record returns the accepted record as it stands in the store.
func (f *fleet) record() []byte {
	client := f.client("", timer.New())
	var entry platform.Entry
	// A connection that is opened while a fault ends may still be closed by it.
	Eventually(func() (err error) {
		entry, err = client.Read(context.Background(), configuration.Key)

		return err
	}, "10s").Should(Succeed())

	return entry.Value
}

// put writes a record over the accepted one, as a store does that lost its latest write.
func (f *fleet) put(raw []byte) {
	client := f.client("", timer.New())
	entry, err := client.Read(context.Background(), configuration.Key)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.CompareAndSwap(context.Background(), configuration.Key, raw, entry.Version, 0)
	Expect(err).NotTo(HaveOccurred())
	// The announcement goes back too, which makes the instances read the older record.
	entry, err = client.Read(context.Background(), configuration.AnnouncementKey)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.CompareAndSwap(context.Background(), configuration.AnnouncementKey,
		fmt.Appendf(nil, `{"Revision":%d,"Written":true}`, decode(raw).Revision), entry.Version, 0)
	Expect(err).NotTo(HaveOccurred())
}

func decode(raw []byte) configuration.Record {
	record, err := configuration.Decode(raw)
	Expect(err).NotTo(HaveOccurred())

	return record
}

// acquainted reports whether all instances know each other.
func (f *fleet) acquainted() bool {
	nodes := f.all()

	return !slices.ContainsFunc(nodes, func(n *node) bool { return len(n.members.Live()) != len(nodes) })
}

// agree reports whether all running instances have the revision in force.
func (f *fleet) agree(revision uint64) bool {
	return !slices.ContainsFunc(f.all(), func(n *node) bool {
		_, runs, _ := n.state()

		return runs && n.keeper.Revision() != revision
	})
}

// judge returns what contradicts guarantee 6 after every fault has ended. accepted is the record in the store once every
// apply is settled.
func (f *fleet) judge(accepted configuration.Record) (wrong []string) {
	revisions := map[string]uint64{}
	for _, a := range append([]configuration.Applied{accepted.Applied}, accepted.History...) {
		revisions[a.ApplyID] = a.Revision
	}
	f.mu.Lock()
	for id, err := range f.settled {
		if _, stored := revisions[id]; stored != (err == nil) {
			wrong = append(wrong, fmt.Sprintf("operator %s was told %v, stored is %v", id, err, stored))
		}
	}
	f.mu.Unlock()
	for _, n := range f.all() {
		n.mu.Lock()
		var last uint64
		for _, a := range n.inForce {
			// The identity of a record is its ApplyID. Its own revision is what an instance claims.
			revision, ok := revisions[a.ApplyID]
			if !ok {
				wrong = append(wrong, fmt.Sprintf("%s has %s in force, which was never accepted", n.self.Name, a.ApplyID))
			}
			if revision < last {
				wrong = append(wrong, fmt.Sprintf("%s went from revision %d back to %d", n.self.Name, last, revision))
			}
			last = revision
		}
		runs := !n.dead && n.thaw == nil
		n.mu.Unlock()
		if runs && last != accepted.Revision {
			wrong = append(wrong, fmt.Sprintf("%s has revision %d in force, accepted is %d", n.self.Name, last, accepted.Revision))
		}
	}

	return wrong
}
