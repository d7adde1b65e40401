package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// coldService is a service whose targets accept few requests while they are cold.
const coldService = "cold"

func table(version uint64) *route.Table {
	t, err := route.NewTable(version, nil, []route.Service{{Name: coldService, WarmupPerSecond: 20}}, route.Limits{})
	if err != nil {
		panic(err)
	}

	return t
}

// scriptedSource is a configuration source that returns its answers in order and then blocks until the call is cancelled.
type scriptedSource struct {
	mu      sync.Mutex
	answers []func() (control.ConfigurationResult, error)
	reads   int
}

func (s *scriptedSource) next(ctx context.Context) (control.ConfigurationResult, error) {
	s.mu.Lock()
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()

		return control.ConfigurationResult{}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()

	return answer()
}

func (s *scriptedSource) source() control.ConfigurationSource {
	return control.ConfigurationSource{
		Read: func(ctx context.Context) (control.ConfigurationResult, error) {
			s.mu.Lock()
			s.reads++
			s.mu.Unlock()

			return s.next(ctx)
		},
		Wait: func(ctx context.Context, _ uint64, _ time.Duration) (control.ConfigurationResult, error) {
			return s.next(ctx)
		},
	}
}

func storedVersion(version uint64) func() (control.ConfigurationResult, error) {
	return func() (control.ConfigurationResult, error) {
		return control.ConfigurationResult{Table: table(version), Revision: version}, nil
	}
}

func failedRead(err error) func() (control.ConfigurationResult, error) {
	return func() (control.ConfigurationResult, error) { return control.ConfigurationResult{}, err }
}

func runConfiguration(s *scriptedSource) (*control.Configuration, func() int) {
	c := control.NewConfiguration(s.source(), timer.New(), func() time.Duration { return time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = c.Run(ctx) }()

	return c, func() int {
		s.mu.Lock()
		defer s.mu.Unlock()

		return s.reads
	}
}

func versionInForce(c *control.Configuration) func() uint64 {
	return func() uint64 {
		if t := c.Current(); t != nil {
			return t.Version()
		}

		return 0
	}
}

var _ = Describe("Configuration", func() {
	It("never adopts a version older than the one in force", func() {
		s := &scriptedSource{answers: []func() (control.ConfigurationResult, error){
			storedVersion(7), storedVersion(5), storedVersion(6),
		}}
		c, _ := runConfiguration(s)
		Eventually(versionInForce(c)).Should(BeEquivalentTo(7))
		Consistently(versionInForce(c), "100ms").Should(BeEquivalentTo(7))
	})

	It("reads the full state again if the store discarded its history, because the long poll may have missed a version", func() {
		s := &scriptedSource{answers: []func() (control.ConfigurationResult, error){
			storedVersion(7), failedRead(control.ErrCompacted), storedVersion(9),
		}}
		c, reads := runConfiguration(s)
		Eventually(versionInForce(c)).Should(BeEquivalentTo(9))
		Expect(reads()).To(Equal(2))
	})

	It("keeps the last valid configuration while the store fails or returns an invalid one", func() {
		invalid := func() (control.ConfigurationResult, error) {
			return control.ConfigurationResult{Fault: errors.New("invalid configuration"), Revision: 8}, nil
		}
		s := &scriptedSource{answers: []func() (control.ConfigurationResult, error){
			storedVersion(7), invalid, failedRead(errors.New("store unavailable")), storedVersion(8),
		}}
		c, _ := runConfiguration(s)
		Eventually(versionInForce(c)).Should(BeEquivalentTo(7))
		Eventually(versionInForce(c), "3s").Should(BeEquivalentTo(8))
	})

	It("reads the store immediately when a peer has a newer version, even while its own long poll returns nothing", func() {
		s := &scriptedSource{answers: []func() (control.ConfigurationResult, error){storedVersion(7)}}
		c, reads := runConfiguration(s)
		Eventually(versionInForce(c)).Should(BeEquivalentTo(7))
		c.Refresh()
		Eventually(reads).Should(Equal(2))
	})
})

func target(id string, change ...func(*directory.Target)) *directory.Target {
	t := &directory.Target{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), AvailabilityZone: "Kochi", Slots: 2,
	}
	for _, f := range change {
		f(t)
	}

	return t
}

// targetRegistry is a stand-in for the registry of targets.
type targetRegistry struct {
	mu      sync.Mutex
	targets []*directory.Target
	err     error
	lists   int
	// generation is that of the store.
	generation uint64
	// twoCalls makes each listing need two calls.
	twoCalls bool
}

func (r *targetRegistry) set(err error, targets ...*directory.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets, r.err = targets, err
}

// restore makes the registry come back from a copy with the given targets.
func (r *targetRegistry) restore(targets ...*directory.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = targets
	r.generation++
}

