package control_test

import (
	"context"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

const evacuationPrefix = "op/evacuate/"

// operatorRevision changes with each change by the operators, and when the store comes back from an older copy.
func (f *followingFleet) operatorRevision() uint64 {
	return f.store.Generation()<<32 | f.zoneChanges.Load()<<16 | f.version.Load()
}

// readZones reads the evacuated zones from the store.
func (f *followingFleet) readZones() (*control.Evacuation, error) {
	entries, revision, err := f.store.KeyValueStore().List(context.Background(), evacuationPrefix)
	if err != nil {
		return nil, err
	}
	zones := &control.Evacuation{Revision: revision}
	for _, e := range entries {
		zones.Zones = append(zones.Zones, strings.TrimPrefix(e.Key, evacuationPrefix))
	}

	return zones, nil
}

// evacuate makes the operators ask for the evacuation of a zone, and returnZone makes them end it.
func (f *followingFleet) evacuate(zone string) {
	f.store.Put(evacuationPrefix+zone, []byte("{}"))
	f.zoneChanges.Add(1)
}

func (f *followingFleet) returnZone(zone string) {
	f.store.Delete(evacuationPrefix + zone)
	f.zoneChanges.Add(1)
}

// withoutZones returns an update without the evacuated zones.
func withoutZones(u *control.Update) *control.Update {
	if u.Changes == nil {
		return u
	}
	stripped := *u
	stripped.Changes = &control.Changes{Reset: u.Changes.Reset}
	for _, e := range u.Changes.Entries {
		if e.Key != "hickorynotch/evacuated" {
			stripped.Changes.Entries = append(stripped.Changes.Entries, e)
		}
	}

	return &stripped
}

// zones returns the zones that the last view of an instance had.
func (i *followingInstance) zones() []string {
	if zones := i.evacuated.Load(); zones != nil {
		return *zones
	}

	return nil
}

// follower returns an instance other than the leader.
func (f *followingFleet) follower(leader string) *followingInstance {
	all := f.all()
	if all[0].name == leader {
		return all[1]
	}

	return all[0]
}

// expectZones waits until all instances know exactly these zones to be evacuated, for at most applyBound since the change at.
func (f *followingFleet) expectZones(at time.Time, zones ...string) {
	GinkgoHelper()
	for _, i := range f.all() {
		Eventually(i.zones, max(time.Until(at.Add(applyBound)), time.Millisecond), "10ms").Should(HaveExactElements(zones), i.name)
	}
}

// expectKept checks that no instance takes the evacuation of Thrissur back for some time.
func (f *followingFleet) expectKept(d time.Duration) {
	GinkgoHelper()
	Consistently(func() (without []string) {
		for _, i := range f.all() {
			if !slices.Contains(i.zones(), "Thrissur") {
				without = append(without, i.name)
			}
		}

		return without
	}, d, "10ms").Should(BeEmpty())
}

var _ = Describe("An evacuation", func() {
	It("and its end reach all instances in time, without each reading the store", func() {
		f := newFollowingFleet(names(20)...)
		f.settle()
		calls, at := f.calls.Load(), time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		at = time.Now()
		f.returnZone("Thrissur")
		f.expectZones(at)
		Expect(f.calls.Load()-calls).To(BeNumerically("<", 20), "fewer calls than instances")
	})

	It("reaches all instances in time if the leader is lost after the operators' write and before it passes that on", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		f.instances[leader].isolated.Store(true)
		at := time.Now()
		f.evacuate("Thrissur")
		time.Sleep(100 * time.Millisecond)
		f.kill(leader)
		f.expectZones(at, "Thrissur")
	})

	It("reaches all instances in time if the leader is reachable and does not hear of it", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.instances[f.settle()]
		leader.watchDeaf.Store(true)
		leader.configurationCut.Store(true)
		at := time.Now()
		f.evacuate("Thrissur")
		for _, i := range f.all() {
			if i != leader {
				Eventually(i.zones, time.Until(at.Add(applyBound)), "10ms").Should(HaveExactElements("Thrissur"), i.name)
			}
		}
	})

	It("reaches the instances in time that reach the store and not the leader", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		for k, i := range f.all() {
			if i.name != leader && k%2 == 0 {
				i.isolated.Store(true)
			} else if i.name != leader && k%3 == 0 {
				i.silenced.Store(true)
			}
		}
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		at = time.Now()
		f.returnZone("Thrissur")
		f.expectZones(at)
	})

	DescribeTable("is known to an instance that restarts before it begins to serve", func(cut func(f *followingFleet, late *followingInstance)) {
		f := newFollowingFleet(names(4)...)
		leader := f.settle()
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		name := f.follower(leader).name
		f.kill(name)
		var late *followingInstance
		f.startWith(name, func(i *followingInstance) {
			late = i
			cut(f, i)
		})
		if late.storeCut.Load() {
			// A notice of the leader may reach it meanwhile.
			time.Sleep(time.Second)
			late.storeCut.Store(false)
		}
		// It is set in the callback, after which the version can be read already.
		Eventually(late.evacuatedAtStart.Load, "3s", "10ms").ShouldNot(BeNil())
		Expect(*late.evacuatedAtStart.Load()).To(HaveExactElements("Thrissur"))
		f.expectKept(3 * time.Second)
	},
		Entry("while the store answers", func(*followingFleet, *followingInstance) {}),
		Entry("while it cannot read the operators' keys", func(_ *followingFleet, late *followingInstance) {
			late.configurationCut.Store(true)
		}),
		Entry("while the store does not answer it at all", func(_ *followingFleet, late *followingInstance) {
			late.storeCut.Store(true)
		}),
		Entry("while no leader passes zones on, because its version does not know of them", func(f *followingFleet, _ *followingInstance) {
			f.older.Store(true)
		}),
	)

	It("is passed on to an instance that restarts by a leader that has learnt of it from the last one only", func() {
		f := newFollowingFleet(names(4)...)
		leader := f.settle()
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		for _, i := range f.all() {
			i.configurationCut.Store(true)
			i.watchDeaf.Store(true)
		}
		f.kill(leader)
		f.settle()
		f.startWith("late", func(late *followingInstance) { late.configurationCut.Store(true) })
		Eventually(f.instances["late"].evacuatedAtStart.Load, "3s", "10ms").ShouldNot(BeNil())
		Expect(*f.instances["late"].evacuatedAtStart.Load()).To(HaveExactElements("Thrissur"))
		f.expectKept(time.Second)
	})

	It("stays in force until the operators have written it again into a store that came back from an older copy", func() {
		f := newFollowingFleet(names(6)...)
		f.settle()
		backup := f.store.Copy()
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		f.restore(backup)
		f.expectKept(1800 * time.Millisecond)
		f.evacuate("Thrissur")
		f.expectKept(3 * time.Second)
		at = time.Now()
		f.returnZone("Thrissur")
		f.expectZones(at)
	})

	It("ends some time after the store came back from an older copy without it", func() {
		f := newFollowingFleet(names(6)...)
		f.settle()
		backup := f.store.Copy()
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		f.restore(backup)
		for _, i := range f.all() {
			Eventually(i.zones, "8s", "20ms").Should(BeEmpty(), i.name)
		}
	})

	It("is not taken back by a leader that has read an older state than an instance that follows it again", func() {
		f := newFollowingFleet(names(6)...)
		leader := f.instances[f.settle()]
		leader.watchDeaf.Store(true)
		leader.configurationCut.Store(true)
		alone := f.follower(leader.name)
		alone.isolated.Store(true)
		f.evacuate("Thrissur")
		Eventually(alone.zones, applyBound, "10ms").Should(HaveExactElements("Thrissur"))
		alone.isolated.Store(false)
		Eventually(func() bool { return leader.fleet.Feed().Follows(alone.name) }, "6s", "10ms").Should(BeTrue())
		Consistently(alone.zones, "2500ms", "10ms").Should(HaveExactElements("Thrissur"))
		at := time.Now()
		f.returnZone("Thrissur")
		leader.configurationCut.Store(false)
		f.expectZones(at)
	})

	It("reaches all instances in time while the version of the leader is older and passes no zones on", func() {
		f := newFollowingFleet()
		f.older.Store(true)
		for _, name := range names(6) {
			f.start(name)
		}
		f.settle()
		time.Sleep(time.Second)
		at := time.Now()
		f.evacuate("Thrissur")
		f.expectZones(at, "Thrissur")
		at = time.Now()
		f.returnZone("Thrissur")
		f.expectZones(at)
	})
})
