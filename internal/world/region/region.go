// Package region holds the set of regions in which a request may be served.
//
// A route and a client account may each list the regions that they allow. A request may be served only where both allow it:
//
//	scope := region.Only("Kerala").Intersect(account.Regions)
//	scope.Allows("Kerala")
package region

import "slices"

// Scope is a set of allowed regions. The zero value allows all regions. A Scope is immutable.
type Scope struct {
	restricted bool
	names      []string
}

// Only returns a Scope of the given regions. Without names it allows all regions, because a configuration that lists none sets no
// restriction.
func Only(names ...string) Scope {
	if len(names) == 0 {
		return Scope{}
	}

	return Restricted(names)
}

// Restricted returns a Scope of exactly the given regions, which may be none.
func Restricted(names []string) Scope {
	names = slices.Clone(names)
	slices.Sort(names)

	return Scope{restricted: true, names: slices.Compact(names)}
}

// Intersect returns the Scope of the regions that both allow. It may allow no region at all.
func (s Scope) Intersect(other Scope) Scope {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	both := Scope{restricted: true}
	for _, name := range s.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}

	return both
}

// IsRestricted reports whether there are regions that the Scope does not allow.
func (s Scope) IsRestricted() bool { return s.restricted }

// Allows reports whether requests may be served in a region. A restricted Scope does not allow a region whose name is not known.
func (s Scope) Allows(name string) bool {
	return !s.restricted || name != "" && slices.Contains(s.names, name)
}

// Names returns the allowed regions in order, nil if all are allowed. The slice must not be modified.
func (s Scope) Names() []string { return s.names }
