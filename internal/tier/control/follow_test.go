package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// applyBound is the time within which a change of the configuration has to be in force on all instances that reach the store.
const applyBound = 3 * time.Second

// drainBound is the time within which all instances that reach the store have to stop using a target that drains.
const drainBound = 3 * time.Second

// followingFleet is a set of instances that follow their leader over function calls, on one store in memory.
type followingFleet struct {
	store    *memory.Store
	registry *targetRegistry
	timers   *timer.Service
	version  atomic.Uint64 // version of the stored configuration
	calls    atomic.Int64  // calls of all instances to the store
	silent   atomic.Bool   // the store answers nothing
	// rejectedWrites is the number of commits that have failed because of a commitError.
	rejectedWrites atomic.Int64
	// zoneChanges counts the operators' changes of the evacuated zones. older makes leaders pass on none, as earlier versions do.
	zoneChanges atomic.Uint64
	older       atomic.Bool
	// atEnd registers what stops an instance at the end of the test.
	atEnd func(stop func())
	// cutsRegistry makes an instance that is cut off from the store or frozen unable to read the registry either.
	cutsRegistry bool

	mu        sync.Mutex
	instances map[string]*followingInstance
	byAddress map[netip.AddrPort]*followingInstance
	started   uint16
}

// commitError is the error of the transactions that put one of the keys, or delete one if that is set.
type commitError struct {
	keys    func(key string) bool
	deletes bool
	err     error
}

// check returns the error if the transaction changes one of the keys in that way.
func (e *commitError) check(t *control.Transaction) error {
	switch {
	case e == nil:
	case e.deletes && slices.ContainsFunc(t.Deletes, e.keys):
		return e.err
	case !e.deletes && slices.ContainsFunc(t.Puts, func(p control.Put) bool { return e.keys(p.Key) }):
		return e.err
	}

	return nil
}

// followingInstance is an instance with the components of control that a node has.
type followingInstance struct {
	testInstance
	name          string
	self          control.Instance
	configuration *control.Configuration
	suspects      *quarantine.List
	// holdCommit, if set, is called before each commit of the instance. The commit then lands whether or not the instance still waits.
	holdCommit atomic.Pointer[func()]
	// commitError, if set, makes some commits of the instance fail without effect.
	commitError atomic.Pointer[commitError]
	// lateCommits, if set, delays the commits that change the mirror.
	lateCommits atomic.Pointer[lateCommits]
	// loseReplies makes the commits of the instance fail although they land.
	loseReplies atomic.Bool
	// slowReplies delays the replies to the commits of the instance.
	slowReplies atomic.Bool
	// isolated cuts the instance off from the others, and storeCut from the store.
	isolated atomic.Bool
	storeCut atomic.Bool
	// frozen makes all calls of the instance, and its messages to the others, wait. restarted is set if it is started again.
	frozen    atomic.Bool
	restarted bool
	// silenced drops all messages between the instance and the others, which is noticed only by a timeout.
	silenced atomic.Bool
	// configurationCut makes the instance's reads of the configuration fail, and watchDeaf makes its long polls of the configuration hear of
	// no change.
	configurationCut atomic.Bool
	watchDeaf        atomic.Bool
	// lastReport is the time in Unix nanoseconds at which the leader received the last report about rate limits.
	lastReport atomic.Int64
	// lostAll is set once the instance has dropped all its targets.
	lostAll atomic.Bool
	// evacuated are the zones that the last view had, and evacuatedAtStart those when the first configuration came into force.
	evacuated        atomic.Pointer[[]string]
	evacuatedAtStart atomic.Pointer[[]string]
}

func newFollowingFleet(names ...string) *followingFleet {
	return startFollowingFleet(func(stop func()) { DeferCleanup(stop) }, names...)
}

