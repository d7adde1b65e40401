// Package instance defines the entries of the gossip membership list, one for each instance of the fleet.
//
// An instance is identified by its name. Incarnation orders the entries of an instance: an entry with a higher incarnation
// supersedes one with a lower incarnation. At the same incarnation, the entry with the worse state supersedes the other. Only the
// instance itself increases its incarnation, so only the instance itself can refute a suspicion.
package instance

import (
	"net/netip"

	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// State is the membership state of an instance.
type State uint8

// The states of an instance, from best to worst. Supersedes depends on this order.
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

// Instance is the membership entry of one instance.
type Instance struct {
	Name             string
	AvailabilityZone zone.Zone
	// Peer is the address at which the instance accepts requests from its peers.
	Peer netip.AddrPort
	// Incarnation starts at the Unix time in milliseconds of the process start. The instance increases it to refute an entry
	// with a worse state and when it leaves.
	Incarnation uint64
	State       State
}

// Supersedes reports whether i replaces old, which is an entry of the same instance.
func (i Instance) Supersedes(old Instance) bool {
	if i.Incarnation != old.Incarnation {
		return i.Incarnation > old.Incarnation
	}

	return i.State > old.State
}
