package control_test

import (
	"context"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reportReachability has an instance report to its leader whether it has lost connectivity to the targets.
func (f *followingFleet) reportReachability(i *followingInstance, unreachable bool) {
	GinkgoHelper()
	Expect(i.fleet.ReportReachability(context.Background(), unreachable, func(
		_ context.Context, leader netip.AddrPort, name string, unreachable bool,
	) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.byAddress[leader].fleet.Feed().SetUnreachable(name, unreachable)

		return nil
	})).To(Succeed())
}

// listedUnreachable returns the instances that an instance knows to have lost connectivity to the targets.
func listedUnreachable(i *followingInstance) (names []string) {
	for _, listed := range i.fleet.View().Instances {
		if listed.Unreachable {
			names = append(names, listed.Name)
		}
	}

	return names
}

var _ = Describe("Instances that have lost connectivity to the targets", func() {
	It("are known to all others, the leader too, so that no query is handed over to them, also after the leader was lost (RECOVER)", func() {
		f := newFollowingFleet(names(6)...)
		leader := f.settle()
		other := f.other(leader)
		expect := func(expected ...string) {
			GinkgoHelper()
			for _, i := range f.all() {
				Eventually(func() []string { return listedUnreachable(i) }, "5s", "20ms").Should(ConsistOf(expected))
			}
		}
		f.reportReachability(f.instances[leader], true)
		f.reportReachability(other, true)
		expect(leader, other.name)

		f.kill(leader)
		f.settle()
		f.reportReachability(other, true)
		expect(other.name)
		f.reportReachability(other, false)
		expect()
	})

	It("are not listed by an instance that does not lead", func() {
		f := newFollowingFleet(names(3)...)
		leader := f.settle()
		i := f.other(leader)
		i.fleet.Feed().SetUnreachable(leader, true)
		Expect(listedUnreachable(i)).To(BeEmpty())
	})
})

// other returns an instance other than the one with the given name.
func (f *followingFleet) other(name string) *followingInstance {
	for _, i := range f.all() {
		if i.name != name {
			return i
		}
	}

	return nil
}
