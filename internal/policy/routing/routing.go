// Package routing chooses the replica to which the request for a shard is sent.
//
// It draws two replicas at random and chooses the one with the lower score, which is (requests in flight + 1) × recent latency
// as this instance measures them. The random draw keeps the instances from all sending to the target with the lowest score. A
// replica in the availability zone of the instance is chosen unless its score is more than ZoneFactor times that of the other.
// Ejected replicas are excluded, unless more than half of the shard's replicas are ejected: then the fault is more likely at
// this instance or its network, and ejection is ignored.
//
// The only state of a Router is its random source.
package routing

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/link"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// ZoneFactor is the factor by which the score of a replica in the same availability zone may exceed that of another replica
// before the other is chosen. A request to another zone adds about 2 ms for the round trip and fails when the zones are
// partitioned.
const ZoneFactor = 2.0

// Router chooses replicas. It is safe for concurrent use.
type Router struct {
	zone   zone.Zone
	status func(netip.AddrPort) link.Status

	mu     sync.Mutex
	random *rand.Rand
}

// Option configures a Router.
type Option func(*Router)

// WithSeed makes the random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Router for an instance in the availability zone own. status returns the score, the reported load and the
// ejection of a target.
func New(own zone.Zone, status func(netip.AddrPort) link.Status, options ...Option) *Router {
	r := &Router{zone: own, status: status, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for _, option := range options {
		option(r)
	}

	return r
}

// candidate is a replica with its status at the time of the choice.
type candidate struct {
	replica contract.Replica
	status  link.Status
}

// Choose returns a replica that is not in tried. It returns false when there is none.
func (r *Router) Choose(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool) {
	// Almost all shards have at most eight replicas; their candidates need no allocation on the heap.
	var buffer [8]candidate
	candidates := buffer[:0]
	ejected := 0
	for _, replica := range replicas {
		status := r.status(replica.Address)
		if status.Ejected {
			ejected++
		}
		if !slices.Contains(tried, replica.Address) {
			candidates = append(candidates, candidate{replica: replica, status: status})
		}
	}
	if 2*ejected <= len(replicas) {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.status.Ejected })
	}

	switch len(candidates) {
	case 0:
		return contract.Replica{}, false
	case 1:
		return candidates[0].replica, true
	}
	first, second := r.draw(len(candidates))

	return r.better(candidates[first], candidates[second]).replica, true
}

// draw returns two different random indices below n.
func (r *Router) draw(n int) (int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.random.IntN(n)
	second := r.random.IntN(n - 1)
	if second >= first {
		second++
	}

	return first, second
}

func (r *Router) better(a, b candidate) candidate {
	scoreA, scoreB := r.score(a), r.score(b)
	switch {
	case scoreA < scoreB:
		return a
	case scoreB < scoreA:
		return b
	case b.status.ReportedInFlight < a.status.ReportedInFlight:
		return b
	default:
		return a
	}
}

func (r *Router) score(c candidate) float64 {
	if c.replica.AvailabilityZone == r.zone {
		return c.status.Score / ZoneFactor
	}

	return c.status.Score
}
