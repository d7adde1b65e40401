package admission

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

const (
	// idle is the time after which a service without requests no longer counts when services are grouped.
	idle = 10 * time.Minute
	// smoothing is the share of a new duration in the average.
	smoothing = 0.1
)

// service is what is known of one query service.
type service struct {
	name        string
	worth       float64
	firstAnswer time.Duration
	replicas    []contract.Replica
	slots       int
	// cost is the number of target requests of one request, and inFlight their sum over the admitted requests.
	cost, inFlight float64
	shared         *threshold
	used           time.Time
	// credit is the sum of the admitted shares that no request has used yet.
	credit float64
	// average is the smoothed duration of answered requests.
	average time.Duration
}

// service returns the state of a service and keeps the groups of services with common replicas up to date with the contract.
func (c *Controller) service(name string, contracted contract.Service, now time.Time) *service {
	s, ok := c.services[name]
	if !ok {
		if len(c.services) >= contract.MaxServices {
			c.dropOldest()
		}
		// A random start keeps instances from letting requests through in step.
		s = &service{name: name, credit: c.random.Float64(), shared: &threshold{began: now}, cost: costOf(contracted)}
		c.services[name] = s
	}
	s.used = now
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

// regroup gives one threshold to all services that are connected by common replicas. A new group starts at the highest level of
// its members, so that a change of configuration does not end the protection against an overload.
func (c *Controller) regroup(now time.Time) {
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return now.Sub(s.used) > idle })
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
		joined := &threshold{began: now}
		for _, s := range members {
			c.roll(s.shared, now)
			joined.level = max(joined.level, s.shared.level)
		}
		joined.setMembers(members)
		for _, s := range members {
			s.shared = joined
		}
	}
	c.own.setMembers(all)
}

func (c *Controller) dropOldest() {
	var oldest *service
	for _, s := range c.services {
		if oldest == nil || s.used.Before(oldest.used) {
			oldest = s
		}
	}
	delete(c.services, oldest.name)
}

// delayTarget returns the queue delay at which pressure is 1.
func (s *service) delayTarget() time.Duration {
	return max(time.Duration(delayShare*float64(s.firstAnswer)), time.Microsecond)
}

// took takes note of the duration of an answered request.
func (s *service) took(d time.Duration) {
	s.average += time.Duration(smoothing * float64(d-s.average))
}

// needed returns the time that a request of s needs to be worth starting. It is bounded by half the time to the first answer:
// otherwise durations measured under overload could refuse every request, and no new duration would be measured.
func (s *service) needed() time.Duration {
	return min(s.average, s.firstAnswer/2)
}

// sameSlice reports whether a and b are the same memory, which is the usual case between two changes of configuration.
func sameSlice(a, b []contract.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
