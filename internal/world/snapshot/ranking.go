package snapshot

import (
	"cmp"
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// ranking lists the versions of one service, best first. The order does not depend on the lower bound that is passed to Pin, so
// the same ranking is used for the first pin of a query and for a restart with a newer version.
type ranking struct {
	// generation and replicas identify the state that the ranking was computed from.
	generation uint64
	replicas   []contract.Replica
	pins       []Pin
}

// partitioning is a version together with its number of shards. Targets that report different numbers of shards for a version are
// not combined.
type partitioning struct {
	version uint64
	shards  int
}

// rank computes the ranking of the versions that the usable replicas hold.
func (c *Catalog) rank(service string, replicas []contract.Replica) *ranking {
	c.mutex.RLock()
	defer c.mutex.RUnlock()

	ranked := &ranking{generation: c.generation.Load(), replicas: replicas}
	states := make([]*targetState, len(replicas))
	holdingCounts := make(map[partitioning]int)
	for i, replica := range replicas {
		s := c.targets[replica.Address]
		if s == nil || s.draining || !s.serves(service) || c.leaving.Has(replica.Address) {
			continue
		}
		states[i] = s
		for _, h := range s.usable {
			holdingCounts[partitioning{version: h.Version, shards: h.Shards}]++
		}
	}

	// Pins are built only for the candidates: a Pin allocates an entry for each shard, and a single target may report many
	// versions with many shards that no other target holds.
	pins := make(map[partitioning]Pin, min(len(holdingCounts), MaxVersions))
	for _, p := range candidates(holdingCounts) {
		pins[p] = Pin{Version: p.version, Replicas: make([][]contract.Replica, p.shards)}
	}
	for i, s := range states {
		if s == nil {
			continue
		}
		for _, h := range s.usable {
			if pin, ok := pins[partitioning{version: h.Version, shards: h.Shards}]; ok {
				pin.Replicas[h.Shard] = append(pin.Replicas[h.Shard], replicas[i])
			}
		}
	}
	for _, pin := range pins {
		ranked.pins = append(ranked.pins, pin)
	}
	slices.SortFunc(ranked.pins, func(a, b Pin) int {
		return cmp.Or(
			cmp.Compare(b.Coverage(), a.Coverage()),
			cmp.Compare(b.Version, a.Version),
			cmp.Compare(b.Shards(), a.Shards()),
		)
	})

	return ranked
}

// candidates returns the MaxVersions partitionings with the highest upper bounds of their coverage. The upper bound is the number
// of holdings divided by the number of shards, but at most 1. The coverage reaches it if all holdings are of different shards.
func candidates(holdingCounts map[partitioning]int) []partitioning {
	partitionings := make([]partitioning, 0, len(holdingCounts))
	for p := range holdingCounts {
		partitionings = append(partitionings, p)
	}
	maxCoverage := func(p partitioning) float64 { return min(1, float64(holdingCounts[p])/float64(p.shards)) }
	slices.SortFunc(partitionings, func(a, b partitioning) int {
		return cmp.Or(
			cmp.Compare(maxCoverage(b), maxCoverage(a)),
			cmp.Compare(b.version, a.version),
			cmp.Compare(b.shards, a.shards),
		)
	})

	return partitionings[:min(len(partitionings), MaxVersions)]
}

// Coverage returns the fraction of shards that have a usable replica.
func (p Pin) Coverage() float64 {
	if len(p.Replicas) == 0 {
		return 0
	}
	covered := 0
	for _, replicas := range p.Replicas {
		if len(replicas) > 0 {
			covered++
		}
	}

	return float64(covered) / float64(len(p.Replicas))
}

// serves reports whether the target accepts queries of service. A target that reports no service accepts queries of any, because
// several query services may share an index.
func (s *targetState) serves(service string) bool {
	return s.service == "" || s.service == service
}
