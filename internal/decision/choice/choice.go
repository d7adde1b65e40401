// Package choice decides which replica a request or a part of it goes to.
//
// It answers a load in which each replica stops for a moment every few seconds, some replicas are several times slower than
// others, and the bytes of an answer cost more from a distant region than from the own availability zone. The replica with
// the lowest estimated cost is chosen; the estimate is the time until its response, with the distance expressed as time:
//
//	i, verdict := choice.Choose(facts, choice.Place{AvailabilityZone: "Kochi", Region: "Kerala"}, regions)
//	// verdict.Reason is "Nearest" or "Faster"
//
// A replica that has been silent for much longer than its usual time has probably stopped, so new requests go elsewhere
// before its pause is over. That costs no extra request, unlike a hedge.
package choice

import "time"

const (
	// DefaultPace is the assumed time of a request to a replica that has not answered any. It is the mean work of the users'
	// gathered queries.
	DefaultPace = 20 * time.Millisecond
	// silenceFactor is the number of usual times without any response after which a replica counts as stopped. The users'
	// tail of 5 times the mean work would be mistaken for a pause at a lower factor only where both slots hold such work.
	silenceFactor = 2.5
	// minimumSilence keeps fast services from taking the delay of the network for a pause.
	minimumSilence = 25 * time.Millisecond
	// pauseRemainder is the assumed rest of a pause. Pauses last 150 ms to 250 ms.
	pauseRemainder = 120 * time.Millisecond
	// FailureCost is the cost of a target or an instance that fails every request; it exceeds the objective of the gathered
	// queries.
	FailureCost = 400 * time.Millisecond
	// ZoneDelay is the round trip of a path between availability zones of a region. It and RegionDelay are the users' one-way
	// delays of 1 ms and 8 ms to 12 ms with what the machines add.
	ZoneDelay = 3 * time.Millisecond
	// RegionDelay is that of a path between regions.
	RegionDelay = 22 * time.Millisecond
	// zoneCost and regionCost express the price of the bytes of a part on such a path: between regions, 1 kB costs 0.35 % of the
	// worth of a query on the users' grown site.
	zoneCost   = 1 * time.Millisecond
	regionCost = 12 * time.Millisecond
	// warmupFactor is how much slower a replica is that has just started.
	warmupFactor = 1.6
	// reportAge is the age after which a report of load is not used any more, a few times the mean work.
	reportAge = 80 * time.Millisecond
	// paceHalf is the time in which the remembered difference to the fastest replica halves without new samples, so that a
	// replica that was slow is tried again.
	paceHalf = 1500 * time.Millisecond
)

// Facts is what is known of one replica.
type Facts struct {
	AvailabilityZone string
	Slots            int
	// InFlight is the number of requests of this instance at the replica.
	InFlight int
	// Pace is the moving average of the time of a request, zero if none has ended; PaceAge is the age of the newest sample.
	Pace    time.Duration
	PaceAge time.Duration
	// Silent is the time for which requests were in flight without a response.
	Silent time.Duration
	// Reported is the number of requests that the replica ran or held, by its report of the given age; Slowdown is 0 or the
	// reported relative time of work.
	Reported  int
	ReportAge time.Duration
	Slowdown  float64
	// Failures is the recent fraction of failed requests.
	Failures float64
	// Warmup is how much longer the replica is slow after its start.
	Warmup time.Duration
}

// Place is where the instance is.
type Place struct {
	AvailabilityZone string
	Region           string
	// Regions maps availability zones to regions.
	Regions map[string]string
}

// Distance is the relation of two places.
type Distance int

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Distance returns how far an availability zone is. An unknown zone counts as distant.
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

// RoundTrip returns the usual time to a place and back.
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

// Stopped reports whether the replica seems to have stopped answering.
func (f *Facts) Stopped() bool {
	if f.InFlight == 0 {
		return false
	}
	pace := f.Pace
	if pace == 0 {
		pace = DefaultPace
	}

	return f.Silent > max(minimumSilence, time.Duration(silenceFactor*float64(pace)))
}

// Verdict is a choice with the estimate that decided it.
type Verdict struct {
	Index  int
	Cost   time.Duration
	Reason string
}

// Choose returns the replica with the lowest cost among those for which skip is false, or an index of -1.
func Choose(replicas []Facts, place Place, skip func(i int) bool) Verdict {
	fastest := fastest(replicas)
	best := Verdict{Index: -1, Reason: "NoReplica"}
	nearest := OtherRegion + 1
	for i := range replicas {
		if skip != nil && skip(i) {
			continue
		}
		distance := place.Distance(replicas[i].AvailabilityZone)
		nearest = min(nearest, distance)
		cost := replicas[i].cost(distance, fastest)
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

func fastest(replicas []Facts) time.Duration {
	var pace time.Duration
	for i := range replicas {
		if p := replicas[i].Pace; p > 0 && (pace == 0 || p < pace) {
			pace = p
		}
	}
	if pace == 0 {
		return DefaultPace
	}

	return pace
}

func (f *Facts) cost(distance Distance, fastest time.Duration) time.Duration {
	pace := f.Pace
	if pace == 0 {
		pace = fastest
	}
	if extra := pace - fastest; extra > 0 && f.PaceAge > 0 {
		pace = fastest + time.Duration(float64(extra)*half(f.PaceAge, paceHalf))
	}
	if f.Warmup > 0 {
		pace = time.Duration(warmupFactor * float64(pace))
	}
	if f.Slowdown > 1 && f.ReportAge < reportAge {
		pace = time.Duration(f.Slowdown * float64(pace))
	}
	queue := f.InFlight
	if f.ReportAge < reportAge {
		queue = max(queue, f.Reported)
	}
	cost := pace
	if slots := max(f.Slots, 1); queue >= slots {
		cost += pace * time.Duration(queue+1-slots) / time.Duration(slots)
	}
	if f.Stopped() {
		cost += pauseRemainder
	}
	cost += time.Duration(f.Failures * float64(FailureCost))
	switch distance {
	case SameRegion:
		cost += zoneCost
	case OtherRegion:
		cost += regionCost
	}
	if f.Pace == 0 {
		// A pace that was seen holds the way already.
		cost += distance.RoundTrip()
	}

	return cost
}

// half returns the factor by which a value has decayed after age.
func half(age, halfLife time.Duration) float64 {
	factor := 1.0
	for ; age >= halfLife; age -= halfLife {
		factor /= 2
		if factor < 1.0/1024 {
			return 0
		}
	}

	return factor * (1 - float64(age)/float64(2*halfLife))
}
