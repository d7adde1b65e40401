// Package attempt describes one target request on its way from the query to the target.
//
// An Attempt carries what the owner of a target needs to run the request without looking up the contract, because the
// owner may be a peer whose configuration is a revision behind.
package attempt

import (
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Attempt is one copy of a shard request for one replica.
type Attempt struct {
	Replica contract.Replica
	// Slots and Connections are those of the contract.
	Slots       int
	Connections int
	// Worth orders the owner's queue.
	Worth float64
	Query target.Query
	// Movable allows the owner to give the attempt back as target.Waiting, not run, because another replica can be asked.
	Movable bool `cbor:",omitempty"`
	// Late is called at most once by the owner of the target when the attempt holds a slot for longer than most of its service
	// do. It must not block. It is nil for an attempt that is never hedged; a relay carries whether it is set.
	Late func() `cbor:"-"`
}