func startFollowingFleet(atEnd func(stop func()), names ...string) *followingFleet {
	f := &followingFleet{
		timers: timer.New(), registry: &targetRegistry{}, instances: make(map[string]*followingInstance),
		byAddress: make(map[netip.AddrPort]*followingInstance), atEnd: atEnd,
	}
	f.store = memory.New(f.timers)
	f.version.Store(1)
	f.registry.set(nil, target("a"))
	for _, name := range names {
		f.start(name)
	}

	return f
}

var errCut = errors.New("cut off")

// awaitThaw waits while the instance is frozen.
func (i *followingInstance) awaitThaw(ctx context.Context) {
	for i.frozen.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// targetSource returns the registry of targets as an instance reaches it.
func (f *followingFleet) targetSource(i *followingInstance) control.TargetSource {
	inner := f.registry.source()

	return control.TargetSource{List: func(ctx context.Context) (control.Listed, error) {
		if f.cutsRegistry {
			i.awaitThaw(ctx)
			if i.storeCut.Load() {
				return control.Listed{}, errCut
			}
		}

		return inner.List(ctx)
	}}
}

// keyValueStore returns the store as an instance reaches it, with its calls counted.
func (f *followingFleet) keyValueStore(i *followingInstance) control.KeyValueStore {
	inner := f.store.KeyValueStore()
	call := func(ctx context.Context) error {
		f.calls.Add(1)
		for f.silent.Load() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
		}
		i.awaitThaw(ctx)
		if i.storeCut.Load() {
			return errCut
		}

		return nil
	}

	return control.KeyValueStore{
		Generation: inner.Generation,
		Get: func(ctx context.Context, key string) (control.Entry, uint64, error) {
			if err := call(ctx); err != nil {
				return control.Entry{}, 0, err
			}

			return inner.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]control.Entry, uint64, error) {
			if err := call(ctx); err != nil {
				return nil, 0, err
			}

			return inner.List(ctx, prefix)
		},
		Wait: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]control.Entry, uint64, error) {
			if err := call(ctx); err != nil {
				return nil, 0, err
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			go func() {
				for ctx.Err() == nil && !i.storeCut.Load() {
					time.Sleep(10 * time.Millisecond)
				}
				cancel()
			}()
			changes, revision, err := inner.Wait(ctx, prefix, after, wait)
			if i.storeCut.Load() {
				return nil, 0, errCut
			}

			return changes, revision, err
		},
		Commit: func(ctx context.Context, t control.Transaction) (uint64, error) {
			if hold := i.holdCommit.Load(); hold != nil {
				(*hold)()

				return inner.Commit(context.WithoutCancel(ctx), t)
			}
			if late := i.lateCommits.Load(); late != nil && late.matches(&t) {
				return 0, late.delay(ctx, t, inner.Commit)
			}
			if err := call(ctx); err != nil {
				return 0, err
			}
			if err := i.commitError.Load().check(&t); err != nil {
				f.rejectedWrites.Add(1)

				return 0, err
			}

			revision, err := inner.Commit(ctx, t)
			if i.slowReplies.Load() {
				time.Sleep(200 * time.Millisecond)
			}
			if i.loseReplies.Load() {
				return 0, errCut
			}

			return revision, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (control.Lease, time.Duration, error) {
			if err := call(ctx); err != nil {
				return 0, 0, err
			}

			return inner.Grant(ctx, ttl)
		},
		Renew: func(ctx context.Context, lease control.Lease) error {
			if err := call(ctx); err != nil {
				return err
			}

			return inner.Renew(ctx, lease)
		},
		End: func(ctx context.Context, lease control.Lease) error {
			if i.storeCut.Load() {
				return errCut
			}

			return inner.End(ctx, lease)
		},
	}
}

