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
	zones      = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}
	errNoReply = errors.New("no reply: instance frozen, killed or unreachable")
)

const (
	// tick is the virtual time by which the simulation advances at a time.
	tick = membership.Step
	// callGrace is the real time for which each tick waits for calls in progress. It is not a timeout of the product: to the
	// instances, a call that takes longer is a call with a virtual delay.
	callGrace = 20 * time.Millisecond
)

// cleanup registers a function that runs at the end of a spec, or at the end of a Go test whose name begins with TestProve.
var cleanup = func(f func()) { DeferCleanup(f) }

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "proof of the fleet")
}

// seed returns the seed of all random choices, which PROOF_SEED overrides.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PROOF_SEED"), 10, 64); err == nil {
		return n
	}

	return 20261204
}

// simulatedInstance is an instance whose calls to peers stay in memory, with its own fake clock.
type simulatedInstance struct {
	fleet   *fleet
	self    instance.Instance
	clock   *clockwork.FakeClock
	members *membership.Membership
	keeper  *configuration.Keeper
	spread  *configuration.Spread
	watcher *configuration.Watcher
	ctx     context.Context
	cancel  context.CancelFunc

	mu             sync.Mutex
	killed         bool
	isolated       bool          // from all peers
	halted         chan struct{} // closed when frozen or killed
	resumed        chan struct{} // nil unless frozen
	frozenTime     time.Duration
	appliedRecords []configuration.Applied
}

// fleet is a set of simulated instances and the stand-in for the platform.
type fleet struct {
	platform        *standin.Platform
	stores          map[zone.Zone]*adapter.Store // by the availability zone of the client; operators use ""
	clock           *clockwork.FakeClock         // of the platform and the operators
	timers          *timer.Service
	ctx             context.Context
	running         sync.WaitGroup
	callsInProgress atomic.Int64
	applying        atomic.Int64

	// spreadDisabled makes peers neither push configurations nor answer requests for them. rewrite may change the records that an
	// instance receives.
	spreadDisabled atomic.Bool
	rewrite        func(n *simulatedInstance, raw []byte) []byte

	mu          sync.Mutex
	nodes       []*simulatedInstance
	partitioned func(a, b *simulatedInstance) bool
	onStep      func(step string, n *simulatedInstance)
	// outcomes has the final result of each apply by ApplyID; nil means accepted.
	outcomes map[string]error
	// cancelOperator has the functions that cancel an apply, by ApplyID.
	cancelOperator map[string]context.CancelFunc
}

