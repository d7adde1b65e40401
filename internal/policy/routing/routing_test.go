package routing_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/routing"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/link"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var (
	a = contract.Replica{Address: netip.MustParseAddrPort("127.0.0.1:1"), AvailabilityZone: "Kochi"}
	b = contract.Replica{Address: netip.MustParseAddrPort("127.0.0.1:2"), AvailabilityZone: "Thrissur"}
)

type standings map[contract.Replica]link.Standing

var _ = DescribeTable("Choose",
	func(s standings, tried []netip.AddrPort, want contract.Replica, found bool) {
		router := routing.New("Kochi", func(address netip.AddrPort) link.Standing {
			for replica, standing := range s {
				if replica.Address == address {
					return standing
				}
			}

			return link.Standing{}
		}, routing.WithSeed(1))
		for range 20 {
			got, ok := router.Choose([]contract.Replica{a, b}, tried)
			Expect(ok).To(Equal(found))
			Expect(got).To(Equal(want))
		}
	},
	Entry("takes the own zone when both are alike, so that queries stay near",
		standings{a: {Score: 1}, b: {Score: 1}}, nil, a, true),
	Entry("keeps the own zone while it is less than twice as bad",
		standings{a: {Score: 1.9}, b: {Score: 1}}, nil, a, true),
	Entry("leaves the own zone when it is over twice as bad, so that a slow target does not set the latency",
		standings{a: {Score: 2.1}, b: {Score: 1}}, nil, b, true),
	Entry("leaves out an ejected replica",
		standings{a: {Score: 1, Ejected: true}, b: {Score: 9}}, nil, b, true),
	Entry("ignores ejection when all replicas are ejected, so that a fault on this side does not stop all work",
		standings{a: {Score: 1, Ejected: true}, b: {Score: 9, Ejected: true}}, nil, a, true),
	Entry("does not repeat a replica",
		standings{a: {Score: 1}, b: {Score: 9}}, []netip.AddrPort{a.Address}, b, true),
	Entry("finds none when all were tried",
		standings{}, []netip.AddrPort{a.Address, b.Address}, contract.Replica{}, false),
	Entry("breaks a tie by the reported load only",
		standings{a: {Score: 2, ReportedInFlight: 5}, b: {Score: 1, ReportedInFlight: 1}}, nil, b, true),
)
