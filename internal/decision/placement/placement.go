// Package placement decides which instance gathers a scatter-gather query, that is, sends the subrequests to the shards and merges
// the partial results (parts).
//
// It is designed for fleets in which most instances are small. On a small machine, 90 parts of 1 kB occupy the link for a quarter
// of the objective and the processor for as long. Targets accept fewer connections than there are instances. Where the traffic
// crosses regions, the parts have twenty times the bytes of the merged answer. The instance that received the query therefore
// hands it over to the instance with the lowest estimated cost, often one in the availability zone of the replicas:
//
//	verdict := placement.Choose(own, candidates, placement.Query{Shards: 90, PartBytes: 1000}, place, jitter)
//	// verdict.Index is the index of the candidate, or -1 for the instance itself
package placement

import (
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

const (
	// partProcessorTime is the processor time on a whole core to request and process one part.
	partProcessorTime = 110 * time.Microsecond
	// handoverProcessorTime is the processor time on a whole core to hand over a query, on both instances together.
	handoverProcessorTime = 250 * time.Microsecond
	// zonePartCost and regionPartCost express the price of network traffic for the part of a shard whose nearest replica is in
	// another availability zone of the region, or in another region. Most such parts are merged into the answer of a Group before
	// they are transferred, which takes a seventh of the bytes.
	zonePartCost   = 60 * time.Microsecond
	regionPartCost = 400 * time.Microsecond
	// unreachableCost is added to the cost of an instance without connectivity to the targets, so that any other one is chosen before it.
	unreachableCost = 10 * time.Second
	// gathererFraction is the smallest processor share with which an instance gathers for others, relative to the largest in the
	// fleet.
	gathererFraction = 0.5
)

// Candidate is an instance that could gather the query.
type Candidate struct {
	AvailabilityZone string
	// Processor is the instance's share of a core, and LinkBits the bandwidth of its link in bits per second.
	Processor float64
	LinkBits  float64
	// Active is the number of queries that the instance is gathering: the number in its last report, plus the queries that were
	// handed over to it since.
	Active int
	// Unreachable is set if the instance has lost connectivity to the targets, as far as is known.
	Unreachable bool
	// LocalShards and RegionShards count the shards with a replica in the instance's availability zone and in its region.
	LocalShards  int
	RegionShards int
	// Excluded instances are not chosen, because the query was already handed over to them or because they do not answer.
	Excluded bool
}

// Query holds the properties of a query that determine its cost.
type Query struct {
	Shards int
	// Scope are the regions in which the query may be served.
	Scope region.Scope
	// PartBytes is the usual size of a part, including headers.
	PartBytes float64
}

// Verdict is the chosen instance and the estimates behind the choice.
type Verdict struct {
	// Index is the index of the candidate, or -1 for the instance itself.
	Index int
	Cost  time.Duration
	// OwnCost is the estimated cost at the instance itself.
	OwnCost time.Duration
}

// Choose returns the candidate with the lowest estimated cost, or the instance itself (own) if none costs less. jitter returns a
// small additional cost for a candidate. It differs between the instances that call Choose, so that equal candidates receive equal
// load. A candidate outside the regions that the query allows is not chosen, because it must not get the query. The instance itself
// already has it.
func Choose(own Candidate, candidates []Candidate, q Query, place choice.Place, jitter func(i int) time.Duration) Verdict {
	own = own.Within(q.Scope, place)
	best := Verdict{Index: -1, Cost: own.gatherCost(q, place)}
	best.OwnCost = best.Cost
	if own.Unreachable {
		// A candidate that counts as unreachable as well may have regained connectivity.
		best.Cost += unreachableCost
	}
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || !place.Allows(q.Scope, c.AvailabilityZone) {
			continue
		}
		cost := c.gatherCost(q, place) + handoverCost(own, place.RoundTrip(c.AvailabilityZone)) + jitter(i)
		if cost < best.Cost {
			best.Index, best.Cost = i, cost
		}
	}

	return best
}

// Within returns the candidate without the shards whose replicas in its zone and region are outside a scope.
func (c Candidate) Within(scope region.Scope, place choice.Place) Candidate {
	if !place.Allows(scope, c.AvailabilityZone) {
		c.LocalShards, c.RegionShards = 0, 0
	}

	return c
}

