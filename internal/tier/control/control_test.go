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

func table(version uint64) *route.Table {
	t, err := route.NewTable(version, nil, nil, route.Limits{})
	Expect(err).NotTo(HaveOccurred())

	return t
}

// steps is a configuration source that gives one answer after the other and then waits.
type steps struct {
	mu      sync.Mutex
	answers []func() (control.Stored, error)
	reads   int
}

func (s *steps) next(ctx context.Context) (control.Stored, error) {
	s.mu.Lock()
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()

		return control.Stored{}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()

	return answer()
}

func (s *steps) source() control.ConfigurationSource {
	return control.ConfigurationSource{
		Read: func(ctx context.Context) (control.Stored, error) {
			s.mu.Lock()
			s.reads++
			s.mu.Unlock()

			return s.next(ctx)
		},
		Wait: func(ctx context.Context, _ uint64, _ time.Duration) (control.Stored, error) { return s.next(ctx) },
	}
}

func stored(version uint64) func() (control.Stored, error) {
	return func() (control.Stored, error) { return control.Stored{Table: table(version), Revision: version}, nil }
}

func broken(err error) func() (control.Stored, error) {
	return func() (control.Stored, error) { return control.Stored{}, err }
}

func runConfiguration(s *steps) (*control.Configuration, func() int) {
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

func version(c *control.Configuration) func() uint64 {
	return func() uint64 {
		if t := c.Current(); t != nil {
			return t.Version()
		}

		return 0
	}
}

var _ = Describe("Configuration", func() {
	It("never goes back to an older version", func() {
		s := &steps{answers: []func() (control.Stored, error){stored(7), stored(5), stored(6)}}
		c, _ := runConfiguration(s)
		Eventually(version(c)).Should(BeEquivalentTo(7))
		Consistently(version(c), "100ms").Should(BeEquivalentTo(7))
	})

	It("reads again after the history was discarded, because the wait may have missed a version", func() {
		s := &steps{answers: []func() (control.Stored, error){stored(7), broken(control.ErrForgotten), stored(9)}}
		c, reads := runConfiguration(s)
		Eventually(version(c)).Should(BeEquivalentTo(9))
		Expect(reads()).To(Equal(2))
	})

	It("holds the last good configuration while the store fails or holds something broken", func() {
		fault := func() (control.Stored, error) { return control.Stored{Fault: errors.New("broken"), Revision: 8}, nil }
		s := &steps{answers: []func() (control.Stored, error){stored(7), fault, broken(errors.New("away")), stored(8)}}
		c, _ := runConfiguration(s)
		Eventually(version(c)).Should(BeEquivalentTo(7))
		Eventually(version(c), "3s").Should(BeEquivalentTo(8))
	})

	It("reads at once when a peer has a newer version, although its own wait is silent", func() {
		s := &steps{answers: []func() (control.Stored, error){stored(7)}}
		c, reads := runConfiguration(s)
		Eventually(version(c)).Should(BeEquivalentTo(7))
		c.Refresh()
		Eventually(reads).Should(Equal(2))
	})
})

func target(id string, change ...func(*directory.Target)) *directory.Target {
	t := &directory.Target{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), AvailabilityZone: "Kochi", Slots: 2}
	for _, f := range change {
		f(t)
	}

	return t
}

// registry is the targets' entries.
type registry struct {
	mu      sync.Mutex
	targets []*directory.Target
	err     error
	lists   int
}

func (r *registry) set(err error, targets ...*directory.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets, r.err = targets, err
}

func (r *registry) source() control.TargetSource {
	return control.TargetSource{List: func(context.Context) (control.Listed, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lists++

		return control.Listed{Targets: r.targets}, r.err
	}}
}

var _ = Describe("Targets", func() {
	var current *directory.Directory
	keeper := func(r *registry) *control.Targets {
		return control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
	}

	It("takes a target whose entry is gone out at once", func() {
		r := &registry{}
		t := keeper(r)
		r.set(nil, target("a"), target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(nil, target("a"))
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(1))
	})

	It("keeps targets whose entries lapsed while the store was away, until they had time to register again", func() {
		r := &registry{}
		t := keeper(r)
		r.set(nil, target("a"), target("b", func(t *directory.Target) { t.Address = netip.MustParseAddrPort("10.0.0.2:1") }))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(errors.New("away"))
		Expect(t.Read(context.Background())).NotTo(Succeed())
		r.set(nil)
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(2))
		Eventually(func() int {
			Expect(t.Read(context.Background())).To(Succeed())

			return current.Len()
		}, "5s", "100ms").Should(BeZero())
	})

	It("does not keep a lapsed target whose address another one has taken", func() {
		r := &registry{}
		t := keeper(r)
		r.set(nil, target("a"))
		Expect(t.Read(context.Background())).To(Succeed())
		r.set(errors.New("away"))
		Expect(t.Read(context.Background())).NotTo(Succeed())
		r.set(nil, target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		_, ok := current.Target("a")
		Expect(ok).To(BeFalse())
	})
})