// configurations returns the source of a configuration whose version is f.version and whose value is that version.
func (f *followingFleet) configurations(i *followingInstance) control.ConfigurationSource {
	read := func() (control.ConfigurationResult, error) {
		f.calls.Add(1)
		if i.storeCut.Load() || i.configurationCut.Load() {
			return control.ConfigurationResult{}, errCut
		}
		version, revision := f.version.Load(), f.operatorRevision()
		zones, err := f.readZones()

		return control.ConfigurationResult{
			Table: table(version), Revision: revision, Value: fmt.Append(nil, version), Evacuated: zones,
		}, err
	}

	return control.ConfigurationSource{
		ReadsZones: true,
		Read:       func(context.Context) (control.ConfigurationResult, error) { return read() },
		Wait: func(ctx context.Context, after uint64, wait time.Duration) (control.ConfigurationResult, error) {
			f.calls.Add(1)
			for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end) && !i.storeCut.Load(); {
				if f.operatorRevision() != after && !i.watchDeaf.Load() {
					return control.ConfigurationResult{}, control.ErrOthersChanged
				}
				time.Sleep(10 * time.Millisecond)
			}
			if i.storeCut.Load() && f.cutsRegistry {
				return control.ConfigurationResult{}, errCut
			}

			return control.ConfigurationResult{Revision: after}, ctx.Err()
		},
		Decode: func(value []byte) control.ConfigurationResult {
			var version uint64
			if _, err := fmt.Sscan(string(value), &version); err != nil {
				return control.ConfigurationResult{Fault: err}
			}

			return control.ConfigurationResult{Table: table(version), Value: value}
		},
	}
}

// follow connects an instance to the feed of the one at address.
func (f *followingFleet) follow(i *followingInstance) func(
	context.Context, netip.AddrPort, *control.FollowRequest, func(*control.Update) error,
) error {
	return func(ctx context.Context, address netip.AddrPort, r *control.FollowRequest, receive func(*control.Update) error) error {
		f.mu.Lock()
		leader := f.byAddress[address]
		f.mu.Unlock()
		if leader == nil || i.isolated.Load() != leader.isolated.Load() || i.silenced.Load() {
			return errCut
		}

		// As over the network, the first report follows some time after the begin of the session.
		reportedAt, receivedAt := time.Now(), time.Now()
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		go f.reportSuspects(ctx, i, leader, r)
		go f.reportLeaving(ctx, i, leader, r)

		return leader.fleet.Feed().Serve(ctx, r, func(u *control.Update) error {
			if sentAt := time.Now(); leader.frozen.Load() || i.frozen.Load() {
				leader.awaitThaw(ctx)
				i.awaitThaw(ctx)
				// The leader was frozen before it made the update.
				u = &control.Update{
					Term: u.Term, Version: u.Version, ConfigurationAge: u.ConfigurationAge + time.Since(sentAt),
					StoreAge: u.StoreAge + time.Since(sentAt), Changes: u.Changes, Configuration: u.Configuration,
				}
			}
			if i.silenced.Load() {
				time.Sleep(time.Until(receivedAt.Add(2200 * time.Millisecond)))

				return errCut
			}
			receivedAt = time.Now()
			if i.isolated.Load() != leader.isolated.Load() {
				return errCut
			}
			if f.older.Load() {
				u = withoutZones(u)
			}
			if now := time.Now(); now.Sub(reportedAt) >= 900*time.Millisecond {
				reportedAt = now
				leader.fleet.Feed().Report(r.Instance.Name, r.Reports())
				i.lastReport.Store(time.Now().UnixNano())
			}

			return receive(u)
		})
	}
}