// gatherCost estimates the cost of gathering the query at the instance.
func (c *Candidate) gatherCost(q Query, place choice.Place) time.Duration {
	processorTime := float64(q.Shards*(1+c.Active)) * float64(partProcessorTime)
	cost := time.Duration(processorTime / max(c.Processor, 0.01))
	if c.LinkBits > 0 {
		cost += time.Duration(float64(q.Shards) * q.PartBytes * 8 / c.LinkBits * float64(time.Second))
	}
	local := min(c.LocalShards, q.Shards)
	regional := max(min(c.RegionShards, q.Shards), local)
	cost += time.Duration(regional-local)*zonePartCost + time.Duration(q.Shards-regional)*regionPartCost
	if regional > local {
		cost += choice.SameRegion.RoundTrip()
	}
	if q.Shards > regional {
		cost += place.RegionRoundTrip()
	}

	if c.Unreachable {
		cost += unreachableCost
	}

	return cost
}

// handoverCost estimates the cost of handing over the query from own to a candidate at the given round-trip time.
func handoverCost(own Candidate, roundTrip time.Duration) time.Duration {
	return time.Duration(float64(handoverProcessorTime)/max(own.Processor, 0.01)) + roundTrip
}

// Gatherers counts the instances that are likely to gather queries for others, and reports whether own is one of them. A gatherer
// has at least gathererFraction of the largest processor share, and its availability zone has replicas of at least half as many
// shards as the zone with the most. The gatherers share the connections to the targets.
func Gatherers(instances []Candidate, own Candidate) (n int, self bool) {
	strongest, local := own.Processor, own.LocalShards
	for i := range instances {
		strongest = max(strongest, instances[i].Processor)
		local = max(local, instances[i].LocalShards)
	}
	gathers := func(c *Candidate) bool {
		return c.Processor >= gathererFraction*strongest && c.LocalShards*2 >= local
	}
	for i := range instances {
		if gathers(&instances[i]) {
			n++
		}
	}

	return n, gathers(&own)
}

// minimumGroupSize is the smallest number of shards for which the merged answer has fewer bytes than the parts.
const minimumGroupSize = 3

// Group is a set of shards that an instance in another availability zone gathers and merges into one answer.
type Group struct {
	AvailabilityZone string
	// Shards holds indexes into the query's list of shards.
	Shards []int
}

// Groups returns the shards that are better gathered in other availability zones, because they have no replica in the local one.
//
// zones holds the availability zones of the replicas of each shard. available reports whether a zone has an instance that can
// gather a group. rotation alternates between queries, so that equally suitable zones receive equal load.
func Groups(zones [][]string, place choice.Place, rotation uint32, available func(zone string) bool) []Group {
	var ungrouped []int
	for i, shardZones := range zones {
		if len(shardZones) > 0 && !slices.Contains(shardZones, place.AvailabilityZone) {
			ungrouped = append(ungrouped, i)
		}
	}
	var groups []Group
	for len(ungrouped) >= minimumGroupSize {
		zone, size := nearestZone(zones, ungrouped, place, rotation, available)
		if size < minimumGroupSize {
			break
		}
		g := Group{AvailabilityZone: zone}
		var remaining []int
		for _, i := range ungrouped {
			if slices.Contains(zones[i], zone) {
				g.Shards = append(g.Shards, i)
			} else {
				remaining = append(remaining, i)
			}
		}
		groups, ungrouped = append(groups, g), remaining
	}

	return groups
}

// nearestZone returns the nearest availability zone that has replicas of at least minimumGroupSize ungrouped shards, and the
// number of these shards. Of equally near zones, it returns the one with the most such shards.
func nearestZone(
	zones [][]string, ungrouped []int, place choice.Place, rotation uint32, available func(zone string) bool,
) (zone string, size int) {
	counts := make(map[string]int)
	for _, i := range ungrouped {
		for _, z := range zones[i] {
			counts[z]++
		}
	}
	distance := choice.OtherRegion + 1
	for z, n := range counts {
		if n < minimumGroupSize || !available(z) {
			continue
		}
		d := place.Distance(z)
		if d < distance || d == distance && (n > size || n == size && precedes(z, zone, rotation)) {
			zone, size, distance = z, n, d
		}
	}

	return zone, size
}

// precedes breaks the tie between two equally suitable zones. It orders them by name, in reverse for odd values of rotation.
func precedes(a, b string, rotation uint32) bool {
	if rotation%2 == 0 {
		return a < b
	}

	return a > b
}