// member is an instance's keepers on a store in memory.
type member struct {
	fleet   *control.Fleet
	stop    context.CancelFunc
	mu      sync.Mutex
	current *directory.Directory
}

func (m *member) targets() *directory.Directory {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.current
}

func join(store *memory.Store, r *registry, name string, notify func(control.Notice)) *member {
	timers := timer.New()
	m := &member{current: directory.New(nil)}
	self := control.Instance{
		Name: name, Peer: netip.MustParseAddrPort("10.0.0.9:1"), AvailabilityZone: "Kochi", Processor: 1,
	}
	m.fleet = control.NewFleet(store.Own(), self, timers, control.WithDrainBound(time.Second))
	keeper := control.NewTargets(r.source(), timers, func(d *directory.Directory) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.current = d
	})
	leadership := control.NewLeadership(m.fleet, keeper, store.Own(), timers, 100*time.Millisecond, nil,
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
		store   *memory.Store
		r       *registry
		members []*member
	)

	BeforeEach(func() {
		store, r, members = memory.New(timer.New()), &registry{}, nil
		var mu sync.Mutex
		notify := func(n control.Notice) {
			mu.Lock()
			defer mu.Unlock()
			for _, m := range members {
				m.fleet.Noticed(n)
			}
		}
		r.set(nil, target("a"))
		mu.Lock()
		for i := range 3 {
			members = append(members, join(store, r, fmt.Sprint("m", i), notify))
		}
		mu.Unlock()
		for _, m := range members {
			Eventually(func() int { return m.targets().Len() }, "10s").Should(Equal(1))
			Eventually(func() string { return m.fleet.View().Leader }, "10s").ShouldNot(BeEmpty())
			Eventually(func() int { return len(m.fleet.View().Instances) }, "10s").Should(Equal(3))
		}
	})

	It("lets one instance read the entries for all, so that the calls do not grow with the fleet", func() {
		Eventually(func() bool { return members[0].fleet.View().Targets != nil }, "5s").Should(BeTrue())
		leaders := map[string]bool{}
		for _, m := range members {
			leaders[m.fleet.View().Leader] = true
		}
		Expect(leaders).To(HaveLen(1))
	})

	It("tells all instances that a target drains", func() {
		r.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		for _, m := range members {
			Eventually(func() bool {
				t, ok := m.targets().Target("a")

				return ok && t.Draining
			}, "5s").Should(BeTrue())
		}
	})

	It("tells all instances of a change although their waits hear of none", func() {
		store.SetDeaf(true)
		r.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		for _, m := range members {
			Eventually(func() bool {
				t, ok := m.targets().Target("a")

				return ok && t.Draining
			}, "6s").Should(BeTrue())
		}
	})

	It("elects another leader although the waits do not hear that the first is gone", func() {
		store.SetDeaf(true)
		first := members[0].fleet.View().Leader
		for i, m := range members {
			if fmt.Sprint("m", i) == first {
				m.stop()
			}
		}
		for i, m := range members {
			if fmt.Sprint("m", i) != first {
				Eventually(func() string { return m.fleet.View().Leader }, "15s").ShouldNot(BeElementOf("", first))
			}
		}
	})

	It("elects another leader when the first is gone, and goes on mirroring", func() {
		first := members[0].fleet.View().Leader
		var rest []*member
		for i, m := range members {
			if fmt.Sprint("m", i) == first {
				m.stop()
			} else {
				rest = append(rest, m)
			}
		}
		for _, m := range rest {
			Eventually(func() string { return m.fleet.View().Leader }, "10s").ShouldNot(BeElementOf("", first))
		}
		r.set(nil, target("a"), target("b"))
		for _, m := range rest {
			Eventually(func() int { return m.targets().Len() }, "5s").Should(Equal(2))
		}
	})

	It("goes on after the store was away", func() {
		store.SetAway(true)
		r.set(errors.New("away"))
		for _, m := range members {
			Eventually(func() bool { return m.fleet.View().Known }, "5s").Should(BeFalse())
			Expect(m.targets().Len()).To(Equal(1))
		}
		store.SetAway(false)
		r.set(nil, target("a"), target("b"))
		for _, m := range members {
			Eventually(func() int { return m.targets().Len() }, "10s").Should(Equal(2))
		}
	})
})

var _ = Describe("Seed", func() {
	It("keeps what the fleet knew when all instances and the store were away, because entries lapse and come back", func() {
		var current *directory.Directory
		r := &registry{}
		t := control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
		t.Seed(directory.New([]*directory.Target{target("a")}))
		r.set(nil)
		Expect(t.Read(context.Background())).To(Succeed())
		Expect(current.Len()).To(Equal(1))
	})

	It("does not bring back targets that this process knows to be gone", func() {
		var current *directory.Directory
		r := &registry{}
		t := control.NewTargets(r.source(), timer.New(), func(d *directory.Directory) { current = d })
		r.set(nil, target("b"))
		Expect(t.Read(context.Background())).To(Succeed())
		t.Seed(directory.New([]*directory.Target{target("a")}))
		_, ok := current.Target("a")
		Expect(ok).To(BeFalse())
	})
})
