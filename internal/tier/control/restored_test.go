package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// write makes n changes to a key that does not concern the instances.
func write(store *memory.Store, n int) {
	for k := range n {
		store.Put("other", fmt.Append(nil, k))
	}
}

// restore makes the store come back from a copy after a moment in which it was away.
func (f *followingFleet) restore(c *memory.Copy) {
	f.store.SetUnavailable(true)
	time.Sleep(100 * time.Millisecond)
	f.store.Restore(c)
	f.store.SetUnavailable(false)
}

var _ = Describe("A store that comes back from an older copy", func() {
	DescribeTable("does not keep the instances from following the next leader, whose revision is lower than that of the last one",
		func(instances int) {
			f := newFollowingFleet(names(instances)...)
			f.kill(f.settle())
			backup := f.store.Copy()
			write(f.store, 500)
			f.kill(f.settle())
			lost := f.settle()
			f.kill(lost)
			f.restore(backup)
			f.settle()
			f.version.Store(2)
			f.registry.set(nil, target("a"), target("b"))
			f.expectTargets(2, "3s")
			for _, i := range f.all() {
				Eventually(i.configuration.Version, "3s", "20ms").Should(BeEquivalentTo(2), i.name)
			}
		},
		Entry("with 8 instances", 8),
		Entry("with 195 instances", 195),
	)

	It("does not make an instance miss changes below the position of a long poll that was not cut", func() {
		store := memory.New(timer.New())
		kv := store.KeyValueStore()
		write(store, 10)
		backup := store.Copy()
		write(store, 10)
		_, position, err := kv.List(context.Background(), "watched/")
		Expect(err).NotTo(HaveOccurred())
		store.Restore(backup)
		store.Put("watched/a", []byte("1"))
		write(store, 20)
		_, _, err = kv.Wait(context.Background(), "watched/", position, 10*time.Millisecond)
		Expect(err).To(MatchError(control.ErrCompacted))
	})

	It("lets the leader go on if the copy has its key, and makes it write the mirror again", func() {
		f := newFollowingFleet(names(5)...)
		leader := f.settle()
		f.registry.set(nil, target("a"), target("gone"))
		f.expectTargets(2, "3s")
		backup := f.store.Copy()
		f.registry.set(nil, target("a"), target("b"))
		Eventually(func() []string { return f.mirrored() }, "3s", "20ms").Should(ConsistOf("a", "b"))
		write(f.store, 100)
		f.restore(backup)
		Eventually(func() []string { return f.mirrored() }, "3s", "20ms").Should(ConsistOf("a", "b"))
		Expect(f.settle()).To(Equal(leader))
		f.expectTargets(2, "1s")
	})

	It("ends the term of a leader whose key is not in the copy, also if another key has the same revision", func() {
		f := newFollowingFleet(names(5)...)
		backup := f.store.Copy()
		f.settle()
		f.restore(backup)
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "5s")
		f.settle()
	})

	It("makes an instance that is registered in the store register again, if the copy has its lease but not its key", func() {
		store := memory.New(timer.New())
		kv := store.KeyValueStore()
		var backup *memory.Copy
		commit := kv.Commit
		kv.Commit = func(ctx context.Context, t control.Transaction) (uint64, error) {
			if backup == nil {
				backup = store.Copy()
			}

			return commit(ctx, t)
		}
		self := control.Instance{Name: "a", Peer: netip.MustParseAddrPort("10.0.0.9:1"), AvailabilityZone: "Kochi", Processor: 1}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = control.NewRegistration(kv, self, timer.New(), nil).Run(ctx) }()
		registered := func() int {
			entries, _, _ := kv.List(ctx, "hickorynotch/instances/")

			return len(entries)
		}
		Eventually(registered, "2s", "10ms").Should(Equal(1))
		store.Restore(backup)
		Expect(registered()).To(BeZero())
		Eventually(registered, "5s", "20ms").Should(Equal(1))
	})

	It("does not bring back a target that has left or drains, nor drop one that registered since, in the directory of any instance", func() {
		f := newFollowingFleet(names(6)...)
		f.settle()
		at := func(id string, port uint16, change ...func(*directory.Target)) *directory.Target {
			return target(id, append(change, func(t *directory.Target) {
				t.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
			})...)
		}
		a, left, drains, added := at("a", 1), at("left", 2), at("drains", 3), at("new", 4)
		draining := at("drains", 3, func(t *directory.Target) { t.Draining = true })
		f.registry.set(nil, a, left, drains)
		f.expectTargets(3, "3s")
		f.registry.set(nil, a, draining, added)
		for _, i := range f.all() {
			Eventually(func() bool {
				t, ok := i.targets().Target("drains")
				_, left := i.targets().Target("left")

				return ok && t.Draining && !left
			}, "5s", "20ms").Should(BeTrue(), i.name)
		}
		// The targets that are alive write their entries again about a second later.
		f.registry.restore(a, left, drains)
		for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.expectUnchanged()
		}
		f.registry.set(nil, a, left, draining, added)
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.expectUnchanged()
		}
	})
})

// expectUnchanged checks that no instance uses the target "left" or "drains", and that all know the target "new".
func (f *followingFleet) expectUnchanged() {
	GinkgoHelper()
	for _, i := range f.all() {
		_, left := i.targets().Target("left")
		Expect(left).To(BeFalse(), i.name)
		if t, ok := i.targets().Target("drains"); ok {
			Expect(t.Draining).To(BeTrue(), i.name)
		}
		_, added := i.targets().Target("new")
		Expect(added).To(BeTrue(), i.name)
	}
}

// mirrorKeys is the prefix of the keys of the mirror.
const mirrorKeys = "hickorynotch/targets/"

// mirrored returns the IDs of the targets in the stored mirror.
func (f *followingFleet) mirrored() (ids []string) {
	entries, _, err := f.store.KeyValueStore().List(context.Background(), mirrorKeys)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		ids = append(ids, e.Key[len(mirrorKeys):])
	}

	return ids
}