func newFleet(size int, rewrite func(*simulatedInstance, []byte) []byte) *fleet {
	f := &fleet{
		clock:          clockwork.NewFakeClock(),
		partitioned:    func(*simulatedInstance, *simulatedInstance) bool { return false },
		rewrite:        rewrite,
		outcomes:       map[string]error{},
		cancelOperator: map[string]context.CancelFunc{},
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
		for _, n := range f.instances() {
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

// unmodified is the rewrite function that leaves records as they are.
func unmodified(_ *simulatedInstance, raw []byte) []byte { return raw }

// newSettledFleet returns a fleet that has a first revision in force and in which exactly one instance of each availability zone
// watches the store. An instance that does not know the others yet also watches the store, and would learn a new revision without
// its peers.
func newSettledFleet(size int, rewrite func(*simulatedInstance, []byte) []byte) *fleet {
	f := newFleet(size, rewrite)
	f.apply("first", `"one"`)
	Expect(f.advanceUntil(5*time.Minute, func() bool {
		return f.appliesDone() && f.allHaveRevision(1) && f.allMembersKnown() &&
			f.platform.Calls().Waiting == min(size, len(zones))
	})).To(BeTrue(), "all instances must know each other and have the first revision in force")

	return f
}

// start starts instance i with the given incarnation.
func (f *fleet) start(i int, incarnation uint64) *simulatedInstance {
	n := &simulatedInstance{
		fleet:  f,
		clock:  clockwork.NewFakeClockAt(f.clock.Now()),
		halted: make(chan struct{}),
		self: instance.Instance{
			Name: fmt.Sprintf("i%02d", i), AvailabilityZone: zones[i%len(zones)], Incarnation: incarnation,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
		},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	timers := timer.New(timer.WithClock(n.clock))
	client := f.client(n.self.AvailabilityZone, timers)
	n.keeper = configuration.NewKeeper(n.self.AvailabilityZone, n.merge, configuration.WithOnAdopt(n.onAdopted))
	n.members = membership.New(n.self, timers, membership.Calls{
		Ping: func(ctx context.Context, to netip.AddrPort, g peer.Gossip) (peer.Gossip, error) {
			return call(ctx, n, to, func(o *simulatedInstance) (peer.Gossip, error) {
				return o.members.HandlePing(ctx, peer.Sender{}, g)
			})
		},
		PingRequest: func(ctx context.Context, to netip.AddrPort, i instance.Instance, g peer.Gossip) (peer.Gossip, error) {
			return call(ctx, n, to, func(o *simulatedInstance) (peer.Gossip, error) {
				return o.members.HandlePingRequest(ctx, peer.Sender{}, i, g)
			})
		},
		Sync: func(ctx context.Context, to netip.AddrPort, t peer.Table) (peer.Table, error) {
			return call(ctx, n, to, func(o *simulatedInstance) (peer.Table, error) {
				return o.members.HandleSync(ctx, peer.Sender{}, t)
			})
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
			n.reportStep("push to a peer", raw)
			_, err := call(ctx, n, to, func(o *simulatedInstance) (any, error) {
				if f.spreadDisabled.Load() {
					return nil, errNoReply
				}

				return nil, o.spread.HandlePush(ctx, peer.Sender{Name: n.self.Name}, f.rewrite(o, raw))
			})

			return err
		},
		Configuration: func(ctx context.Context, to netip.AddrPort, have uint64) ([]byte, error) {
			n.beforeRequest()
			raw, err := call(ctx, n, to, func(o *simulatedInstance) ([]byte, error) {
				if f.spreadDisabled.Load() {
					return nil, errNoReply
				}

				return o.spread.HandleConfiguration(ctx, peer.Sender{Name: n.self.Name}, have)
			})

			return f.rewrite(n, raw), err
		},
	}, n.members.Live, seed())
	n.watcher = configuration.NewWatcher(n.self, n.spread, configuration.StoreCalls{
		Read: func(ctx context.Context, key string) (platform.Entry, error) {
			n.beforeRequest()
			f.callsInProgress.Add(1)
			entry, err := client.Read(ctx, key)
			f.callsInProgress.Add(-1)

			return n.receiveEntry(entry, err)
		},
		Watch: func(ctx context.Context, key string, after uint64) (platform.Entry, error) {
			return n.receiveEntry(client.Watch(ctx, key, after))
		},
	}, seed(), nil)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.updateList(standin.Update{Entries: []platform.Listed{{
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

	return platform.NewClient(store.KeyValueStore(), store.Targets(), timers)
}

// updateList changes the platform's list of instances and targets.
func (f *fleet) updateList(update standin.Update) {
	defer GinkgoRecover()
	Expect(f.platform.UpdateList(update)).To(Succeed())
}

// connected reports whether both instances are running and can exchange messages.
func (f *fleet) connected(a, b *simulatedInstance) bool {
	f.mu.Lock()
	partitioned := f.partitioned
	f.mu.Unlock()

	return a.reachable() && b.reachable() && !partitioned(a, b)
}

func (f *fleet) instances() []*simulatedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.nodes)
}

// advance advances the clocks of all running instances by one tick, and then waits for calls in progress for at most callGrace.
func (f *fleet) advance() {
	f.clock.Advance(tick)
	for _, n := range f.instances() {
		n.mu.Lock()
		if n.resumed != nil {
			n.frozenTime += tick
		} else if !n.killed {
			n.clock.Advance(tick)
		}
		n.mu.Unlock()
	}
	time.Sleep(100 * time.Microsecond)
	limit := callGrace
	if slices.ContainsFunc(f.platform.Faults(), func(s standin.Fault) bool { return s.Slow > 0 }) {
		// Calls to a slow store wait for virtual time, so they do not end during a longer wait in real time.
		limit /= 10
	}
	for end := time.Now().Add(limit); f.callsInProgress.Load() > 0 && time.Now().Before(end); {
		time.Sleep(50 * time.Microsecond)
	}
}

// advanceUntil lets virtual time pass until done returns true, for at most limit, and returns the last result of done.
func (f *fleet) advanceUntil(limit time.Duration, done func() bool) bool {
	for ; limit > 0; limit -= tick {
		if done() {
			return true
		}
		f.advance()
	}

	return done()
}

// apply starts an operator that applies base. It retries with the same ApplyID until the outcome is known.
func (f *fleet) apply(id, base string) {
	f.applying.Add(1)
	ctx, kill := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.cancelOperator[id] = kill
	f.mu.Unlock()
	f.running.Go(func() {
		defer f.applying.Add(-1)
		client := f.client("", f.timers)
		applier := configuration.NewApplier(f.timers, configuration.WithApplierStore(client))
		applier.CompareAndSwap = func(
			ctx context.Context, key string, value []byte, expected uint64, lease control.Lease,
		) (uint64, error) {
			operator := &simulatedInstance{fleet: f}
			before, after := "apply before the write", "apply after the write"
			if key == configuration.AnnouncementKey {
				before, after = "apply before the announcement", ""
				if bytes.Contains(value, []byte(`"Written":true`)) {
					before, after = "", "apply after the confirmation"
				}
			}
			operator.reportStep(before, []byte(base))
			version, err := client.CompareAndSwap(ctx, key, value, expected, lease)
			operator.reportStep(after, []byte(base))

			return version, err
		}
		for {
			_, err := applier.Apply(ctx, configuration.Change{ApplyID: id, Operator: id, Base: json.RawMessage(base)})
			if ctx.Err() != nil {
				// A killed operator does not learn the outcome.
				return
			}
			var race *configuration.RaceError
			if err == nil || errors.As(err, &race) {
				f.mu.Lock()
				f.outcomes[id] = err
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

// killOperator cancels the apply with this ApplyID.
func (f *fleet) killOperator(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelOperator[id]()
}

// appliesDone reports whether no apply is in progress.
func (f *fleet) appliesDone() bool { return f.applying.Load() == 0 }

// storedRecord returns the accepted record in the store.
func (f *fleet) storedRecord() []byte {
	client := f.client("", timer.New())
	var entry platform.Entry
	// A fault that is just ending may still close a new connection, so the read is retried.
	Eventually(func() (err error) {
		entry, err = client.Read(context.Background(), configuration.Key)

		return err
	}, "10s").Should(Succeed())

	return entry.Value
}

// overwriteRecord replaces the accepted record, to simulate a store that lost its latest write.
func (f *fleet) overwriteRecord(raw []byte) {
	client := f.client("", timer.New())
	entry, err := client.Read(context.Background(), configuration.Key)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.CompareAndSwap(context.Background(), configuration.Key, raw, entry.Version, 0)
	Expect(err).NotTo(HaveOccurred())
	// The announcement is reverted as well, so that the instances read the older record.
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

// allMembersKnown reports whether all instances know each other.
func (f *fleet) allMembersKnown() bool {
	nodes := f.instances()

	return !slices.ContainsFunc(nodes, func(n *simulatedInstance) bool { return len(n.members.Live()) != len(nodes) })
}

// allHaveRevision reports whether all running instances have the revision in force, and have recorded it for violations, which their keepers
// let them do a moment later.
func (f *fleet) allHaveRevision(revision uint64) bool {
	return !slices.ContainsFunc(f.instances(), func(n *simulatedInstance) bool {
		_, runs, _ := n.state()

		return runs && (n.keeper.Revision() != revision || n.lastApplied() != revision)
	})
}

// lastApplied returns the last revision that the instance has recorded, 0 if there is none.
func (n *simulatedInstance) lastApplied() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.appliedRecords) == 0 {
		return 0
	}

	return n.appliedRecords[len(n.appliedRecords)-1].Revision
}

// violations returns the violations of guarantee 6: an accepted configuration is in force everywhere and never reverts. It is
// called after all faults have ended. accepted is the record in the store once every apply has its outcome.
func (f *fleet) violations(accepted configuration.Record) (violations []string) {
	revisions := map[string]uint64{}
	for _, a := range append([]configuration.Applied{accepted.Applied}, accepted.History...) {
		revisions[a.ApplyID] = a.Revision
	}
	f.mu.Lock()
	for id, err := range f.outcomes {
		if _, stored := revisions[id]; stored != (err == nil) {
			violations = append(violations,
				fmt.Sprintf("operator %s got the result %v, but the store has its change: %v", id, err, stored))
		}
	}
	f.mu.Unlock()
	for _, n := range f.instances() {
		n.mu.Lock()
		var last uint64
		for _, a := range n.appliedRecords {
			// The ApplyID identifies a record. The test may have rewritten its revision, so the one in the store is compared.
			revision, ok := revisions[a.ApplyID]
			if !ok {
				violations = append(violations, fmt.Sprintf("%s has %s in force, which was never accepted", n.self.Name, a.ApplyID))
			}
			if revision < last {
				violations = append(violations, fmt.Sprintf("%s reverted from revision %d to %d", n.self.Name, last, revision))
			}
			last = revision
		}
		runs := !n.killed && n.resumed == nil
		n.mu.Unlock()
		if runs && last != accepted.Revision {
			violations = append(violations,
				fmt.Sprintf("%s has revision %d in force, but revision %d was accepted", n.self.Name, last, accepted.Revision))
		}
	}

	return violations
}
