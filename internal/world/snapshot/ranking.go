package snapshot

import (
	"cmp"
	"slices"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// ranking lists the versions of one service, best first. The order does not depend on a lower bound of the version, so one
// ranking serves first pins and restarts.
type ranking struct {
	generation uint64
	replicas   []contract.Replica
	pins       []Pin
}

// split is one version in one number of shards. Targets that disagree on the number of shards of a version are not mixed.
type split struct {
	version uint64
	shards  int
}

// rank computes the ranking of the versions that the usable replicas hold.
func (c *Catalog) rank(service string, replicas []contract.Replica) *ranking {
	c.mutex.RLock()
	defer c.mutex.RUnlock()

	known := &ranking{generation: c.generation.Load(), replicas: replicas}
	records := make([]*record, len(replicas))
	holders := make(map[split]int)
	for i, replica := range replicas {
		r := c.targets[replica.Address]
		if r == nil || r.draining || !r.serves(service) || c.leaving.Has(replica.Address) {
			continue
		}
		records[i] = r
		for _, h := range r.usable {
			holders[split{version: h.Version, shards: h.Shards}]++
		}
	}

	// Pins are built for the candidates alone: a target may report many versions with many shards that no other target has.
	pins := make(map[split]Pin, min(len(holders), MaxVersions))
	for _, s := range candidates(holders) {
		pins[s] = Pin{Version: s.version, Replicas: make([][]contract.Replica, s.shards)}
	}
	for i, r := range records {
		if r == nil {
			continue
		}
		for _, h := range r.usable {
			if pin, ok := pins[split{version: h.Version, shards: h.Shards}]; ok {
				pin.Replicas[h.Shard] = append(pin.Replicas[h.Shard], replicas[i])
			}
		}
	}
	for _, pin := range pins {
		known.pins = append(known.pins, pin)
	}
	slices.SortFunc(known.pins, func(a, b Pin) int {
		return cmp.Or(
			cmp.Compare(b.Coverage(), a.Coverage()),
			cmp.Compare(b.Version, a.Version),
			cmp.Compare(b.Shards(), a.Shards()),
		)
	})

	return known
}

// candidates returns the MaxVersions splits that can have the highest coverage.
func candidates(holders map[split]int) []split {
	splits := make([]split, 0, len(holders))
	for s := range holders {
		splits = append(splits, s)
	}
	highest := func(s split) float64 { return min(1, float64(holders[s])/float64(s.shards)) }
	slices.SortFunc(splits, func(a, b split) int {
		return cmp.Or(cmp.Compare(highest(b), highest(a)), cmp.Compare(b.version, a.version), cmp.Compare(b.shards, a.shards))
	})

	return splits[:min(len(splits), MaxVersions)]
}

// Coverage returns the fraction of shards that have a replica.
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

// serves reports whether the target answers queries of service. A target without a service name serves any: several query
// services may share an index.
func (r *record) serves(service string) bool {
	return r.service == "" || r.service == service
}
