package replay

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/absence"
	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
)

// failureWeight is the weight of a new sample in the moving average of a replica's failure rate.
const failureWeight = 0.3

// instance is an instance of the query tier.
type instance struct {
	location  choice.Place
	processor float64
	linkBits  float64
	// busyUntil is the time at which the processor and the link will have handled all messages that have arrived.
	busyUntil     time.Duration
	active        int // queries in flight
	localShards   int // shards with a replica in the availability zone
	regionShards  int // shards with a replica in the region
	replicas      map[*replica]*replicaState
	budgets       []*budget.Window // by shard
	responseTimes hedging.Tracker  // 90th percentile over all successful requests to targets
	// rank is the position among the instances of its group, as a fraction of their number. connectivity is what the instance knows of its path to the
	// replicas.
	rank         float64
	connectivity connectivity
}

// replicaState is what an instance knows about a replica.
type replicaState struct {
	inFlight     []time.Duration // when the requests in flight were sent, oldest first
	lastResponse time.Duration   // when the last successful response arrived
	responseTime choice.AverageResponseTime
	reportedLoad int // running and queued requests, as last reported
	reportedAt   time.Duration
	failureRate  float64 // moving average of the failure rate
	absence      absence.State
	leaving      bool // the replica has said that it leaves
}

// replica is a target that holds a shard.
type replica struct {
	sim         *simulation
	shard       int
	index       int
	zone        string
	pauseOffset time.Duration // offset of its pauses in simulated time
	running     int
	queue       []func()
}

// build creates the replicas and the instances.
func (s *simulation) build() {
	t := &s.pattern.Targets
	next := 0
	for shard := range t.Shards {
		var replicas []*replica
		for i := range t.Replicas {
			replicas = append(replicas, &replica{
				sim: s, shard: shard, index: i, zone: t.AvailabilityZones[next%len(t.AvailabilityZones)],
				pauseOffset: time.Duration(s.random.Float64() * float64(t.PauseEvery)),
			})
			next++
		}
		s.shards = append(s.shards, replicas)
	}
	for _, group := range s.pattern.Instances {
		for n := range group.Count {
			i := s.newInstance(group.AvailabilityZone, group.Processor, group.LinkBits)
			i.rank = (float64(n) + 0.5) / float64(group.Count)
			s.instances = append(s.instances, i)
		}
	}
}

// newInstance creates an instance in the zone. Its budgets start one window before the replay, so that its share of the allowance
// is available from the beginning.
func (s *simulation) newInstance(zone string, processor, linkBits float64) *instance {
	i := &instance{
		location:  choice.Place{AvailabilityZone: zone, Region: s.pattern.Zones[zone], Regions: s.pattern.Zones},
		processor: processor, linkBits: linkBits, replicas: make(map[*replica]*replicaState),
	}
	if !s.policy.Off.Has(RoundTrips) {
		i.location.RoundTrips = choice.NewRoundTrips()
	}
	for _, replicas := range s.shards {
		nearest := choice.OtherRegion
		for _, r := range replicas {
			nearest = min(nearest, i.location.Distance(r.zone))
		}
		if nearest == choice.SameZone {
			i.localShards++
		}
		if nearest <= choice.SameRegion {
			i.regionShards++
		}
		i.budgets = append(i.budgets, budget.New(epoch.Add(-s.pattern.Budget.Window.Std())))
	}

	return i
}

// budgetLimits returns the budget of one shard at each instance. All instances have equal shares of the allowance.
func (s *simulation) budgetLimits() budget.Limits {
	b := s.pattern.Budget

	return budget.Limits{Ratio: b.Ratio, Allowance: b.Allowance, Window: b.Window.Std(), Share: 1 / float64(len(s.instances))}
}

// transfer returns the one-way network delay between an instance and a zone, and counts the bytes that are transferred between
// zones or regions.
func (s *simulation) transfer(from *instance, zone string, bytes float64) time.Duration {
	switch from.location.Distance(zone) {
	case choice.SameZone:
		return 0
	case choice.SameRegion:
		s.result.ZoneBytes += bytes

		return s.pattern.ZoneDelay.Std()
	default:
		s.result.RegionBytes += bytes

		return s.pattern.RegionDelay.Std()
	}
}

// state returns what the instance knows about the replica. It creates an empty state for an unknown replica.
func (i *instance) state(r *replica) *replicaState {
	state := i.replicas[r]
	if state == nil {
		state = &replicaState{}
		i.replicas[r] = state
	}

	return state
}

// replicaFacts describes the replica to the choice and hedging decisions.
func (i *instance) replicaFacts(r *replica, now time.Duration) choice.Facts {
	state := i.state(r)
	f := choice.Facts{
		AvailabilityZone: r.zone, Slots: r.sim.pattern.Targets.Slots, InFlight: len(state.inFlight),
		ResponseTime: state.responseTime.Value(), ResponseTimeAge: state.responseTime.Age(epoch.Add(now)),
		Reported: state.reportedLoad, ReportAge: now - state.reportedAt, Failures: state.failureRate,
	}
	if len(state.inFlight) > 0 {
		f.SinceResponse = now - max(state.lastResponse, state.inFlight[0])
	}

	return f
}

