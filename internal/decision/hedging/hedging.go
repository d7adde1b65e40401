// Package hedging decides when a request is hedged, that is, sent to a second replica before the first one has answered. The
// request is either idempotent or one of the subrequests that a scatter-gather query sends to its shards.
//
// Hedging is designed for replicas that pause for longer than the latency objective every few seconds. With 20 shards, more than
// half of the queries run into such a pause. A hedge is sent when a request has taken longer than is usual for its route, but early
// enough for the second replica to answer within the objective:
//
//	at := hedging.Delay(hedging.Facts{Objective: 200 * time.Millisecond, ResponseTimeP90: 35 * time.Millisecond})
package hedging

import "time"

const (
	// delayFraction is the default hedge delay, as a fraction of the objective. The rest of the objective covers the round trip
	// to a replica in another region, a queue of a few requests there and the work itself.
	delayFraction = 0.17
	// usualTimeFactor is the multiple of the route's 90th percentile before which a request is not hedged, so that the slowest
	// tenth of normal requests does not cause hedges.
	usualTimeFactor = 1.15
	// maxDelayFraction is the longest hedge delay, as a fraction of the objective. The answer to a hedge that is sent later could
	// not arrive within the objective.
	maxDelayFraction = 0.3
	// secondReplicaFactor is the multiple of the second replica's expected response time that must remain, when the hedge is sent,
	// until the query is answered without the shard.
	secondReplicaFactor = 1.4
	// firstReplicaFactor is the multiple of the first replica's average response time before which no hedge is sent, even if the
	// second replica would need an earlier hedge to answer in time. minDelay is the lower bound of the delay in this case.
	firstReplicaFactor = 1.3
	minDelay           = 4 * time.Millisecond
	// stoppedFactor shortens the delay if the replica has stopped answering its other requests, too.
	stoppedFactor = 0.5
)

// Facts is the input to Delay.
type Facts struct {
	// Objective is the latency objective of the route.
	Objective time.Duration
	// ResponseTimeP90 is the 90th percentile of recent response times on the route, or zero if unknown.
	ResponseTimeP90 time.Duration
	// TimeLeft is the time until the query is answered without this shard. SecondResponseTime is the expected response time of the
	// second replica, or zero if unknown. ResponseTime is the average response time of the first replica.
	TimeLeft           time.Duration
	SecondResponseTime time.Duration
	ResponseTime       time.Duration
	// Stopped is set if the first replica seems to have stopped answering; see choice.Facts.Stopped.
	Stopped bool
}

// Delay returns how long to wait for the first replica before the hedge is sent.
func Delay(f Facts) time.Duration {
	delay := time.Duration(delayFraction * float64(f.Objective))
	if usual := time.Duration(usualTimeFactor * float64(f.ResponseTimeP90)); usual > delay {
		delay = min(usual, max(delay, time.Duration(maxDelayFraction*float64(f.Objective))))
	}
	if latest := f.TimeLeft - time.Duration(secondReplicaFactor*float64(f.SecondResponseTime)); f.SecondResponseTime > 0 &&
		f.TimeLeft > 0 && latest < delay {
		delay = max(latest, time.Duration(firstReplicaFactor*float64(f.ResponseTime)), minDelay)
	}
	if f.Stopped {
		delay = time.Duration(stoppedFactor * float64(delay))
	}

	return delay
}

const (
	// trackedQuantile is the quantile that a Tracker estimates. relativeStep bounds the relative change of the estimate for each
	// sample.
	trackedQuantile = 0.9
	relativeStep    = 0.06
	// minEstimate is the lower bound of the estimate. Changes are relative to the estimate, so that one of a few nanoseconds would
	// never grow, and an estimate of zero would count as having no samples.
	minEstimate = time.Millisecond
)

// Tracker estimates the 90th percentile of a stream of response times in constant space. The zero value has no samples and is ready
// to use. A Tracker is not safe for concurrent use.
type Tracker struct {
	estimate time.Duration
}

// Observe adds a sample.
func (t *Tracker) Observe(sample time.Duration) {
	switch {
	case t.estimate == 0:
		t.estimate = max(sample, minEstimate)
	case sample > t.estimate:
		t.estimate += time.Duration(relativeStep * trackedQuantile * float64(t.estimate))
	default:
		t.estimate = max(minEstimate, t.estimate-time.Duration(relativeStep*(1-trackedQuantile)*float64(t.estimate)))
	}
}

// Value returns the estimate, or zero if there are no samples.
func (t *Tracker) Value() time.Duration { return t.estimate }
