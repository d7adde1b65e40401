package ownership_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

var zones = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}

func fleet(size int) (members []instance.Instance) {
	for i := range size {
		members = append(members, instance.Instance{Name: fmt.Sprint("i", i), AvailabilityZone: zones[i%len(zones)]})
	}

	return members
}

func replica(i int) contract.Replica {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)

	return contract.Replica{Address: address, AvailabilityZone: zones[i%len(zones)]}
}

var _ = Describe("Owners", func() {
	It("does not depend on the order or the state of the members, so that instances agree", func() {
		members := fleet(9)
		other := slices.Clone(members)
		slices.Reverse(other)
		for i := range other {
			other[i].Incarnation, other[i].State = 4, instance.Suspect
		}
		for i := range 100 {
			names := func(owners []instance.Instance) (names []string) {
				for _, o := range owners {
					names = append(names, o.Name)
				}

				return names
			}
			Expect(names(ownership.Owners(replica(i), members))).To(Equal(names(ownership.Owners(replica(i), other))))
		}
	})

	It("moves only the targets of a member that went, to their second in order", func() {
		members := fleet(9)
		for i := range 500 {
			before := ownership.Owners(replica(i), members)
			after := ownership.Owners(replica(i), slices.Delete(slices.Clone(members), 4, 5))
			if before[0].Name == "i4" {
				Expect(after[0]).To(Equal(before[1]))
			} else {
				Expect(after[0]).To(Equal(before[0]))
			}
		}
	})

	It("names owners of the replica's zone, and of any zone only when that zone has none", func() {
		members := fleet(9)
		owners := ownership.Owners(replica(0), members)
		Expect(owners).To(HaveLen(3))
		for _, o := range owners {
			Expect(o.AvailabilityZone).To(Equal(zones[0]))
		}
		others := slices.DeleteFunc(slices.Clone(members), func(i instance.Instance) bool { return i.AvailabilityZone == zones[0] })
		Expect(ownership.Owners(replica(0), others)).To(HaveLen(6))
		Expect(ownership.Owners(replica(0), nil)).To(BeEmpty())
	})

	It("spreads targets evenly, so that no instance owns most of them", func() {
		count := map[string]int{}
		for i := range 3000 {
			count[ownership.Owners(replica(i), fleet(9))[0].Name]++
		}
		Expect(count).To(HaveLen(9))
		for _, n := range count {
			Expect(n).To(BeNumerically("~", 3000/9, 70))
		}
	})

	It("is remembered until the live instances change, so that a failed owner is not asked for ever", func() {
		live, replica := fleetOf(12, 1)
		var cache ownership.Cache
		for range 2 {
			Expect(cache.Owners(replica, live)).To(Equal(ownership.Owners(replica, live)[:ownership.MaxOwners]))
		}
		owner := cache.Owners(replica, live)[0]
		left := slices.DeleteFunc(slices.Clone(live), func(i instance.Instance) bool { return i.Name == owner.Name })
		Expect(cache.Owners(replica, left)).NotTo(ContainElement(owner))
		Expect(cache.Owners(replica, nil)).To(BeEmpty())
	})

	It("leaves two instances with different views two owners only for targets of the members that differ", func() {
		members := fleet(8)
		stale := slices.Delete(slices.Clone(members), 3, 4)
		for i := range 300 {
			ours, theirs := ownership.Owners(replica(i), members), ownership.Owners(replica(i), stale)
			if ours[0].Name != theirs[0].Name {
				Expect(ours[0].Name).To(Equal("i3"))
			}
		}
	})
})