func (r *targetRegistry) source() control.TargetSource {
	begun := false

	return control.TargetSource{List: func(context.Context) (control.Listed, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lists++
		if begun = r.twoCalls && !begun; begun {
			return control.Listed{}, control.ErrIncomplete
		}

		return control.Listed{Targets: r.targets, Generation: r.generation}, r.err
	}}
}

var _ = Describe("Targets", func() {
	var current *directory.Directory
	newTargets := func(r *targetRegistry) *control.Targets {
		return control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
	}

	It("removes a target immediately when its entry is gone, if the store was available before", func() {
		r := &targetRegistry{}
		t := newTargets(r)
		r.set(nil, target("a"), target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(nil, target("a"))
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(1))
	})

	It("does not take back what it has read itself because a mirror is older, and takes from the mirror what is new", func() {
		at := func(port int) func(*directory.Target) {
			return func(t *directory.Target) { t.Address = netip.AddrPortFrom(t.Address.Addr(), uint16(port)) }
		}
		since := func(started int64) func(*directory.Target) {
			return func(t *directory.Target) { t.Started = time.UnixMilli(started) }
		}
		r := &targetRegistry{}
		t := newTargets(r)
		r.set(nil, target("gone", at(1)), target("drains", at(2)), target("restarted", at(3), since(1)))
		Expect(t.Read(context.Background())).To(Succeed())
		mirror := directory.New(append(r.targets, target("new", at(4)), target("drains-since", at(5), draining)))
		r.set(nil, target("drains", at(2), draining), target("restarted", at(3), since(2)), target("read", at(6)),
			target("drains-since", at(5)))
		Expect(t.Read(context.Background())).To(Succeed())
		t.AdoptMirror(mirror)
		var found []string
		for known := range current.All {
			found = append(found, fmt.Sprintf("%s draining=%t started=%d", known.ID, known.Draining, max(known.Started.UnixMilli(), 0)))
		}
		Expect(found).To(ConsistOf("drains draining=true started=0", "restarted draining=false started=2", "read draining=false started=0",
			"new draining=false started=0", "drains-since draining=true started=0"))
	})

	It("keeps targets whose entries expired during an outage of the store until they have had time to register again", func() {
		r := &targetRegistry{}
		t := newTargets(r)
		r.set(nil, target("a"), target("b", func(t *directory.Target) { t.Address = netip.MustParseAddrPort("10.0.0.2:1") }))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(errors.New("store unavailable"))
		Expect(t.Read(context.Background())).NotTo(Succeed())
		r.set(nil)
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(2))
		Eventually(func() int {
			Expect(t.Read(context.Background())).To(Succeed())

			return current.Len()
		}, "5s", "100ms").Should(BeZero())
	})

	It("does not use a target that has left when an older entry of it is listed again, until the target writes a new one", func() {
		r := &targetRegistry{}
		t := newTargets(r)
		at := func(sequence int64, started time.Time) *directory.Target {
			return target("b", func(t *directory.Target) {
				t.Address, t.Sequence, t.Started = netip.MustParseAddrPort("10.0.0.2:1"), sequence, started
			})
		}
		read := func(targets ...*directory.Target) bool {
			r.set(nil, targets...)
			Expect(t.Read(context.Background())).To(Succeed())
			_, ok := current.Target("b")

			return ok
		}
		Expect(read(target("a"), at(9, time.Unix(7, 0)))).To(BeTrue())
		Expect(read(target("a"))).To(BeFalse())
		Expect(read(target("a"), at(4, time.Unix(7, 0)))).To(BeFalse())
		Expect(read(target("a"), at(4, time.Unix(7, 0)))).To(BeFalse())
		Expect(read(target("a"), at(10, time.Unix(7, 0)))).To(BeTrue())
		Expect(read(target("a"))).To(BeFalse())
		Expect(read(target("a"), at(1, time.Unix(8, 0)))).To(BeTrue(), "another process with the same ID")
	})

	It("does not keep a target whose entry expired when another target has registered at its address", func() {
		r := &targetRegistry{}
		t := newTargets(r)
		r.set(nil, target("a"))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(errors.New("store unavailable"))
		Expect(t.Read(context.Background())).NotTo(Succeed())
		r.set(nil, target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		_, ok := current.Target("a")
		Expect(ok).To(BeFalse())
	})
})

// testInstance runs the watchers and the leadership of one instance on a store in memory.
type testInstance struct {
	fleet   *control.Fleet
	stop    context.CancelFunc
	mu      sync.Mutex
	current *directory.Directory
}

func (m *testInstance) targets() *directory.Directory {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.current
}

