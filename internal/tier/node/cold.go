package node

import (
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/pacing"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// defaultWarmupOverage replaces Settings.WarmupOverage if it is not set.
	defaultWarmupOverage = 1.5
	// savedFraction is the fraction of what a cold target may get beyond its limit that all instances together may save. The rest is for
	// instances whose views of the fleet differ.
	savedFraction = 0.5
	// minimumColdLapse is the shortest time for which requests to a cold target may be saved.
	minimumColdLapse = 50 * time.Millisecond
)

// coldTargets returns what limits the requests to cold targets.
func (n *Node) coldTargets() target.ColdTargets {
	return target.ColdTargets{
		Service: func(name string) (s route.Service, ok bool) {
			if t := n.configuration.Current(); t != nil {
				s, ok = t.Service(name)
			}

			return s, ok
		},
		Share:    func(now time.Time, service string) float64 { return n.divisors.Share(now, service, n.members.CutOff()) },
		Position: func() float64 { return pacing.Position(n.fleetSize.Load().index) },
		Lapse:    coldLapse(n.settings.WarmupOverage),
	}
}

// coldLapse returns how long the fleet may save requests to a cold target, which may get its limit times overage in a second.
func coldLapse(overage float64) time.Duration {
	if overage == 0 {
		overage = defaultWarmupOverage
	}

	return max(time.Duration(savedFraction*(overage-1)*float64(time.Second)), minimumColdLapse)
}

// updateDivisors recounts the instances and gatherers by which the limits of cold targets are divided, if there are such limits. Routes with the
// same shards have the same gatherers; those of other routes with the same shard add up.
func (n *Node) updateDivisors(instances int) {
	table := n.configuration.Current()
	if table == nil || !limitsCold(table) {
		return
	}
	services, seen := make(map[string]pacing.Gathering), make(map[string]bool)
	for _, r := range table.Routes() {
		if r.Gather == nil {
			continue
		}
		key := strings.Join(r.Gather.Shards, "\n")
		if seen[key] {
			continue
		}
		seen[key] = true
		gatherers, self := n.handover.Gatherers(r)
		for _, service := range r.Gather.Shards {
			g := services[service]
			g.Number, g.Self = g.Number+gatherers, g.Self || self
			services[service] = g
		}
	}
	n.divisors.Observe(n.timers.Now(), instances, services, n.members.CutOff())
}

// observeTargets registers the gauges of evacuated zones and cold targets.
func (n *Node) observeTargets() error {
	err := n.metrics.Observe("hickorynotch.zones.evacuated", "Number of availability zones whose targets get no requests.",
		func() float64 { return float64(n.targetPool.EvacuatedZones()) })
	if err != nil {
		return err
	}

	err = n.metrics.Observe("hickorynotch.targets.unreachable",
		"1 if no target accepts a connection of this instance, 2 if none answers on any connection, otherwise 0.",
		func() float64 { return float64(n.targetPool.Reachability()) })
	if err != nil {
		return err
	}

	return n.metrics.Observe("hickorynotch.targets.cold", "Number of targets that are cold and whose requests are limited.",
		func() float64 { return float64(n.targetPool.ColdTargets()) })
}

// limitsCold reports whether a service of a configuration limits the requests to cold targets.
func limitsCold(t *route.Table) bool {
	for _, r := range t.Routes() {
		for _, name := range r.Services() {
			if s, _ := t.Service(name); s.WarmupPerSecond > 0 {
				return true
			}
		}
	}

	return false
}
