package choice

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving average. The last six samples make up most of the average.
	sampleWeight = 0.3
	// outlierFactor is the multiple of the average that samples are capped at. A pause makes a single sample ten times as long as
	// usual and does not predict the next response time, while a replica that has become slow is slow in every sample.
	outlierFactor = 2
)

// AverageResponseTime is the exponentially weighted moving average of a replica's response times. The zero value has no samples and
// is ready to use. An AverageResponseTime is not safe for concurrent use.
type AverageResponseTime struct {
	average    time.Duration
	observedAt time.Time
}

// Observe adds the response time of a request that ended at now.
func (a *AverageResponseTime) Observe(responseTime time.Duration, now time.Time) {
	if a.average == 0 {
		a.average = responseTime
	}
	a.average += time.Duration(sampleWeight * float64(min(responseTime, outlierFactor*a.average)-a.average))
	a.observedAt = now
}

// Value returns the average, or zero if there are no samples.
func (a *AverageResponseTime) Value() time.Duration { return a.average }

// Age returns the age of the newest sample, or zero if there are no samples.
func (a *AverageResponseTime) Age(now time.Time) time.Duration {
	if a.observedAt.IsZero() {
		return 0
	}

	return now.Sub(a.observedAt)
}
