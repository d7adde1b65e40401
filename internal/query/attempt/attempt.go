// Package attempt defines the request that a query sends to a target, directly or through the owner of the target.
//
// An Attempt includes the values of the contract that the owner of a target needs, so that the owner does not look up the
// contract. The owner may be a peer in which an older revision of the configuration is in force.
package attempt

import (
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Attempt is a request for one shard to one replica. Each retry and each hedge is an Attempt of its own.
type Attempt struct {
	Replica contract.Replica
	// Slots and Connections are the limits in the contract of the service.
	Slots       int
	Connections int
	// Worth determines the order of the attempts in the queue of the owner.
	Worth float64
	Query target.Query
}
