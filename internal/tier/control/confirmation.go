package control

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// overdueSpread is the time over which the instances that have lost the same leader spread their reads of the store.
const overdueSpread = 100 * time.Millisecond

// unbounded is the maximum age of a state without a bound.
const unbounded = 365 * 24 * time.Hour

// maximumAge returns the age from which an instance no longer relies on the leader for a state whose changes have to arrive within a
// bound. A bound of 0 stands for none.
func maximumAge(bound time.Duration) time.Duration {
	if bound == 0 {
		return unbounded
	}

	return max(bound-readMargin, bound/2)
}

// confirmation is the latest time at which the configuration in force was known to be the one that is stored.
type confirmation struct {
	mu sync.Mutex
	at time.Time
}

// advance records a confirmation as of a time. Confirmations may arrive out of order.
func (c *confirmation) advance(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// age returns the time since the last confirmation.
func (c *confirmation) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return now.Sub(c.at)
}

// Age returns the time since the configuration in force was last known to be the one that is stored.
func (c *Configuration) Age() time.Duration { return c.confirmation.age(c.timers.Now()) }

// Confirm records that an instance, usually the leader, had a version in force that it knew to be the stored one when the given time
// had passed since. If the version is newer than the one in force here, Run reads the store unless the version arrives soon.
func (c *Configuration) Confirm(version uint64, age time.Duration) {
	if version == c.Version() {
		c.confirmation.advance(c.timers.Now().Add(-age))
	}
	c.RefreshIfOlder(version)
}

// untilOverdue returns the time until a change of the stored configuration may be overdue.
func (c *Configuration) untilOverdue() time.Duration {
	return max(c.maximumAge-c.Age(), 0) + rand.N(overdueSpread)
}

// isOverdue reports, and logs, that a change of the stored configuration may be overdue.
func (c *Configuration) isOverdue() bool {
	age := c.Age()
	if age < c.maximumAge {
		return false
	}
	c.log.Log(event.ConfigurationUnconfirmed, "Version", c.Version(), "Age", age)

	return true
}