// wantsRequests reports whether the instance may send the replica a request, by what the replica has said of itself. Mechanisms that are off
// are ignored.
func (s *replicaState) wantsRequests(policy *Policy, now time.Duration) bool {
	return (policy.Off.Has(Leaving) || !s.leaving) && (policy.Off.Has(Absence) || s.absence.Wait(epoch.Add(now)) == 0)
}

// hear records what a replica says of itself in a response.
func (s *replicaState) hear(r response, now time.Duration) {
	at := epoch.Add(now)
	s.leaving = s.leaving || r.leaving
	s.absence.GiveBack()
	switch {
	case r.retryAfter > 0:
		s.absence.Refused(at, at.Add(r.retryAfter))
	case r.ok:
		s.absence.Succeeded(at)
	}
}

// requestEnded records the end of a request that was sent at the given time.
func (s *replicaState) requestEnded(sent, now time.Duration, ok bool) {
	for i, at := range s.inFlight {
		if at == sent {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)

			break
		}
	}
	s.failureRate *= 1 - failureWeight
	if !ok {
		s.failureRate += failureWeight

		return
	}
	s.responseTime.Observe(now-sent, epoch.Add(now))
	s.lastResponse = now
}

// receive calls next when the instance has received and processed a message of the given size. work is the processor time that this
// takes on a whole core. The link and the processor handle one message after the other.
func (i *instance) receive(s *simulation, bytes float64, work time.Duration, next func()) {
	i.busyUntil = max(i.busyUntil, s.now) + time.Duration(float64(work)/i.processor) +
		time.Duration(bytes*8/i.linkBits*float64(time.Second))
	s.schedule(i.busyUntil-s.now, next)
}

// refusesConnections reports whether the replica refuses connections now.
func (r *replica) refusesConnections() bool {
	for _, a := range r.sim.pattern.Targets.Away {
		if r.affected(a.From.Std(), a.To.Std(), a.Fraction, a.Replicas) {
			return true
		}
	}
	for _, l := range r.sim.pattern.Targets.Leaving {
		if r.affected(l.To.Std(), r.sim.pattern.Length.Std(), l.Fraction, l.Replicas) {
			return true
		}
	}

	return false
}

// shedding returns the time to come back that the replica names in a refusal now, 0 if it does not refuse requests.
func (r *replica) shedding() time.Duration {
	for _, s := range r.sim.pattern.Targets.Shedding {
		if r.affected(s.From.Std(), s.To.Std(), s.Fraction, s.Replicas) {
			return s.RetryAfter.Std()
		}
	}

	return 0
}

// leaves reports whether the replica says in its responses now that it leaves.
func (r *replica) leaves() bool {
	for _, l := range r.sim.pattern.Targets.Leaving {
		if r.affected(l.From.Std(), l.To.Std(), l.Fraction, l.Replicas) {
			return true
		}
	}

	return false
}

// affected reports whether the replica is affected now by a fault with the given period, fraction of shards and number of replicas.
func (r *replica) affected(from, to time.Duration, fraction float64, replicas int) bool {
	now := r.sim.now

	return now >= from && now < to && r.index < replicas && float64(r.shard) < fraction*float64(len(r.sim.shards))
}

// response is the outcome of a request at a replica.
type response struct {
	ok   bool
	load int // running and queued requests of the replica
	// retryAfter is the time to come back that the replica has named, 0 if none, and leaving is set if it has said that it leaves.
	retryAfter time.Duration
	leaving    bool
}

// respond returns a response of the replica now.
func (r *replica) respond(ok bool) response {
	return response{ok: ok, load: r.running + len(r.queue), leaving: r.leaves()}
}

// serve runs or queues a request and calls done with the response. If the replica sheds, its queue is full or it does not accept
// connections, it calls done immediately.
func (r *replica) serve(done func(response)) {
	t := &r.sim.pattern.Targets
	switch {
	case r.refusesConnections(), r.running >= t.Slots && len(r.queue) >= t.Queue:
		done(r.respond(false))
	case r.shedding() > 0:
		refusal := r.respond(false)
		refusal.retryAfter = r.shedding()
		done(refusal)
	case r.running >= t.Slots:
		r.queue = append(r.queue, func() { r.run(done) })
	default:
		r.run(done)
	}
}

// run occupies a slot for the service time of a request and then starts the next request in the queue.
func (r *replica) run(done func(response)) {
	r.running++
	r.sim.schedule(r.serviceTime(), func() {
		r.running--
		if len(r.queue) > 0 {
			next := r.queue[0]
			r.queue = r.queue[1:]
			next()
		}
		done(r.respond(true))
	})
}

// serviceTime returns the random service time of a request that starts now, including any pause that it runs into.
func (r *replica) serviceTime() time.Duration {
	t := &r.sim.pattern.Targets
	work := float64(t.Work) * (0.5 + 0.5*r.sim.random.ExpFloat64())
	for _, slow := range t.Slow {
		if r.affected(slow.From.Std(), slow.To.Std(), slow.Fraction, slow.Replicas) {
			work *= slow.Factor
		}
	}
	total := time.Duration(work)
	if t.PauseEvery == 0 {
		return total
	}
	every, length := t.PauseEvery.Std(), t.PauseLength.Std()
	if elapsed := (r.sim.now + r.pauseOffset) % every; elapsed < length {
		total += length - elapsed
	} else if elapsed+total > every {
		total += length
	}

	return total
}
