package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

var _ = Describe("A target that leaves by its own word while the registry lists it as ready", func() {
	started := time.UnixMilli(7)
	ready := target("a", func(t *directory.Target) { t.Started = started })

	draining := func(i *followingInstance) func() bool {
		return func() bool {
			t, ok := i.targets().Target("a")

			return ok && t.Draining
		}
	}

	DescribeTable("drains at all instances once one has reported it, also under the next leader", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		f.registry.set(nil, ready)
		leader := f.settle()
		f.expectTargets(1, "5s")
		for _, i := range f.all() {
			if i.name != leader {
				i.fleet.ReportLeaving([]*directory.Target{ready})

				break
			}
		}
		for _, i := range f.all() {
			Eventually(draining(i), drainBound, "20ms").Should(BeTrue(), i.name)
		}
		f.kill(leader)
		f.settle()
		for _, i := range f.all() {
			Consistently(draining(i), "300ms", "100ms").Should(BeTrue(), i.name)
		}
	},
		Entry("8 instances", 8),
		Entry("60 instances", 60),
	)

	It("drains if the leader itself has the response", func() {
		f := newFollowingFleet(names(4)...)
		f.registry.set(nil, ready)
		leader := f.settle()
		f.expectTargets(1, "5s")
		f.instances[leader].fleet.ReportLeaving([]*directory.Target{ready})
		for _, i := range f.all() {
			Eventually(draining(i), drainBound, "20ms").Should(BeTrue(), i.name)
		}
	})

	It("does not make a process drain that starts later under its ID", func() {
		f := newFollowingFleet(names(3)...)
		f.registry.set(nil, ready)
		leader := f.settle()
		f.expectTargets(1, "5s")
		f.instances[leader].fleet.ReportLeaving([]*directory.Target{ready})
		for _, i := range f.all() {
			Eventually(draining(i), drainBound, "20ms").Should(BeTrue(), i.name)
		}
		f.registry.set(nil, target("a", func(t *directory.Target) { t.Started = time.UnixMilli(8) }))
		for _, i := range f.all() {
			Eventually(draining(i), drainBound, "20ms").Should(BeFalse(), i.name)
		}
	})
})
