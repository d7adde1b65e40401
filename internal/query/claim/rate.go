package claim

import (
	"sync"
	"time"
)

// rate admits MaxRate claims in any second. It remembers the times of the last ones, which makes the bound exact where
// a token bucket would admit twice as many in its first second.
type rate struct {
	mu    sync.Mutex
	times [MaxRate]time.Time
	next  int
}

func (r *rate) take(now time.Time) error {
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
