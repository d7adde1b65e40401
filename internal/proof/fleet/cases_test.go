package fleet_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

var _ = Describe("Single scenario", func() {
	It("guards against a starting instance that prefers an older record of the store to a newer one of a peer", func() {
		f := newSettledFleet(9, unmodified)
		older := f.storedRecord()
		f.apply("second", `"two"`)
		Expect(f.advanceUntil(time.Minute, func() bool { return f.appliesDone() && f.allHaveRevision(2) })).To(BeTrue())
		accepted := decode(f.storedRecord())
		f.overwriteRecord(older)
		fresh := f.start(9, 1)
		Expect(f.advanceUntil(time.Minute, func() bool { return fresh.keeper.Revision() == 2 && fresh.lastApplied() == 2 })).To(BeTrue())
		f.advanceUntil(15*time.Second, func() bool { return false })
		Expect(f.violations(accepted)).To(BeEmpty())
	})

	It("guards against an instance that keeps its old configuration after it was frozen for minutes", func() {
		f := newSettledFleet(9, unmodified)
		f.nodes[4].freeze()
		f.apply("second", `"two"`)
		f.advanceUntil(5*time.Minute, func() bool { return false })
		f.nodes[4].resume()
		Expect(f.advanceUntil(time.Minute, func() bool { return f.appliesDone() && f.allHaveRevision(2) })).To(BeTrue())
		Expect(f.violations(decode(f.storedRecord()))).To(BeEmpty())
	})

	It("guards against an apply that is lost because the instances that watch the store stop before they pass it on", func() {
		f := newSettledFleet(9, unmodified)
		f.apply("second", `"two"`)
		for _, n := range f.nodes[:3] {
			n.members.Leave(n.ctx)
			n.kill()
		}
		Expect(f.advanceUntil(time.Minute, func() bool { return f.appliesDone() && f.allHaveRevision(2) })).To(BeTrue())
		Expect(f.violations(decode(f.storedRecord()))).To(BeEmpty())
	})

	It("guards against a configuration that is applied twice because the reply to the operator's first write was lost", func() {
		f := newSettledFleet(9, unmodified)
		var lose sync.Once
		f.mu.Lock()
		f.onStep = func(step string, _ *simulatedInstance) {
			if step == "apply before the write" {
				lose.Do(func() { f.platform.SetFaults(standin.Fault{LoseReply: 1}) })
			}
		}
		f.mu.Unlock()
		f.apply("second", `"two"`)
		Expect(f.advanceUntil(time.Minute, func() bool { return f.appliesDone() && f.allHaveRevision(2) })).To(BeTrue())
		f.apply("second", `"two"`)
		Expect(f.advanceUntil(time.Minute, f.appliesDone)).To(BeTrue())
		accepted := decode(f.storedRecord())
		Expect(accepted.Revision).To(Equal(uint64(2)))
		Expect(f.violations(accepted)).To(BeEmpty())
	})
})
