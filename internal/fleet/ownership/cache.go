package ownership

import (
	"sync"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// MaxOwners is the number of owners that a Cache keeps for a target. An attempt tries two others at most, and the rest
	// stands in for owners that were not reached shortly before.
	MaxOwners = 8
	// MaxTargets bounds the targets of a Cache, at about 4 MB. The order of further ones is computed each time.
	MaxTargets = 8192
)

// Cache remembers the owners of each target until the live instances change, because ranking them for each attempt grows
// with the instances of a zone. The zero value is empty and ready to use. It is safe for concurrent use.
type Cache struct {
	mu     sync.RWMutex
	live   []instance.Instance
	owners map[contract.Replica][]instance.Instance
}

// Owners returns the first MaxOwners of what the function Owners returns. A change of the live instances is noticed by
// another slice, so live must not be changed in place.
func (c *Cache) Owners(replica contract.Replica, live []instance.Instance) []instance.Instance {
	c.mu.RLock()
	owners, ok := c.owners[replica]
	ok = ok && isSame(c.live, live)
	c.mu.RUnlock()
	if ok {
		return owners
	}

	owners = Owners(replica, live)
	owners = append([]instance.Instance(nil), owners[:min(len(owners), MaxOwners)]...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners == nil || !isSame(c.live, live) {
		c.live, c.owners = live, make(map[contract.Replica][]instance.Instance)
	}
	if len(c.owners) < MaxTargets {
		c.owners[replica] = owners
	}

	return owners
}

func isSame(a, b []instance.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
