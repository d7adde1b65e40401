// Package placement decides which instance sends a gathered query to the shards.
//
// It answers a load in which most instances are small: 90 parts of 1 kB fill the link of a small machine for a quarter of the
// objective and its processor for as long, targets accept fewer connections than there are instances, and the parts cost
// twenty times the bytes of the merged answer where they cross regions. The instance that received the query hands it to the
// instance with the lowest estimated cost, often one next to the replicas:
//
//	verdict := placement.Choose(candidates, placement.Query{Shards: 90, PartBytes: 1000}, place)
//	// verdict.Index is the candidate, or -1 for the instance itself
package placement

import (
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
)

const (
	// partWork is the processor time of a part on a whole core.
	partWork = 110 * time.Microsecond
	// hopWork is the processor time that handing a query over takes on a whole core, on both sides.
	hopWork = 250 * time.Microsecond
	// partZoneCost and partRegionCost express the price of a part whose replicas are in other availability zones or regions. Most
	// of these parts cross as one merged answer of a group, which costs a seventh of the parts' bytes.
	partZoneCost   = 60 * time.Microsecond
	partRegionCost = 400 * time.Microsecond
	// strongShare is the share of the strongest processor from which an instance gathers for others.
	strongShare = 0.5
)

// Candidate is an instance that could send the query to the shards.
type Candidate struct {
	AvailabilityZone string
	// Processor is the share of a core, LinkBits the bits a second that the machine has.
	Processor float64
	LinkBits  float64
	// Active is the number of queries that the instance gathers, by its last report and what was sent to it since.
	Active int
	// Failures is the recent fraction of queries that it did not answer.
	Failures float64
	// LocalShards and RegionShards count the shards with a replica in its availability zone and in its region.
	LocalShards  int
	RegionShards int
	// Excluded instances are not chosen: they have been tried, or do not answer.
	Excluded bool
}

// Query is what is known of the query.
type Query struct {
	Shards int
	// PartBytes is the usual size of a part with its headers.
	PartBytes float64
}

// Verdict is a choice with the estimate that decided it.
type Verdict struct {
	// Index is the position of the candidate, -1 for the instance itself.
	Index int
	Cost  time.Duration
	// OwnCost is the estimate for the instance itself.
	OwnCost time.Duration
}

// Choose returns the candidate with the lowest cost, or the instance itself. Jitter is a small cost for each candidate that
// differs between instances, so that equal candidates get equal shares.
func Choose(own Candidate, candidates []Candidate, q Query, place choice.Place, jitter func(i int) time.Duration) Verdict {
	best := Verdict{Index: -1, Cost: own.gather(q)}
	best.OwnCost = best.Cost
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		cost := c.gather(q) + c.hop(own, place.Distance(c.AvailabilityZone)) + jitter(i)
		if cost < best.Cost {
			best.Index, best.Cost = i, cost
		}
	}

	return best
}

// gather estimates the cost of the parts at an instance.
func (c *Candidate) gather(q Query) time.Duration {
	work := float64(q.Shards*(1+c.Active)) * float64(partWork)
	cost := time.Duration(work / max(c.Processor, 0.01))
	if c.LinkBits > 0 {
		cost += time.Duration(float64(q.Shards) * q.PartBytes * 8 / c.LinkBits * float64(time.Second))
	}
	local := min(c.LocalShards, q.Shards)
	region := max(min(c.RegionShards, q.Shards), local)
	cost += time.Duration(region-local)*partZoneCost + time.Duration(q.Shards-region)*partRegionCost
	if region > local {
		cost += choice.SameRegion.RoundTrip()
	}
	if q.Shards > region {
		cost += choice.OtherRegion.RoundTrip()
	}

	return cost + time.Duration(c.Failures*float64(choice.FailureCost))
}

func (c *Candidate) hop(own Candidate, distance choice.Distance) time.Duration {
	return time.Duration(float64(hopWork)/max(own.Processor, 0.01)) + distance.RoundTrip()
}

// Gatherers counts the instances that are likely to gather for others, and says whether own is one: the strong ones where replicas
// are. The connections to the shards' targets are shared among them.
func Gatherers(instances []Candidate, own Candidate) (n int, self bool) {
	strongest, local := own.Processor, own.LocalShards
	for i := range instances {
		strongest = max(strongest, instances[i].Processor)
		local = max(local, instances[i].LocalShards)
	}
	gathers := func(c *Candidate) bool {
		return c.Processor >= strongShare*strongest && c.LocalShards*2 >= local
	}
	for i := range instances {
		if gathers(&instances[i]) {
			n++
		}
	}

	return n, gathers(&own)
}

// minimumGroup is the number of shards from which a merged answer has fewer bytes than the parts.
const minimumGroup = 3

// Group is a set of shards whose replicas are in another availability zone.
type Group struct {
	AvailabilityZone string
	// Shards are positions in the list of the query.
	Shards []int
}

// Groups returns the shards that are better gathered in other availability zones, because they have no replica in the own one.
// zones holds the availability zones of the replicas of each shard, and available reports whether there is an instance in a zone.
// Turn differs between queries, so that equal zones get equal shares.
func Groups(zones [][]string, place choice.Place, turn uint32, available func(zone string) bool) []Group {
	var open []int
	for i, of := range zones {
		if len(of) > 0 && !slices.Contains(of, place.AvailabilityZone) {
			open = append(open, i)
		}
	}
	var groups []Group
	for len(open) >= minimumGroup {
		zone, size := best(zones, open, place, turn, available)
		if size < minimumGroup {
			break
		}
		g := Group{AvailabilityZone: zone}
		var rest []int
		for _, i := range open {
			if slices.Contains(zones[i], zone) {
				g.Shards = append(g.Shards, i)
			} else {
				rest = append(rest, i)
			}
		}
		groups, open = append(groups, g), rest
	}

	return groups
}

// best returns the availability zone that holds most of the open shards, in the own region if one there holds enough.
func best(
	zones [][]string, open []int, place choice.Place, turn uint32, available func(zone string) bool,
) (zone string, size int) {
	counts := make(map[string]int)
	for _, i := range open {
		for _, z := range zones[i] {
			counts[z]++
		}
	}
	distance := choice.OtherRegion + 1
	for z, n := range counts {
		if n < minimumGroup || !available(z) {
			continue
		}
		d := place.Distance(z)
		if d < distance || d == distance && (n > size || n == size && before(z, zone, turn)) {
			zone, size, distance = z, n, d
		}
	}

	return zone, size
}

// before orders two zones in a way that depends on turn.
func before(a, b string, turn uint32) bool {
	if turn%2 == 0 {
		return a < b
	}

	return a > b
}
