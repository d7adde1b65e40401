package ownership_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// BenchmarkOwners measures the order of owners, which dispatch computes for every attempt.
func BenchmarkOwners(b *testing.B) {
	for _, size := range []struct{ instances, zones int }{{8, 3}, {32, 3}, {128, 9}, {450, 9}} {
		b.Run(fmt.Sprintf("Instances=%d/Zones=%d", size.instances, size.zones), func(b *testing.B) {
			live, replica := fleetOf(size.instances, size.zones)
			b.ReportAllocs()
			for b.Loop() {
				ownership.Owners(replica, live)
			}
		})
		b.Run(fmt.Sprintf("Cached/Instances=%d/Zones=%d", size.instances, size.zones), func(b *testing.B) {
			live, replica := fleetOf(size.instances, size.zones)
			var cache ownership.Cache
			b.ReportAllocs()
			for b.Loop() {
				cache.Owners(replica, live)
			}
		})
	}
}

func fleetOf(instances, zones int) ([]instance.Instance, contract.Replica) {
	var live []instance.Instance
	for i := range instances {
		live = append(live, instance.Instance{
			Name: fmt.Sprintf("hickorynotch-%06x-%04d", 1, i), AvailabilityZone: zone.Zone(fmt.Sprintf("zone%d", i%zones)),
		})
	}

	return live, contract.Replica{Address: netip.MustParseAddrPort("10.0.0.1:7000"), AvailabilityZone: "zone0"}
}
