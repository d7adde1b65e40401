package admission

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

const (
	// idleTimeout is the time after which a service without requests is removed when services are grouped.
	idleTimeout = 10 * time.Minute
	// smoothing is the weight of a new duration in the moving average.
	smoothing = 0.1
)

// service is the state of one query service.
type service struct {
	name        string
	worth       float64
	firstAnswer time.Duration
	replicas    []contract.Replica
	slots       int
	// cost is the number of target requests of one request. inFlight is the sum of the costs of the admitted requests.
	cost, inFlight  float64
	targetThreshold *threshold
	lastUsed        time.Time
	// credit starts at a random value below 1. Each request adds its admitted share, and each that passes the thresholds
	// subtracts 1.
	credit float64
	// average is the moving average of the durations of answered requests.
	average time.Duration
}

// service returns the state of a service and keeps the groups of services with common replicas up to date with the contract.
func (c *Controller) service(name string, contracted contract.Service, now time.Time) *service {
	s, ok := c.services[name]
	if !ok {
		if len(c.services) >= contract.MaxServices {
			c.dropOldest()
		}
		// With a random initial credit, instances do not admit the requests of the minimum share at the same time.
		s = &service{
			name: name, credit: c.random.Float64(), targetThreshold: &threshold{windowStart: now}, cost: costOf(contracted),
		}
		c.services[name] = s
	}
	s.lastUsed = now
	s.firstAnswer = contracted.FirstAnswer()
	if ok && s.worth == contracted.Worth && s.slots == contracted.Slots && sameSlice(s.replicas, contracted.Replicas) {
		return s
	}
	changed := !ok || s.worth != contracted.Worth || s.slots != contracted.Slots || !slices.Equal(s.replicas, contracted.Replicas)
	s.worth, s.replicas, s.slots = contracted.Worth, contracted.Replicas, contracted.Slots
	if changed {
		c.regroup(now)
	}

	return s
}

// regroup assigns one threshold to each group of services that are connected by common replicas. The threshold starts at the
// highest level of the group's members, so that a change of configuration does not reset it during an overload.
func (c *Controller) regroup(now time.Time) {
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return now.Sub(s.lastUsed) > idleTimeout })
	groups := map[*service][]*service{}
	root := map[*service]*service{}
	users := map[netip.AddrPort]*service{}
	all := make([]*service, 0, len(c.services))
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		all = append(all, s)
		root[s], groups[s] = s, []*service{s}
		for _, r := range s.replicas {
			other, ok := users[r.Address]
			if !ok {
				users[r.Address] = s

				continue
			}
			from, to := root[s], root[other]
			if from == to {
				continue
			}
			for _, member := range groups[from] {
				root[member] = to
			}
			groups[to] = append(groups[to], groups[from]...)
			delete(groups, from)
		}
	}
	for _, members := range groups {
		merged := &threshold{windowStart: now}
		for _, s := range members {
			c.roll(s.targetThreshold, now)
			merged.level = max(merged.level, s.targetThreshold.level)
		}
		merged.setMembers(members)
		for _, s := range members {
			s.targetThreshold = merged
		}
	}
	c.queueThreshold.setMembers(all)
}

func (c *Controller) dropOldest() {
	var oldest *service
	for _, s := range c.services {
		if oldest == nil || s.lastUsed.Before(oldest.lastUsed) {
			oldest = s
		}
	}
	delete(c.services, oldest.name)
}

// delayTarget returns the queue delay at which pressure is 1.
func (s *service) delayTarget() time.Duration {
	return max(time.Duration(delayShare*float64(s.firstAnswer)), time.Microsecond)
}

// observeDuration adds the duration of an answered request to the average.
func (s *service) observeDuration(d time.Duration) {
	s.average += time.Duration(smoothing * float64(d-s.average))
}

// expectedDuration returns the expected duration of a request, at most half the time to the first answer: without that bound,
// long durations measured under overload could cause every request to be refused, and no new duration would be measured.
func (s *service) expectedDuration() time.Duration {
	return min(s.average, s.firstAnswer/2)
}

// sameSlice reports whether a and b share their memory, so that their elements need not be compared. They do unless the
// configuration has changed.
func sameSlice(a, b []contract.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
