// Package snapshot tracks which index versions the targets serve and pins each query to one version, so that an answer is never
// merged from different versions.
//
// A target's report lists its holdings: for each version, the shard that it holds and the number of shards of that version. The
// versions of an index may differ in their number of shards, because an index can be repartitioned. A Catalog processes the reports
// and selects the version for each query:
//
//	catalog := snapshot.New(snapshot.WithTimers(timers))
//	catalog.Learn(address, reply.Report)
//	pin, ok := catalog.Pin("catalogue", service.Replicas, 0)
//	// pin.Replicas[3] are the usable replicas of shard 3
package snapshot

import "github.com/hickorynotch/hickorynotch/internal/world/contract"

// Pin is the index version that a query is pinned to, with the replicas that can serve it.
type Pin struct {
	Version uint64
	// Replicas lists the usable replicas of each shard of the version. The list of a shard that no usable replica holds is empty.
	Replicas [][]contract.Replica
}

// Shards returns the number of shards of the pinned version.
func (p Pin) Shards() int {
	return len(p.Replicas)
}
