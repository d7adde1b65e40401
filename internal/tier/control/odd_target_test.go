package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

var _ = Describe("A target that cannot be encoded", func() {
	It("does not keep the instances from learning of the others", func() {
		f := newFollowingFleet(names(4)...)
		f.settle()
		f.expectTargets(1, "5s")
		odd := target("odd", func(t *directory.Target) { t.Started = time.UnixMilli(9000000000000000) })
		f.registry.set(nil, target("a"), odd)
		time.Sleep(700 * time.Millisecond)
		f.registry.set(nil, target("a"), target("b"), target("c"), odd)
		for _, i := range f.all() {
			Eventually(func() bool {
				_, ok := i.targets().Target("c")

				return ok
			}, drainBound, "20ms").Should(BeTrue(), i.name)
		}
	})

	It("does not keep an instance from leading", func() {
		f := newFollowingFleet()
		f.registry.set(nil, target("a"), target("odd", func(t *directory.Target) { t.Started = time.UnixMilli(9000000000000000) }))
		for _, name := range names(3) {
			f.start(name)
		}
		f.settle()
	})
})
