package replay

import (
	"fmt"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
)

// silenceCheckInterval is the interval at which an instance with requests in flight checks whether they are overdue.
const silenceCheckInterval = 50 * time.Millisecond

// connectivity is what an instance knows of its path to the replicas.
type connectivity struct {
	monitor  reachability.Monitor
	watching bool // a check for overdue requests is scheduled
	probing  bool // a check for due probes is scheduled
}

// partition returns the partition that cuts the instance off now, nil if none does.
func (s *simulation) partition(i *instance) *pattern.Partition {
	for k := range s.pattern.Partitions {
		p := &s.pattern.Partitions[k]
		if s.now >= p.From.Std() && s.now < p.To.Std() && i.rank < p.Fraction {
			return p
		}
	}

	return nil
}

// isUnreachable reports whether the instance knows that it has no connectivity to the replicas.
func (s *simulation) isUnreachable(i *instance) bool {
	return !s.policy.Off.Has(Reachability) && i.connectivity.monitor.State() != reachability.Reachable
}

// lose plays a request of an instance that is cut off. If it is refused, ended is called at once, otherwise never.
func (s *simulation) lose(i *instance, r *replica, p *pattern.Partition, ended func()) {
	if p.Refuse {
		i.connectivity.monitor.Failed(r.name(), reachability.Refused, s.decisionTime(), s.decisionTime())
		s.probe(i)
		s.schedule(0, ended)
	}
}

// watchSilence checks for as long as the instance has requests in flight whether they are overdue.
func (s *simulation) watchSilence(i *instance) {
	if i.connectivity.watching {
		return
	}
	i.connectivity.watching = true
	s.schedule(silenceCheckInterval, func() {
		i.connectivity.watching = false
		inFlight, overdue := false, false
		for _, state := range i.replicas {
			if len(state.inFlight) > 0 {
				inFlight = true
				overdue = overdue || s.now-state.inFlight[0] > max(reachability.Silence, 3*max(state.responseTime.Value(), choice.DefaultResponseTime))
			}
		}
		if overdue {
			i.connectivity.monitor.Silent(s.decisionTime())
			s.probe(i)
		}
		if inFlight && s.now < s.pattern.Length.Std() {
			s.watchSilence(i)
		}
	})
}

// name returns a name of the replica for the monitor.
func (r *replica) name() string { return fmt.Sprint(r.shard, "/", r.index) }

// probe opens connections to replicas if the monitor asks for it, and looks again when that may be due.
func (s *simulation) probe(i *instance) {
	targets := make([]reachability.Target, 0, len(s.shards)*s.pattern.Targets.Replicas)
	for _, replicas := range s.shards {
		for _, r := range replicas {
			targets = append(targets, reachability.Target{
				ID: r.name(), AvailabilityZone: r.zone, HeardAt: epoch.Add(i.state(r).lastResponse), Order: s.random.Uint32(),
			})
		}
	}
	now := s.decisionTime()
	n, wait := i.connectivity.monitor.Probes(now, len(targets))
	if n == 0 {
		if wait > 0 && !i.connectivity.probing && s.now < s.pattern.Length.Std() {
			i.connectivity.probing = true
			s.schedule(wait, func() {
				i.connectivity.probing = false
				s.probe(i)
			})
		}

		return
	}
	round, took := reachability.Round{Began: now}, s.pattern.RegionDelay.Std()*2
	switch p := s.partition(i); {
	case p == nil:
		round.Opened = n
	case p.Refuse:
		round.Refused = n
	default:
		round.TimedOut, took = n, reachability.ProbeTimeout
	}
	s.schedule(took, func() {
		if round.Opened > 0 {
			i.connectivity.monitor.Opened(s.decisionTime())
		}
		i.connectivity.monitor.Probed(round, s.decisionTime())
		s.probe(i)
	})
}
