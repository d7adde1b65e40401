package control_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// expectInForce waits until a version that was stored at the given time is in force on an instance, within the bound.
func expectInForce(i *followingInstance, version uint64, storedAt time.Time) {
	GinkgoHelper()
	Eventually(i.configuration.Version, time.Until(storedAt.Add(applyBound)), "10ms").Should(BeEquivalentTo(version), i.name)
}

var _ = Describe("A change of the configuration", func() {
	DescribeTable("is in force within the bound although each next leader is lost before it has read the store", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		f.kill(f.settle())
		f.version.Store(2)
		storedAt := time.Now()
		f.killLeaders(storedAt.Add(applyBound - 200*time.Millisecond))
		for _, i := range f.all() {
			expectInForce(i, 2, storedAt)
		}
	},
		Entry("8 instances", 8),
		Entry("195 instances", 195),
	)

	It("is in force within the bound on an instance that loses the leader while that keeps its lease", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		var lost *followingInstance
		for _, i := range f.all() {
			if i.name != leader {
				lost = i
			}
		}
		lost.silenced.Store(true)
		f.version.Store(2)
		expectInForce(lost, 2, time.Now())
	})

	It("is in force within the bound although the leader can renew its lease but not read the configuration", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		f.instances[leader].configurationCut.Store(true)
		f.version.Store(2)
		storedAt := time.Now()
		for _, i := range f.all() {
			if i.name != leader {
				expectInForce(i, 2, storedAt)
			}
		}
	})
})

var _ = Describe("A change of the configuration that a long poll does not report", func() {
	It("is in force within the bound on an instance that cannot reach the leader", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		for _, i := range f.all() {
			if i.name == leader {
				continue
			}
			i.isolated.Store(true)
			Eventually(func() bool {
				usesStore, _ := i.fleet.UsesStore()

				return usesStore
			}, "15s").Should(BeTrue())
			// A long poll may have begun before the instance lost the leader.
			time.Sleep(500 * time.Millisecond)
			i.watchDeaf.Store(true)
			f.version.Store(2)
			expectInForce(i, 2, time.Now())

			return
		}
	})
})

// killLeaders kills each instance that acquires the leader's key, until the given time.
func (f *followingFleet) killLeaders(until time.Time) {
	for time.Now().Before(until) {
		if name := f.keyHolder(); f.alive(name) {
			f.kill(name)
		}
		time.Sleep(time.Millisecond)
	}
}

// keyHolder returns the name of the instance that has acquired the leader's key, empty if there is none.
func (f *followingFleet) keyHolder() string {
	entry, _, err := f.store.KeyValueStore().Get(context.Background(), "hickorynotch/leader")
	if err != nil || entry.Deleted {
		return ""
	}
	var holder struct{ Name string }
	Expect(json.Unmarshal(entry.Value, &holder)).To(Succeed())

	return holder.Name
}

// alive reports whether there is an instance with a name that was not killed.
func (f *followingFleet) alive(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.instances[name] != nil
}

var _ = Describe("A target that drains", func() {
	DescribeTable("is not used after the drain bound although each next leader is lost before it has read the store", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		leader := f.settle()
		f.expectTargets(1, "5s")
		f.kill(leader)
		f.registry.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		drainedAt := time.Now()
		f.killLeaders(drainedAt.Add(drainBound - 200*time.Millisecond))
		for _, i := range f.all() {
			Eventually(func() bool {
				t, ok := i.targets().Target("a")

				return ok && t.Draining
			}, time.Until(drainedAt.Add(drainBound)), "10ms").Should(BeTrue(), i.name)
		}
	},
		Entry("8 instances", 8),
		Entry("195 instances", 195),
	)

	It("is not used after the drain bound by an instance that loses the leader while that keeps its lease", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		f.expectTargets(1, "5s")
		var lost *followingInstance
		for _, i := range f.all() {
			if i.name != leader {
				lost = i
			}
		}
		lost.silenced.Store(true)
		f.registry.set(nil, target("a", func(t *directory.Target) { t.Draining = true }))
		Eventually(func() bool {
			t, ok := lost.targets().Target("a")

			return ok && t.Draining
		}, drainBound, "10ms").Should(BeTrue())
	})
})
