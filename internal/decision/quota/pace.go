package quota

import "time"

const (
	// minimumInterval and intervalPerInstance determine the mean interval of the reports of an instance to one owner, which thus gets at most
	// 1,000 a second.
	minimumInterval     = 100 * time.Millisecond
	intervalPerInstance = time.Millisecond
	// reportBurst is the number of reports that an instance may send at intervals of minimumInterval. Otherwise, the owner in a fleet of 1,000
	// instances would learn of a burst only after a second.
	reportBurst = 3
)

// Interval returns the mean interval of the reports of an instance in a fleet of the given size.
func Interval(instances int) time.Duration {
	return max(minimumInterval, time.Duration(instances)*intervalPerInstance)
}

// Pace decides when an instance reports to an owner. The zero value is ready to use. It is not safe for concurrent use.
type Pace struct {
	// used is the number of reports that count against reportBurst.
	used float64
	at   time.Time
}

// Take reports whether a report may be sent now, and counts it if it may.
func (p *Pace) Take(now time.Time, interval time.Duration) bool {
	since := now.Sub(p.at)
	if since < minimumInterval {
		return false
	}
	used := max(p.used-float64(since)/float64(interval), 0)
	if used > reportBurst-1 {
		return false
	}
	p.used, p.at = used+1, now

	return true
}

// Reset lets the next report be sent at once, because the last one has failed.
func (p *Pace) Reset() { p.used, p.at = 0, time.Time{} }
