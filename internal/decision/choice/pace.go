package choice

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving average. The last six samples make up most of the average.
	sampleWeight = 0.3
	// outlierFactor is the multiple of the average that samples are capped at. A pause makes a single sample ten times as long as
	// usual and does not predict the next response time, while a replica that has become slow is slow in every sample.
	outlierFactor = 2
)

// Pace is the exponentially weighted moving average of a replica's response times. The zero value has no samples and is ready to
// use. A Pace is not safe for concurrent use.
type Pace struct {
	average    time.Duration
	observedAt time.Time
}

// Observe adds the response time of a request that ended at now.
func (p *Pace) Observe(responseTime time.Duration, now time.Time) {
	if p.average == 0 {
		p.average = responseTime
	}
	p.average += time.Duration(sampleWeight * float64(min(responseTime, outlierFactor*p.average)-p.average))
	p.observedAt = now
}

// Value returns the average, or zero if there are no samples.
func (p *Pace) Value() time.Duration { return p.average }

// Age returns the age of the newest sample, or zero if there are no samples.
func (p *Pace) Age(now time.Time) time.Duration {
	if p.observedAt.IsZero() {
		return 0
	}

	return now.Sub(p.observedAt)
}
