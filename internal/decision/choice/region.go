package choice

import "github.com/hickorynotch/hickorynotch/internal/world/region"

// Allows reports whether requests of a scope may be served in an availability zone. An unknown zone is in no region, so only a scope
// without restriction allows it.
func (p Place) Allows(scope region.Scope, availabilityZone string) bool {
	return !scope.IsRestricted() || scope.Allows(p.Regions[availabilityZone])
}

// HasRegion reports whether an availability zone of the region is known.
func (p Place) HasRegion(name string) bool {
	for _, of := range p.Regions {
		if of == name {
			return true
		}
	}

	return false
}
