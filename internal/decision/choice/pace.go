package choice

import "time"

const (
	// paceWeight is the weight of a new sample in a Pace; about six samples make up most of it.
	paceWeight = 0.3
	// outlier is the multiple of the average that a sample counts as at most. A pause makes one sample ten times as long as usual and
	// says nothing of the next request, while a replica that has become slow shows it in each sample.
	outlier = 2
)

// Pace is the moving average of the times of a replica's requests. The zero value knows nothing. It is not safe for concurrent use.
type Pace struct {
	value time.Duration
	at    time.Time
}

// Observe adds the time of a request that ended at now.
func (p *Pace) Observe(took time.Duration, now time.Time) {
	if p.value == 0 {
		p.value = took
	}
	p.value += time.Duration(paceWeight * float64(min(took, outlier*p.value)-p.value))
	p.at = now
}

// Value returns the average, zero without samples.
func (p *Pace) Value() time.Duration { return p.value }

// Age returns the age of the newest sample, zero without samples.
func (p *Pace) Age(now time.Time) time.Duration {
	if p.at.IsZero() {
		return 0
	}

	return now.Sub(p.at)
}
