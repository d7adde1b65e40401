// Package ownership names the instance that owns a target by rendezvous hashing.
//
// Each instance computes the same order from the same members, without any agreement protocol. When a member is added or
// removed, only the keys that it owns move:
//
//	owners := ownership.Owners(replica, members.Live())
//	owners[0] // holds the target's connections and slots
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

// Rank returns members in rendezvous order for key. It depends neither on the order of members nor on anything but their
// names, so that a restarted instance keeps what it owned.
func Rank(key string, members []instance.Instance) []instance.Instance {
	order := make([]ranked, len(members))
	data := make([]byte, 0, 192)
	// The separator keeps key "ab" of member "c" apart from key "a" of member "bc".
	data = append(append(data, key...), 0)
	prefix := len(data)
	for i := range members {
		data = append(data[:prefix], members[i].Name...)
		order[i] = ranked{weight: xxhash.Sum64(data), member: int32(i)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}

		return cmp.Compare(members[a.member].Name, members[b.member].Name)
	})
	result := make([]instance.Instance, len(order))
	for i, r := range order {
		result[i] = members[r.member]
	}

	return result
}

// ranked is a member with its weight for a key. Sorting indices moves a sixth of the memory that sorting members does.
type ranked struct {
	weight uint64
	member int32
}

// Owners returns the instances that may own replica, the owner first: those of live in the replica's zone, or all when that
// zone has none.
func Owners(replica contract.Replica, live []instance.Instance) []instance.Instance {
	// Dispatch ranks for every attempt, so room for all of live would cost more than the ranking.
	count := 0
	for i := range live {
		if live[i].AvailabilityZone == replica.AvailabilityZone {
			count++
		}
	}
	candidates := live
	if count > 0 {
		candidates = make([]instance.Instance, 0, count)
		for i := range live {
			if live[i].AvailabilityZone == replica.AvailabilityZone {
				candidates = append(candidates, live[i])
			}
		}
	}

	return Rank(replica.Address.String(), candidates)
}