func startInstance(store *memory.Store, r *targetRegistry, name string, notify func(control.Notice)) *testInstance {
	timers := timer.New()
	m := &testInstance{current: directory.New(nil)}
	self := control.Instance{
		Name: name, Peer: netip.MustParseAddrPort("10.0.0.9:1"), AvailabilityZone: "Kochi", Processor: 1,
	}
	m.fleet = control.NewFleet(store.KeyValueStore(), self, timers, control.WithDrainBound(time.Second))
	targets := control.NewTargets(r.source(), timers, func(d *directory.Directory) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.current = d
	})
	leadership := control.NewLeadership(m.fleet, targets, store.KeyValueStore(), timers, 100*time.Millisecond, nil,
		control.WithNotify(func(_ context.Context, n control.Notice) { notify(n) }))
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	DeferCleanup(cancel)
	for _, run := range []func(context.Context) error{m.fleet.Run, m.fleet.Register, m.fleet.Watch, leadership.Run} {
		go func() { _ = run(ctx) }()
	}

	return m
}

var _ = Describe("Leadership", func() {
	var (
		store     *memory.Store
		r         *targetRegistry
		instances []*testInstance
	)

	BeforeEach(func() {
		store, r, instances = memory.New(timer.New()), &targetRegistry{}, nil
		var mu sync.Mutex
		notify := func(n control.Notice) {
			mu.Lock()
			defer mu.Unlock()
			for _, instance := range instances {
				instance.fleet.HandleNotice(n)
			}
		}
		r.set(nil, target("a"))
		mu.Lock()
		for i := range 3 {
			instances = append(instances, startInstance(store, r, fmt.Sprint("m", i), notify))
		}
		mu.Unlock()
		for _, instance := range instances {
			Eventually(func() int { return instance.targets().Len() }, "10s").Should(Equal(1))
			Eventually(func() string { return instance.fleet.View().Leader }, "10s").ShouldNot(BeEmpty())
			Eventually(func() int { return len(instance.fleet.View().Instances) }, "10s").Should(Equal(3))
		}
	})

	It("elects one leader for all instances, so that the calls that read the registry do not grow with the fleet", func() {
		Eventually(func() bool { return instances[0].fleet.View().Targets != nil }, "5s").Should(BeTrue())
		leaders := map[string]bool{}
		for _, instance := range instances {
			leaders[instance.fleet.View().Leader] = true
		}
		Expect(leaders).To(HaveLen(1))
	})

	It("propagates the draining state of a target to all instances", func() {
		r.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		for _, instance := range instances {
			Eventually(func() bool {
				t, ok := instance.targets().Target("a")

				return ok && t.Draining
			}, "5s").Should(BeTrue())
		}
	})

	It("propagates a change to all instances even if their long polls return no changes", func() {
		store.HideChanges(true)
		r.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		for _, instance := range instances {
			Eventually(func() bool {
				t, ok := instance.targets().Target("a")

				return ok && t.Draining
			}, "6s").Should(BeTrue())
		}
	})

	It("elects another leader even if the long polls do not return the deletion of the first leader's key", func() {
		store.HideChanges(true)
		first := instances[0].fleet.View().Leader
		for i, instance := range instances {
			if fmt.Sprint("m", i) == first {
				instance.stop()
			}
		}
		for i, instance := range instances {
			if fmt.Sprint("m", i) != first {
				Eventually(func() string { return instance.fleet.View().Leader }, "15s").ShouldNot(BeElementOf("", first))
			}
		}
	})

	It("elects another leader when the first one stops, and the new leader mirrors later changes", func() {
		first := instances[0].fleet.View().Leader
		var remaining []*testInstance
		for i, instance := range instances {
			if fmt.Sprint("m", i) == first {
				instance.stop()
			} else {
				remaining = append(remaining, instance)
			}
		}
		for _, instance := range remaining {
			Eventually(func() string { return instance.fleet.View().Leader }, "10s").ShouldNot(BeElementOf("", first))
		}
		r.set(nil, target("a"), target("b"))
		for _, instance := range remaining {
			Eventually(func() int { return instance.targets().Len() }, "5s").Should(Equal(2))
		}
	})

	It("keeps the targets during an outage of the store and reads changes after it", func() {
		store.SetUnavailable(true)
		r.set(errors.New("store unavailable"))
		for _, instance := range instances {
			Eventually(func() bool { return instance.fleet.View().UpToDate }, "5s").Should(BeFalse())
			Expect(instance.targets().Len()).To(Equal(1))
		}
		store.SetUnavailable(false)
		r.set(nil, target("a"), target("b"))
		for _, instance := range instances {
			Eventually(func() int { return instance.targets().Len() }, "10s").Should(Equal(2))
		}
	})
})

var _ = Describe("Seed", func() {
	It("keeps the targets that the fleet knew before all instances and the store failed, so that they can register again", func() {
		var current *directory.Directory
		r := &targetRegistry{}
		t := control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
		t.Seed(directory.New([]*directory.Target{target("a")}))
		r.set(nil)
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(1))
	})

	It("does not restore a target that is missing from a directory this process has already read", func() {
		var current *directory.Directory
		r := &targetRegistry{}
		t := control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
		r.set(nil, target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		t.Seed(directory.New([]*directory.Target{target("a")}))
		_, ok := current.Target("a")
		Expect(ok).To(BeFalse())
	})
})
