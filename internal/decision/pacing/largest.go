package pacing

import (
	"sync"
	"time"
)

// largestPeriod is the time for which a number of instances is remembered at least. An instance that loses its leader may list few
// instances for some seconds although all of them send requests.
const largestPeriod = 30 * time.Second

// Largest is the largest recent number of instances. The zero value is ready to use, and it is safe for concurrent use.
type Largest struct {
	mu sync.Mutex
	// current is the largest number since periodStart, and previous that of the period before.
	current, previous int
	periodStart       time.Time
}

// Observe records the number of instances that are listed now, and returns the largest of the last one to two periods.
func (l *Largest) Observe(now time.Time, instances int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.periodStart) >= largestPeriod {
		// Without observations the number has not changed, so the last period is the previous one however long ago it began.
		l.previous, l.current, l.periodStart = l.current, 0, now
	}
	l.current = max(l.current, instances)

	return max(l.current, l.previous)
}
