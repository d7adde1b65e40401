package fleet_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

var _ = Describe("Case", func() {
	It("guards against a fresh instance that takes an older reply of the store over a newer one of a peer", func() {
		f := newFleetAt(9, unchanged)
		older := f.record()
		f.apply("second", `"two"`)
		Expect(f.pass(time.Minute, func() bool { return f.settledAll() && f.agree(2) })).To(BeTrue())
		accepted := decode(f.record())
		f.put(older)
		fresh := f.start(9, 1)
		Expect(f.pass(time.Minute, func() bool { return fresh.keeper.Revision() == 2 })).To(BeTrue())
		f.pass(15*time.Second, func() bool { return false })
		Expect(f.judge(accepted)).To(BeEmpty())
	})

	It("guards against an instance that was frozen for minutes and goes on with its old configuration", func() {
		f := newFleetAt(9, unchanged)
		f.nodes[4].freeze()
		f.apply("second", `"two"`)
		f.pass(5*time.Minute, func() bool { return false })
		f.nodes[4].resume()
		Expect(f.pass(time.Minute, func() bool { return f.settledAll() && f.agree(2) })).To(BeTrue())
		Expect(f.judge(decode(f.record()))).To(BeEmpty())
	})

	It("guards against an apply that is lost when the instances that watch the store stop meanwhile", func() {
		f := newFleetAt(9, unchanged)
		f.apply("second", `"two"`)
		for _, n := range f.nodes[:3] {
			n.members.Leave(n.ctx)
			n.kill()
		}
		Expect(f.pass(time.Minute, func() bool { return f.settledAll() && f.agree(2) })).To(BeTrue())
		Expect(f.judge(decode(f.record()))).To(BeEmpty())
	})

	It("guards against an operator's retry that applies twice, when the reply to the accepted write was lost", func() {
		f := newFleetAt(9, unchanged)
		var lose sync.Once
		f.mu.Lock()
		f.hook = func(step string, _ *node) {
			if step == "apply before the write" {
				lose.Do(func() { f.platform.SetFaults(standin.Fault{LoseReply: 1}) })
			}
		}
		f.mu.Unlock()
		f.apply("second", `"two"`)
		Expect(f.pass(time.Minute, func() bool { return f.settledAll() && f.agree(2) })).To(BeTrue())
		f.apply("second", `"two"`)
		Expect(f.pass(time.Minute, f.settledAll)).To(BeTrue())
		accepted := decode(f.record())
		Expect(accepted.Revision).To(Equal(uint64(2)))
		Expect(f.judge(accepted)).To(BeEmpty())
	})
})
