// Package choice selects the replica that a request, or a subrequest of a scatter-gather query, is sent to.
//
// It is designed for replicas that pause for a moment every few seconds, replicas that are several times slower than others, and
// network traffic that costs more from another region than within the availability zone. It selects the replica with the lowest
// estimated cost. The cost is the expected response time plus a penalty for the price of the traffic, expressed as time:
//
//	place := choice.Place{AvailabilityZone: "Kochi", Region: "Kerala", Regions: regions}
//	verdict := choice.Choose(replicas, place, nil)
//	// verdict.Reason is "Nearest" or "Faster"
//
// A replica that has not responded for much longer than its average response time has probably paused, so new requests avoid it
// until it responds again. Unlike a hedge, this needs no extra request.
package choice

import "time"

const (
	// DefaultResponseTime is the assumed response time of a replica that has not answered any request yet. It is the mean service
	// time of the users' scatter-gather queries.
	DefaultResponseTime = 20 * time.Millisecond
	// silenceFactor is the multiple of a replica's average response time without any response after which the replica counts as
	// stopped. Service times in the users' workloads have a tail of 5 times the mean. Although the factor is lower than that, such
	// a request is mistaken for a pause only if both slots of the replica are occupied by such requests, because each response of
	// the other slot ends the silence.
	silenceFactor = 2.5
	// minimumSilence prevents network delay from being mistaken for a pause of a fast service.
	minimumSilence = 25 * time.Millisecond
	// remainingPause is the assumed remaining time of a pause. Pauses last 150 ms to 250 ms.
	remainingPause = 120 * time.Millisecond
	// FailureCost is the cost of a target or an instance that fails every request. It exceeds the latency objective of the
	// scatter-gather queries.
	FailureCost = 400 * time.Millisecond
	// ZoneDelay is the round-trip time between availability zones of a region. It and RegionDelay are derived from the users'
	// one-way delays of 1 ms and 8 ms to 12 ms, plus the time that the machines add.
	ZoneDelay = 3 * time.Millisecond
	// RegionDelay is the round-trip time between regions.
	RegionDelay = 22 * time.Millisecond
	// zoneTrafficCost and regionTrafficCost express the price of the traffic for one response between zones and between regions.
	// In the users' deployment after its growth, 1 kB between regions costs 0.35 % of the worth of a query.
	zoneTrafficCost   = 1 * time.Millisecond
	regionTrafficCost = 12 * time.Millisecond
	// warmupFactor is the multiple of the normal response time that a replica needs while it warms up.
	warmupFactor = 1.6
	// maximumReportAge is the age from which a load report is ignored. It is a few times the mean service time.
	maximumReportAge = 80 * time.Millisecond
	// excessHalfLife is the half-life of the difference between a replica's average response time and that of the fastest replica.
	// Without new samples the difference decays, so that a replica that was slow is tried again.
	excessHalfLife = 1500 * time.Millisecond
)

// Facts is what this instance knows about one replica.
type Facts struct {
	AvailabilityZone string
	Slots            int
	// InFlight is the number of requests that this instance has in flight at the replica.
	InFlight int
	// ResponseTime is the moving average of the replica's response times, or zero without samples. ResponseTimeAge is the age of
	// the newest sample.
	ResponseTime    time.Duration
	ResponseTimeAge time.Duration
	// SinceResponse is the time since the last response, or since the oldest request in flight was sent if that is shorter.
	SinceResponse time.Duration
	// Reported is the number of running and queued requests in the replica's last load report, and ReportAge the age of that
	// report. Slowdown is the reported service time relative to normal, or 0 if the replica does not report it.
	Reported  int
	ReportAge time.Duration
	Slowdown  float64
	// Failures is the fraction of recent requests that failed.
	Failures float64
	// Warmup is the remaining time for which the replica is slow after its start.
	Warmup time.Duration
}

// Place is the location of this instance.
type Place struct {
	AvailabilityZone string
	Region           string
	// Regions maps availability zones to regions.
	Regions map[string]string
	// RoundTrips holds measured round-trip times. Nil means that only the usual ones are known.
	RoundTrips *RoundTrips
}

// Distance is the network distance between this instance and an availability zone.
type Distance int

