package control_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// rejectWrites makes the store reject each transaction that puts one of the keys. Nil rejects none.
func (f *followingFleet) rejectWrites(keys func(key string) bool, err error) {
	for _, i := range f.all() {
		i.commitError.Store(&commitError{keys: keys, err: err})
	}
}

// rejected is the error for a call whose content the store rejects.
var rejected = errors.Join(control.ErrNoEffect, control.ErrRejected)

func draining(t *directory.Target) { t.Draining = true }

// expectDraining waits until all instances know that a target drains.
func (f *followingFleet) expectDraining(id string) {
	GinkgoHelper()
	deadline := time.Now().Add(drainBound)
	for _, i := range f.all() {
		Eventually(func() bool {
			t, ok := i.targets().Target(id)

			return !ok || t.Draining
		}, time.Until(deadline), "20ms").Should(BeTrue(), i.name)
	}
}

var _ = Describe("A target whose ID is as long as a key of the registry allows", func() {
	longID := "i-" + strings.Repeat("0", 190)

	It("does not keep the instances that follow the leader from learning that other targets drain", func() {
		f := newFollowingFleet(names(4)...)
		f.settle()
		f.expectTargets(1, "5s")
		f.registry.set(nil, target("a"), target(longID))
		time.Sleep(700 * time.Millisecond)
		f.registry.set(nil, target("a", draining), target(longID))
		f.expectDraining("a")
	})

	It("is known to all under its ID, also to a later leader, which learns that it has left", func() {
		f := newFollowingFleet(names(4)...)
		f.registry.set(nil, target("a"), target(longID))
		leader := f.settle()
		f.expectTargets(2, "5s")
		for _, i := range f.all() {
			_, known := i.targets().Target(longID)
			Expect(known).To(BeTrue(), i.name)
		}
		f.kill(leader)
		f.settle()
		f.expectTargets(2, "5s")
		f.registry.set(nil, target("a"))
		f.expectTargets(1, "5s")
	})

	It("is not taken for a target whose ID looks like the key under which it is mirrored", func() {
		f := newFollowingFleet(names(3)...)
		f.registry.set(nil, target(longID))
		f.settle()
		f.expectTargets(1, "5s")
		entries, _, err := f.store.KeyValueStore().List(GinkgoT().Context(), "hickorynotch/targets/")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		f.registry.set(nil, target(longID), target(strings.TrimPrefix(entries[0].Key, "hickorynotch/targets/")))
		f.expectTargets(2, "5s")
	})
})

var _ = Describe("A change that the store rejects", func() {
	isOdd := func(key string) bool { return strings.HasSuffix(key, "/odd") }

	It("does not keep the leader from passing on the others, however many are written at once", func() {
		f := newFollowingFleet(names(4)...)
		f.settle()
		f.expectTargets(1, "5s")
		f.rejectWrites(isOdd, rejected)
		targets := []*directory.Target{target("a", draining), target("odd")}
		for k := range 60 {
			targets = append(targets, target(fmt.Sprintf("t%d", k)))
		}
		f.registry.set(nil, targets...)
		f.expectDraining("a")
		for _, i := range f.all() {
			Eventually(func() int { return i.targets().Len() }, drainBound, "20ms").Should(BeNumerically(">=", 61), i.name)
		}
	})

	It("does not keep an instance from leading, whichever number of them there is", func() {
		f := newFollowingFleet()
		targets := []*directory.Target{target("a")}
		for k := range 40 {
			targets = append(targets, target(fmt.Sprintf("odd%d", k)))
		}
		f.registry.set(nil, targets...)
		for _, name := range names(3) {
			f.start(name)
		}
		f.rejectWrites(func(key string) bool { return strings.Contains(key, "/odd") }, rejected)
		f.settle()
		f.registry.set(nil, append(targets[1:], target("a", draining))...)
		f.expectDraining("a")
	})

	It("makes the followers drop what they knew of the target, which may drain by now", func() {
		f := newFollowingFleet(names(4)...)
		f.registry.set(nil, target("a"), target("odd"))
		f.settle()
		f.expectTargets(2, "5s")
		f.rejectWrites(isOdd, rejected)
		f.registry.set(nil, target("a"), target("odd", draining))
		f.expectDraining("odd")
	})

	It("is tried once and not at each read of the registry", func() {
		f := newFollowingFleet(names(3)...)
		f.settle()
		f.rejectWrites(isOdd, rejected)
		f.registry.set(nil, target("a"), target("odd"))
		time.Sleep(time.Second)
		before := f.rejectedWrites.Load()
		time.Sleep(2 * time.Second)
		Expect(before).To(BeNumerically(">=", 1))
		Expect(f.rejectedWrites.Load()).To(Equal(before))
	})

	It("does not keep the records of other queries from being stored", func() {
		f := newFollowingFleet(names(3)...)
		leader := f.settle()
		odd, other := suspect.NewFingerprint([]byte("GET /odd")), suspect.NewFingerprint([]byte("GET /other"))
		f.rejectWrites(func(key string) bool { return strings.HasSuffix(key, odd.String()) }, rejected)
		for _, query := range []suspect.Fingerprint{odd, other} {
			for n := range 3 {
				f.instances[leader].suspects.RecordCrash(query, suspect.Crash{Process: fmt.Sprintf("p%d", n)}, time.Now())
			}
		}
		f.expectStored(other)
	})
})

var _ = Describe("Changes of the registry that the leader cannot write, although it reads the registry", func() {
	It("do not count as passed on: the followers read the registry themselves", func() {
		f := newFollowingFleet(names(4)...)
		f.settle()
		f.expectTargets(1, "5s")
		f.rejectWrites(func(key string) bool { return slices.Contains([]string{"hickorynotch/targets/a"}, key) }, errCut)
		f.registry.set(nil, target("a", draining))
		f.expectDraining("a")
	})

	It("do not count as passed on by an instance that cannot reach the leader and reads the mirror in the store", func() {
		f := newFollowingFleet(names(4)...)
		leader := f.settle()
		f.expectTargets(1, "5s")
		var alone *followingInstance
		for _, i := range f.all() {
			if i.name != leader {
				alone = i
			}
		}
		alone.isolated.Store(true)
		f.registry.set(nil, target("a"), target("b"))
		f.expectTargets(2, "10s")
		// The next change is not made at a moment that follows from the last one.
		time.Sleep(drainBound)
		f.rejectWrites(func(key string) bool { return strings.HasPrefix(key, "hickorynotch/targets/") }, errCut)
		f.registry.set(nil, target("a", draining), target("b"))
		f.expectDraining("a")
	})
})

var _ = Describe("A registry that cannot be read in one call", func() {
	It("is known to all in time, also under a later leader", func() {
		f := newFollowingFleet(names(4)...)
		f.registry.mu.Lock()
		f.registry.twoCalls = true
		f.registry.mu.Unlock()
		leader := f.settle()
		f.registry.set(nil, target("a", draining), target("b"))
		f.expectDraining("a")
		f.kill(leader)
		f.settle()
		f.registry.set(nil, target("a", draining), target("b", draining))
		f.expectDraining("b")
	})
})
