// Package snapshot knows which index versions the targets hold and pins each query to one of them.
//
// A target's report lists its holdings: for each version, the shard that it holds and into how many shards that version
// is split. Repartitioning is a version with another number of shards. A Catalog learns the reports and pins queries:
//
//	catalog := snapshot.New(snapshot.WithTimers(timers))
//	catalog.Learn(address, reply.Report)
//	pin, ok := catalog.Pin("catalogue", service.Replicas, 0)
//	pin.Replicas[3] // the usable replicas of shard 3
package snapshot

import "github.com/hickorynotch/hickorynotch/internal/world/contract"

// Pin is the index version that a query is held to.
type Pin struct {
	Version uint64
	// Replicas lists, for each shard of the version, the usable replicas that hold it. A shard without one is empty.
	Replicas [][]contract.Replica
}

// Shards returns the number of shards of the pinned version.
func (p Pin) Shards() int {
	return len(p.Replicas)
}
