package control

import (
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

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
	if c.overdue {
		return c.maximumAge
	}

	return max(c.maximumAge-c.Age(), 0)
}

// logOverdue logs that a change of the stored configuration may be overdue, once until the next confirmation.
func (c *Configuration) logOverdue() {
	age := c.Age()
	overdue := age >= c.maximumAge
	if overdue && !c.overdue {
		c.log.Log(event.ConfigurationUnconfirmed, "Version", c.Version(), "Age", age)
	}
	c.overdue = overdue
}
