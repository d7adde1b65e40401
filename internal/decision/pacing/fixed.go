package pacing

import (
	"math"
	"sync"
	"time"
)

const (
	// unknownInstances is the number of instances that is assumed before it is known: that of the largest fleet. When a fleet starts, each
	// instance lists few others at first.
	unknownInstances = 1000
	// contactSettle is how long an instance has to be in contact with the leader before it relies on the number of instances, because the
	// instances of a fleet that starts join one after the other.
	contactSettle = 2 * time.Second
	// gatherSettle is how long an instance has to be among the gatherers of a service before it uses their part of a limit. Those that it
	// replaces have learnt that by then.
	gatherSettle = time.Second
	// cutOffFraction is the fraction of its equal share that an instance uses while it is cut off, because the others may divide the whole
	// limit among themselves.
	cutOffFraction = 0.1
)

// Divisors are the numbers by which limits are divided into fixed shares, for limits that do not last long enough for shares by demand. It is
// safe for concurrent use. The zero value is ready to use, and assumes the largest fleet.
type Divisors struct {
	mu        sync.Mutex
	instances Largest
	// listed is the last number of instances that was observed in contact with the leader, which began at contactSince.
	listed       int
	contactSince time.Time
	// cutOff is set if there is no contact at present.
	cutOff   bool
	services map[string]*gatherers
}

// gatherers are the instances that send most of the requests for shards of a service.
type gatherers struct {
	number Largest
	// listed is the last number that was observed. since is when this instance began to be one of them, zero if it is not.
	listed int
	since  time.Time
}

// Gathering is what an instance observes of the gatherers of a service.
type Gathering struct {
	// Number is the number of gatherers, and Self is set if this instance is one of them.
	Number int
	Self   bool
}

// Observe records the number of instances that this instance lists, and the gatherers by service. While the instance is cut off from the leader,
// it may list few of those that send requests, so that the numbers do not fall.
func (d *Divisors) Observe(now time.Time, instances int, services map[string]Gathering, cutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setCutOff(now, cutOff)
	if cutOff {
		instances = max(instances, d.listed)
	}
	d.listed = instances
	d.instances.Observe(now, instances)
	if d.services == nil {
		d.services = make(map[string]*gatherers)
	}
	for service, g := range d.services {
		if _, ok := services[service]; !ok {
			g.listed, g.since = 0, time.Time{}
			if g.number.Observe(now, 0) == 0 {
				delete(d.services, service)
			}
		}
	}
	for service, observed := range services {
		g := d.services[service]
		if g == nil {
			g = &gatherers{}
			d.services[service] = g
		}
		if cutOff {
			observed.Number = max(observed.Number, g.listed)
		}
		g.listed = observed.Number
		g.number.Observe(now, observed.Number)
		switch {
		case !observed.Self:
			g.since = time.Time{}
		case g.since.IsZero():
			g.since = now
		}
	}
}

// setCutOff records whether this instance is cut off. d.mu must be held.
func (d *Divisors) setCutOff(now time.Time, cutOff bool) {
	d.cutOff = cutOff
	if !cutOff && d.contactSince.IsZero() {
		d.contactSince = now
	}
}

// Share returns this instance's fraction of a limit that is in force for a target of a service. For a service with gatherers, most of the limit
// is divided among them and the rest among all instances, otherwise all of it among all instances.
func (d *Divisors) Share(now time.Time, service string, cutOff bool) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setCutOff(now, cutOff)
	instances := unknownInstances
	if d.listed > 0 && !d.contactSince.IsZero() && now.Sub(d.contactSince) >= contactSettle {
		instances = max(d.instances.Observe(now, d.listed), 1)
	}
	equal := 1 / float64(instances)
	if d.cutOff {
		return cutOffFraction * equal
	}
	g := d.services[service]
	if g == nil {
		return equal
	}
	number := max(g.number.Observe(now, g.listed), 1)
	share := (1 - demandFraction) * equal
	if !g.since.IsZero() && now.Sub(g.since) >= gatherSettle && instances < unknownInstances {
		share += demandFraction / float64(number)
	}

	return share
}

// goldenRatio is the fractional part of the golden ratio.
const goldenRatio = 0.6180339887498949

// Position returns the position of the instance with an index, from 0 to less than 1. The positions of the first instances, and of those with
// consecutive indices, are spread evenly, so that turns also are if only some of the instances have large shares.
func Position(index int) float64 {
	return math.Mod(float64(index)*goldenRatio, 1)
}
