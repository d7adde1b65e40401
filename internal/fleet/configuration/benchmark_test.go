package configuration_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// BenchmarkOffer measures the adoption of a new record, with services of 300 replicas.
func BenchmarkOffer(b *testing.B) {
	for _, replicas := range []int{300, 1500, 3000} {
		b.Run(fmt.Sprintf("Replicas=%d", replicas), func(b *testing.B) {
			var services []string
			for first := 0; first < replicas; first += 300 {
				var list []string
				for i := first; i < first+300; i++ {
					list = append(list, fmt.Sprintf(`{"Address":"10.0.%d.%d:7000","AvailabilityZone":"Kochi"}`, i>>8, i&255))
				}
				services = append(services, fmt.Sprintf(`"service-%d":{"Caller":"chattimala","Class":"FullPage","Deadline":"170ms",`+
					`"MinimumCoverage":0.5,"Worth":1,"ExtraLoad":0.05,"Idempotent":true,"PageSize":10,"Slots":2,"Connections":25,`+
					`"ConnectTime":"6ms","Replicas":[%s]}`, first, strings.Join(list, ",")))
			}
			base := json.RawMessage(`{"AvailabilityZones":["Kochi"],"Services":{` + strings.Join(services, ",") + `}}`)
			keeper := configuration.NewKeeper("Kochi", contract.Merge)
			var revision uint64
			b.ReportAllocs()
			for b.Loop() {
				revision++
				raw, err := json.Marshal(configuration.Record{
					Applied: configuration.Applied{Revision: revision, ApplyID: "bench"}, Base: base,
				})
				if err != nil {
					b.Fatal(err)
				}
				if adopted, err := keeper.Offer(raw, "Store"); err != nil || !adopted {
					b.Fatalf("adopted %v: %v", adopted, err)
				}
			}
		})
	}
}
