// Package hedging decides when a part of a gathered query, or a single idempotent request, is sent to a second replica.
//
// It answers a load in which each replica pauses for longer than the latency objective every few seconds: with 20 shards more
// than half of the queries meet a pause. A hedge goes out once the part is later than the usual time of its route, early enough
// for the second replica to answer within the objective:
//
//	at := hedging.Delay(hedging.Facts{Objective: 200 * time.Millisecond, Usual: 35 * time.Millisecond})
package hedging

import "time"

const (
	// share is the part of the objective after which a part is late. The rest is enough for the way to a replica in another
	// region, a queue of a few requests and the work.
	share = 0.17
	// usualFactor keeps hedges from parts that are as late as one in ten usually is.
	usualFactor = 1.15
	// latest is the part of the objective after which a hedge could not answer within it.
	latest = 0.3
	// secondFactor is the number of expected times of the second replica that are kept for it before the end of the time.
	secondFactor = 1.4
	// paceFactor is the number of usual times of the first replica that it gets in any case, and earliest the shortest delay.
	paceFactor = 1.3
	earliest   = 4 * time.Millisecond
	// stoppedShare is the part of the delay after which a part is hedged whose replica answers no other request either.
	stoppedShare = 0.5
)

// Facts is what decides the delay of a hedge.
type Facts struct {
	// Objective is the latency objective of the route.
	Objective time.Duration
	// Usual is the 90th percentile of the recent times of the route's attempts, zero if it is not known.
	Usual time.Duration
	// Left is the time until the answer is given without the part. Second is the expected time of the second replica, zero if it is
	// not known, and Pace the usual time of the first.
	Left   time.Duration
	Second time.Duration
	Pace   time.Duration
	// Stopped is set if the replica seems to have stopped answering.
	Stopped bool
}

// Delay returns the age at which an attempt is hedged.
func Delay(f Facts) time.Duration {
	delay := time.Duration(share * float64(f.Objective))
	if usual := time.Duration(usualFactor * float64(f.Usual)); usual > delay {
		delay = min(usual, max(delay, time.Duration(latest*float64(f.Objective))))
	}
	if last := f.Left - time.Duration(secondFactor*float64(f.Second)); f.Second > 0 && f.Left > 0 && last < delay {
		delay = max(last, time.Duration(paceFactor*float64(f.Pace)), earliest)
	}
	if f.Stopped {
		delay = time.Duration(stoppedShare * float64(delay))
	}

	return delay
}

const (
	// quantile is the one that a Tracker follows, and step the relative change for a sample.
	quantile = 0.9
	step     = 0.06
	// smallest is the lowest value of a Tracker.
	smallest = time.Millisecond
)

// Tracker follows the 90th percentile of a stream of times in constant space. The zero value knows nothing. It is not safe for
// concurrent use.
type Tracker struct {
	value time.Duration
}

// Observe adds a sample.
func (t *Tracker) Observe(sample time.Duration) {
	switch {
	case t.value == 0:
		t.value = max(sample, smallest)
	case sample > t.value:
		t.value += time.Duration(step * quantile * float64(t.value))
	default:
		t.value = max(smallest, t.value-time.Duration(step*(1-quantile)*float64(t.value)))
	}
}

// Value returns the estimate, zero without samples.
func (t *Tracker) Value() time.Duration { return t.value }