// The distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns the distance to an availability zone. An unknown zone counts as one in another region.
func (p Place) Distance(availabilityZone string) Distance {
	switch {
	case availabilityZone == p.AvailabilityZone:
		return SameZone
	case p.Regions[availabilityZone] == p.Region && p.Region != "":
		return SameRegion
	default:
		return OtherRegion
	}
}

// RoundTrip returns the usual round-trip time over the distance.
func (d Distance) RoundTrip() time.Duration {
	switch d {
	case SameZone:
		return 0
	case SameRegion:
		return ZoneDelay
	default:
		return RegionDelay
	}
}

// Stopped reports whether the replica seems to have stopped answering: it has requests in flight, but has not responded to any for
// much longer than its average response time.
func (f *Facts) Stopped() bool {
	if f.InFlight == 0 {
		return false
	}
	average := f.ResponseTime
	if average == 0 {
		average = DefaultResponseTime
	}

	return f.SinceResponse > max(minimumSilence, time.Duration(silenceFactor*float64(average)))
}

// Verdict is the chosen replica with its estimated cost. Reason is "Nearest" if no other replica is nearer, "Faster" if a nearer
// one has a higher cost, and "NoReplica" if Index is -1.
type Verdict struct {
	Index  int
	Cost   time.Duration
	Reason string
}

// Choose returns the replica with the lowest cost among those for which skip returns false. The index is -1 if there is none. A nil
// skip skips no replica.
func Choose(replicas []Facts, place Place, skip func(i int) bool) Verdict {
	fastest := fastestAverage(replicas)
	best := Verdict{Index: -1, Reason: "NoReplica"}
	nearest := OtherRegion + 1
	for i := range replicas {
		if skip != nil && skip(i) {
			continue
		}
		nearest = min(nearest, place.Distance(replicas[i].AvailabilityZone))
		cost := replicas[i].cost(place, fastest)
		if best.Index < 0 || cost < best.Cost {
			best.Index, best.Cost = i, cost
		}
	}
	if best.Index >= 0 {
		best.Reason = "Nearest"
		if place.Distance(replicas[best.Index].AvailabilityZone) > nearest {
			best.Reason = "Faster"
		}
	}

	return best
}

// fastestAverage returns the lowest average response time of the replicas, or DefaultResponseTime if none has samples.
func fastestAverage(replicas []Facts) time.Duration {
	var lowest time.Duration
	for i := range replicas {
		if p := replicas[i].ResponseTime; p > 0 && (lowest == 0 || p < lowest) {
			lowest = p
		}
	}
	if lowest == 0 {
		return DefaultResponseTime
	}

	return lowest
}

// cost estimates the response time of the replica and adds penalties for failures and for the price of the traffic. fastest is the
// lowest average response time of all replicas.
func (f *Facts) cost(place Place, fastest time.Duration) time.Duration {
	expected := f.ResponseTime
	if expected == 0 {
		expected = fastest
	}
	if excess := expected - fastest; excess > 0 && f.ResponseTimeAge > 0 {
		expected = fastest + time.Duration(float64(excess)*decayFactor(f.ResponseTimeAge, excessHalfLife))
	}
	if f.Warmup > 0 {
		expected = time.Duration(warmupFactor * float64(expected))
	}
	if f.Slowdown > 1 && f.ReportAge < maximumReportAge {
		expected = time.Duration(f.Slowdown * float64(expected))
	}
	queued := f.InFlight
	if f.ReportAge < maximumReportAge {
		queued = max(queued, f.Reported)
	}
	cost := expected
	if slots := max(f.Slots, 1); queued >= slots {
		cost += expected * time.Duration(queued+1-slots) / time.Duration(slots)
	}
	if f.Stopped() {
		cost += remainingPause
	}
	cost += time.Duration(f.Failures * float64(FailureCost))
	switch place.Distance(f.AvailabilityZone) {
	case SameRegion:
		cost += zoneTrafficCost
	case OtherRegion:
		cost += regionTrafficCost
	}
	if f.ResponseTime == 0 {
		// Measured response times include the round trip already.
		cost += place.RoundTrip(f.AvailabilityZone)
	}

	return cost
}

// decayFactor returns the factor to which a value with the given half-life has decayed after age.
func decayFactor(age, halfLife time.Duration) float64 {
	factor := 1.0
	for ; age >= halfLife; age -= halfLife {
		factor /= 2
		if factor < 1.0/1024 {
			return 0
		}
	}

	return factor * (1 - float64(age)/float64(2*halfLife))
}