// reportSuspects passes what an instance reports about queries that seem to crash targets to the leader, until ctx is done.
func (f *followingFleet) reportSuspects(ctx context.Context, i, leader *followingInstance, r *control.FollowRequest) {
	for cursor := uint64(0); ctx.Err() == nil; {
		records, next, changed := r.Suspects(cursor)
		cursor = next
		if len(records) > 0 && i.isolated.Load() == leader.isolated.Load() {
			leader.fleet.Feed().ReportSuspects(records)

			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// spreadSuspects returns the function by which an instance passes records to others directly.
func (f *followingFleet) spreadSuspects(from *followingInstance) func(context.Context, []control.Instance, []suspect.Record) {
	return func(_ context.Context, instances []control.Instance, records []suspect.Record) {
		for _, known := range instances {
			f.mu.Lock()
			to := f.instances[known.Name]
			f.mu.Unlock()
			if to != nil && to != from && to.isolated.Load() == from.isolated.Load() && !to.silenced.Load() && !from.silenced.Load() {
				to.fleet.Feed().ReportSuspects(records)
			}
		}
	}
}

// reportLeaving passes on which targets an instance reports as leaving to the leader, until ctx is done.
func (f *followingFleet) reportLeaving(ctx context.Context, i, leader *followingInstance, r *control.FollowRequest) {
	for ctx.Err() == nil {
		targets, changed := r.Leaving()
		if i.isolated.Load() == leader.isolated.Load() {
			leader.fleet.Feed().ReportLeaving(targets)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (f *followingFleet) start(name string) { f.startWith(name, func(*followingInstance) {}) }

// startWith starts an instance after prepare has changed it.
func (f *followingFleet) startWith(name string, prepare func(i *followingInstance)) {
	f.mu.Lock()
	// No instance gets the address of another one, also if one was killed before.
	f.started++
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), f.started)
	f.mu.Unlock()
	i := &followingInstance{name: name, self: control.Instance{
		Name: name, Peer: address, AvailabilityZone: "Kochi", Processor: 1,
	}}
	i.current, i.suspects = directory.New(nil), quarantine.NewList()
	prepare(i)
	store := f.keyValueStore(i)
	i.fleet = control.NewFleet(store, i.self, f.timers, control.WithDrainBound(drainBound),
		control.OnView(func(v control.View) { i.evacuated.Store(&v.Evacuated) }),
		control.WithSuspects(i.suspects), control.WithFollowing(&control.Following{
			Follow: f.follow(i), FirstStart: !i.restarted, Version: func() uint64 { return i.configuration.Version() },
			OnConfiguration: func(c *control.StoredConfiguration) { i.configuration.Offer(c) },
			OnVersion:       func(version uint64, age time.Duration) { i.configuration.Confirm(version, age) },
		}))
	i.configuration = control.NewConfiguration(f.configurations(i), f.timers, i.fleet.PollTime, control.WithFleet(i.fleet),
		control.WithApplyBound(applyBound),
		control.OnAdopted(func(*route.Table) { i.evacuatedAtStart.CompareAndSwap(nil, i.evacuated.Load()) }))
	targets := control.NewTargets(f.targetSource(i), f.timers, func(d *directory.Directory) {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.current.Len() > 0 && d.Len() == 0 {
			i.lostAll.Store(true)
		}
		i.current = d
	})
	leadership := control.NewLeadership(i.fleet, targets, store, f.timers, time.Second, nil,
		control.WithConfiguration(i.configuration), control.WithNotify(func(_ context.Context, n control.Notice) { f.notify(i, n) }))
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	f.atEnd(cancel)
	f.mu.Lock()
	f.instances[name], f.byAddress[address] = i, i
	f.mu.Unlock()
	spread := func(ctx context.Context) error { return i.fleet.SpreadSuspects(ctx, f.spreadSuspects(i)) }
	for _, run := range []func(context.Context) error{
		spread, i.fleet.Run, i.fleet.Register, i.fleet.Watch, leadership.Run, i.configuration.Run,
	} {
		go func() { _ = run(ctx) }()
	}
}

// notify delivers a notice of a leader to the instances that it knows and that do not follow it.
func (f *followingFleet) notify(from *followingInstance, n control.Notice) {
	for _, known := range from.fleet.View().Instances {
		f.mu.Lock()
		to := f.instances[known.Name]
		f.mu.Unlock()
		if to != nil && to != from && !from.fleet.Feed().Follows(known.Name) && to.isolated.Load() == from.isolated.Load() &&
			!to.silenced.Load() {
			to.fleet.HandleNotice(n)
			to.configuration.RefreshIfOlder(n.Version)
		}
	}
}

// kill stops an instance without letting it resign, and makes it unreachable.
func (f *followingFleet) kill(name string) {
	f.mu.Lock()
	i := f.instances[name]
	delete(f.instances, name)
	delete(f.byAddress, i.self.Peer)
	f.mu.Unlock()
	i.storeCut.Store(true)
	i.isolated.Store(true)
	i.stop()
}

func (f *followingFleet) all() []*followingInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*followingInstance
	for _, i := range f.instances {
		all = append(all, i)
	}

	return all
}

// leader returns the name of the leader if all instances agree on it and all but the leader follow it, otherwise an empty string.
func (f *followingFleet) leader() string {
	all := f.all()
	name := all[0].fleet.View().Leader
	for _, i := range all {
		v := i.fleet.View()
		usesStore, _ := i.fleet.UsesStore()
		if v.Leader != name || v.Targets == nil && i.name != name || usesStore != (i.name == name) || len(v.Instances) != len(all) {
			return ""
		}
	}

	return name
}

// describe returns the state of all instances, for the message of a failure.
func (f *followingFleet) describe() string {
	var text string
	for _, i := range f.all() {
		v := i.fleet.View()
		usesStore, _ := i.fleet.UsesStore()
		text += fmt.Sprintf("%s: leader %q, %d instances, synced %t, uses store %t\n",
			i.name, v.Leader, len(v.Instances), v.Targets != nil, usesStore)
	}

	return text
}

// settle waits until all instances follow one leader.
func (f *followingFleet) settle() string {
	Eventually(f.leader, "15s", "20ms").ShouldNot(BeEmpty(), f.describe)

	return f.leader()
}

// storedTerm returns what tells the term in the leader's key from others. The key's revision changes within a term.
func (f *followingFleet) storedTerm() uint64 {
	GinkgoHelper()
	entry, _, err := f.store.KeyValueStore().Get(context.Background(), "hickorynotch/leader")
	Expect(err).NotTo(HaveOccurred())
	var leader struct{ Term uint64 }
	Expect(json.Unmarshal(entry.Value, &leader)).To(Succeed())
	Expect(leader.Term).NotTo(BeZero())

	return leader.Term
}

// expectTargets waits until all instances have a directory of n targets.
func (f *followingFleet) expectTargets(n int, timeout string) {
	for _, i := range f.all() {
		Eventually(func() int { return i.targets().Len() }, timeout, "20ms").Should(Equal(n), i.name)
	}
}

func names(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("m%02d", i))
	}

	return list
}

var _ = Describe("Following the leader", func() {
	It("lets the calls to the store of a fleet at rest grow far more slowly than the number of instances", func() {
		count := func(n int) int64 {
			f := newFollowingFleet(names(n)...)
			f.settle()
			f.expectTargets(1, "5s")
			before := f.calls.Load()
			time.Sleep(3 * time.Second)

			return f.calls.Load() - before
		}
		few, many := count(5), count(40)
		Expect(many).To(BeNumerically("<=", 2*few), "40 instances compared with 5")
	})

	It("passes the draining state of a target on to all instances within the drain bound", func() {
		f := newFollowingFleet(names(8)...)
		f.settle()
		f.registry.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		for _, i := range f.all() {
			Eventually(func() bool {
				t, ok := i.targets().Target("a")

				return ok && t.Draining
			}, "3s", "20ms").Should(BeTrue())
		}
	})

	It("passes a configuration on to all instances without each reading the store", func() {
		f := newFollowingFleet(names(20)...)
		f.settle()
		before := f.calls.Load()
		f.version.Store(2)
		for _, i := range f.all() {
			Eventually(i.configuration.Version, "3s", "20ms").Should(BeEquivalentTo(2))
		}
		Expect(f.calls.Load()-before).To(BeNumerically("<", 20), "fewer calls than instances")
	})

	It("elects another leader when the leader is killed, and all follow it within the drain bound", func() {
		f := newFollowingFleet(names(8)...)
		f.kill(f.settle())
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "3s")
		f.settle()
	})

	It("elects another leader when the leader alone is cut off from the store, although it still sends updates", func() {
		f := newFollowingFleet(names(8)...)
		first := f.settle()
		f.instances[first].storeCut.Store(true)
		f.registry.set(nil, target("a"), target("b"))
		f.version.Store(2)
		for _, i := range f.all() {
			if i.name != first {
				Eventually(func() int { return i.targets().Len() }, "3s", "20ms").Should(Equal(2), i.name)
				Eventually(i.configuration.Version, "3s", "20ms").Should(BeEquivalentTo(2), i.name)
			}
		}
	})

	It("elects another leader although the leader and the standbys are cut off from the store", func() {
		f := newFollowingFleet(names(10)...)
		first := f.settle()
		cut := 0
		for _, i := range f.all() {
			if i.name == first || cut < 5 {
				i.storeCut.Store(true)
				cut++
			}
		}
		f.registry.set(nil, target("a"), target("b"))
		for _, i := range f.all() {
			if !i.storeCut.Load() {
				Eventually(func() int { return i.targets().Len() }, "5s", "20ms").Should(Equal(2), i.name)
			}
		}
	})

	It("serves instances that cannot reach the leader from the store, and follows again once they can", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		for k, i := range f.all() {
			if i.name != leader && k%2 == 0 {
				i.isolated.Store(true)
			}
		}
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "5s")
		f.version.Store(2)
		for _, i := range f.all() {
			Eventually(i.configuration.Version, "5s", "20ms").Should(BeEquivalentTo(2))
		}
		for _, i := range f.all() {
			i.isolated.Store(false)
		}
		f.settle()
	})

	It("keeps the state during an outage of the store, in which not all instances call it", func() {
		const instances = 40
		f := newFollowingFleet(names(instances)...)
		f.settle()
		f.store.SetUnavailable(true)
		f.registry.set(errors.New("store unavailable"))
		before := f.calls.Load()
		time.Sleep(1500 * time.Millisecond)
		Expect(f.calls.Load()-before).To(BeNumerically("<", 2*instances), "calls in 1.5 s")
		f.expectTargets(1, "1s")
		f.store.SetUnavailable(false)
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "8s")
		f.settle()
	})

	It("keeps targets whose entries expired during an outage that only the leader saw, which was killed in it", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		f.expectTargets(1, "5s")
		// For some time after its start, an instance keeps missing targets anyway.
		time.Sleep(2500 * time.Millisecond)
		f.silent.Store(true)
		f.registry.set(errors.New("store unavailable"))
		time.Sleep(500 * time.Millisecond)
		f.kill(leader)
		f.registry.set(nil)
		f.silent.Store(false)
		// The target registers again some time after the store has recovered.
		Eventually(func() string { return f.all()[0].fleet.View().Leader }, "5s").ShouldNot(BeElementOf("", leader))
		time.Sleep(300 * time.Millisecond)
		f.registry.set(nil, target("a"))
		f.settle()
		f.expectTargets(1, "5s")
		for _, i := range f.all() {
			Expect(i.lostAll.Load()).To(BeFalse(), i.name)
		}
	})

	It("does not make all instances call the store at once when the leader is lost", func() {
		const instances = 60
		f := newFollowingFleet(names(instances)...)
		leader := f.settle()
		before := f.calls.Load()
		f.kill(leader)
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "5s")
		f.settle()
		Expect(f.calls.Load()-before).To(BeNumerically("<", 2*instances), "calls until all follow the next leader")
	})

	It("goes on under the same leader after a write of the mirror whose reply was lost, and passes on what it wrote", func() {
		f := newFollowingFleet(names(6)...)
		leader := f.settle()
		term := f.storedTerm()
		f.instances[leader].loseReplies.Store(true)
		f.registry.set(nil, target("a"), target("b"))
		time.Sleep(1200 * time.Millisecond)
		f.instances[leader].loseReplies.Store(false)
		f.expectTargets(2, "3s")
		f.registry.set(nil, target("b"))
		f.expectTargets(1, "3s")
		Expect(f.settle()).To(Equal(leader))
		Expect(f.storedTerm()).To(Equal(term))
	})

	It("rejects a write of an earlier leader that lands after a later one has begun, so that the mirror never goes back", func() {
		f := newFollowingFleet(names(5)...)
		first := f.settle()
		release, landed := make(chan struct{}), make(chan struct{})
		hold := func() { <-release }
		f.instances[first].holdCommit.Store(&hold)
		f.registry.set(nil, target("a"), target("late"))
		// The leader reads the registry twice a second, and then waits in its commit.
		time.Sleep(700 * time.Millisecond)
		f.kill(first)
		f.registry.set(nil, target("a"), target("b"), target("c"))
		// Without a leader, instances read the registry themselves, so their targets do not show that a later leader has begun.
		Expect(f.settle()).NotTo(Equal(first))
		f.expectTargets(3, "5s")
		go func() {
			close(release)
			time.Sleep(200 * time.Millisecond)
			close(landed)
		}()
		<-landed
		entries, _, err := f.store.KeyValueStore().List(context.Background(), "hickorynotch/targets/")
		Expect(err).NotTo(HaveOccurred())
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		Expect(keys).To(ConsistOf("hickorynotch/targets/a", "hickorynotch/targets/b", "hickorynotch/targets/c"))
		f.expectTargets(3, "1s")
	})

	It("refuses the updates of an earlier leader after a later one was followed", func() {
		store := memory.New(timer.New())
		store.Put("hickorynotch/leader", []byte(`{"Name":"b","Synced":true,"Peer":"10.0.0.2:1"}`))
		refused := make(chan error, 1)
		fleet := control.NewFleet(store.KeyValueStore(), control.Instance{Name: "a"}, timer.New(), control.WithDrainBound(time.Second),
			control.WithFollowing(&control.Following{
				Version: func() uint64 { return 1 }, OnVersion: func(uint64, time.Duration) {},
				Follow: func(_ context.Context, _ netip.AddrPort, _ *control.FollowRequest, receive func(*control.Update) error) error {
					Expect(receive(&control.Update{Term: 9, Changes: &control.Changes{Reset: true}})).To(Succeed())
					err := receive(&control.Update{Term: 8, Changes: &control.Changes{Reset: true}})
					select {
					case refused <- err:
					default:
					}

					return err
				},
			}))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() {
			defer GinkgoRecover()
			_ = fleet.Run(ctx)
		}()
		Eventually(refused, "3s").Should(Receive(MatchError(ContainSubstring("is over"))))
	})

	It("removes an instance that is killed from the list of all others", func() {
		f := newFollowingFleet(names(6)...)
		leader := f.settle()
		for _, i := range f.all() {
			if i.name != leader {
				f.kill(i.name)

				break
			}
		}
		f.settle()
	})

	It("brings an instance that starts during an outage of the store up to date after it", func() {
		f := newFollowingFleet(names(4)...)
		f.settle()
		f.store.SetUnavailable(true)
		f.start("late")
		time.Sleep(500 * time.Millisecond)
		f.store.SetUnavailable(false)
		f.settle()
		f.expectTargets(1, "3s")
	})
})

var _ = Describe("Feed", func() {
	It("refuses to serve updates while the instance does not lead", func() {
		fleet := control.NewFleet(memory.New(timer.New()).KeyValueStore(), control.Instance{Name: "a"}, timer.New())
		err := fleet.Feed().Serve(context.Background(), &control.FollowRequest{}, func(*control.Update) error { return nil })
		Expect(err).To(MatchError(control.ErrNotLeader))
	})

	It("never lets the configuration of a follower go back to an older version", func() {
		f := newFollowingFleet("a", "b")
		f.version.Store(7)
		leader := f.settle()
		for _, i := range f.all() {
			Eventually(i.configuration.Version, "5s").Should(BeEquivalentTo(7))
			if i.name != leader {
				i.configuration.Offer(&control.StoredConfiguration{Version: 5, Value: []byte("5")})
				Expect(i.configuration.Version()).To(BeEquivalentTo(7))
			}
		}
	})
})
