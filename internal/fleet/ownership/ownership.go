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
	type ranked struct {
		member instance.Instance
		weight uint64
	}
	order := make([]ranked, 0, len(members))
	hash := xxhash.New()
	for _, member := range members {
		hash.Reset()
		_, _ = hash.WriteString(key)
		// The separator keeps key "ab" of member "c" apart from key "a" of member "bc".
		_, _ = hash.Write([]byte{0})
		_, _ = hash.WriteString(member.Name)
		order = append(order, ranked{member: member, weight: hash.Sum64()})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}

		return cmp.Compare(a.member.Name, b.member.Name)
	})
	result := make([]instance.Instance, 0, len(order))
	for _, r := range order {
		result = append(result, r.member)
	}

	return result
}

// Owners returns the instances that may own replica, the owner first: those of live in the replica's zone, or all when that
// zone has none.
func Owners(replica contract.Replica, live []instance.Instance) []instance.Instance {
	candidates := make([]instance.Instance, 0, len(live))
	for _, member := range live {
		if member.AvailabilityZone == replica.AvailabilityZone {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		candidates = live
	}

	return Rank(replica.Address.String(), candidates)
}
