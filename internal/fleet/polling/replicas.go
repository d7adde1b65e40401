package polling

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Replicas returns the replicas of all zones, each address once, for an instance of the zone own. Overlays may name replicas
// for some zones alone, and the owner of such a replica may be in another zone.
func Replicas(active configuration.Active, own zone.Zone) []contract.Replica {
	replicas := make(map[netip.AddrPort]contract.Replica)
	add := func(c contract.Configuration) {
		for _, s := range c.Services {
			for _, r := range s.Replicas {
				// All instances choose the same entry of an address that is in two zones.
				if known, ok := replicas[r.Address]; !ok || r.AvailabilityZone < known.AvailabilityZone {
					replicas[r.Address] = r
				}
			}
		}
	}
	add(active.Configuration)
	record, err := configuration.Decode(active.Raw)
	if err != nil {
		return slices.Collect(maps.Values(replicas))
	}
	overlays := map[zone.Zone][]byte{}
	for z, overlay := range record.Overlays {
		// A merge of 3,000 replicas takes 40 ms, so overlays that cannot name any are left out.
		if z != own && bytes.Contains(overlay, []byte(`"Replicas"`)) {
			overlays[z] = overlay
		}
	}
	if len(record.Overlays[own]) > 0 {
		overlays[own] = nil // the base, which zones without an overlay use
	}
	for _, overlay := range overlays {
		// apply checks every zone; one that does not merge has no configuration.
		if c, err := contract.Merge(record.Base, overlay); err == nil {
			add(c)
		}
	}

	return slices.Collect(maps.Values(replicas))
}
