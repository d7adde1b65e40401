// Package instance describes the entry instances of the fleet as they know each other.
//
// An instance is identified by its name. Incarnation orders what is said about it: a statement with a higher incarnation
// replaces any with a lower one, and at the same incarnation a worse state replaces a better one, so that only the instance itself
// can refute a suspicion.
package instance

import (
	"net/netip"

	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// State is what is known of an instance.
type State uint8

// The states of an instance, from best to worst.
const (
	Alive State = iota
	Suspect
	Leaving
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	case Leaving:
		return "Leaving"
	case Failed:
		return "Failed"
	default:
		return "Invalid"
	}
}

// Instance is one member of the fleet.
type Instance struct {
	Name             string
	AvailabilityZone zone.Zone
	// Peer is the address at which the instance serves its peers.
	Peer        netip.AddrPort
	Incarnation uint64
	State       State
}

// Supersedes reports whether i is newer knowledge than old about the same instance.
func (i Instance) Supersedes(old Instance) bool {
	if i.Incarnation != old.Incarnation {
		return i.Incarnation > old.Incarnation
	}

	return i.State > old.State
}
