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

type statuses map[contract.Replica]link.Status

var _ = DescribeTable("Choose",
	func(s statuses, tried []netip.AddrPort, want contract.Replica, found bool) {
		router := routing.New("Kochi", func(address netip.AddrPort) link.Status {
			for replica, status := range s {
				if replica.Address == address {
					return status
				}
			}

			return link.Status{}
		}, routing.WithSeed(1))
		for range 20 {
			got, ok := router.Choose([]contract.Replica{a, b}, tried)
			Expect(ok).To(Equal(found))
			Expect(got).To(Equal(want))
		}
	},
	Entry("chooses the replica in its own zone when the scores are equal, so that queries do not cross zones",
		statuses{a: {Score: 1}, b: {Score: 1}}, nil, a, true),
	Entry("chooses the replica in its own zone while its score is less than twice that of the other",
		statuses{a: {Score: 1.9}, b: {Score: 1}}, nil, a, true),
	Entry("chooses the other zone when the score in its own is over twice as high, so that a slow target does not set the latency",
		statuses{a: {Score: 2.1}, b: {Score: 1}}, nil, b, true),
	Entry("excludes an ejected replica",
		statuses{a: {Score: 1, Ejected: true}, b: {Score: 9}}, nil, b, true),
	Entry("ignores ejection when all replicas are ejected, so that a fault at this instance does not stop all queries",
		statuses{a: {Score: 1, Ejected: true}, b: {Score: 9, Ejected: true}}, nil, a, true),
	Entry("does not choose a replica that was tried",
		statuses{a: {Score: 1}, b: {Score: 9}}, []netip.AddrPort{a.Address}, b, true),
	Entry("returns false when all replicas were tried",
		statuses{}, []netip.AddrPort{a.Address, b.Address}, contract.Replica{}, false),
	Entry("chooses the replica with the lower reported load when the scores are equal after the zone factor",
		statuses{a: {Score: 2, ReportedInFlight: 5}, b: {Score: 1, ReportedInFlight: 1}}, nil, b, true),
)
