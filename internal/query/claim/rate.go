package claim

import (
	"sync"
	"time"
)

// rateLimit is a limit of MaxRate claims in any interval of one second. It stores the times of the last MaxRate claims, so the
// limit is exact. A token bucket would admit twice as many in its first second.
type rateLimit struct {
	mu    sync.Mutex
	times [MaxRate]time.Time
	next  int
}

func (r *rateLimit) allow(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.times[r.next]
	if age := now.Sub(oldest); !oldest.IsZero() && age < time.Second {
		return &RateError{RetryAfter: time.Second - age}
	}
	r.times[r.next] = now
	r.next = (r.next + 1) % MaxRate

	return nil
}
