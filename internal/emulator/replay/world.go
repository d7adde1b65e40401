package replay

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
)

// failureWeight is the weight of a new sample in the moving average of a replica's failure rate.
const failureWeight = 0.3

// instance is an instance of the query tier.
type instance struct {
	place     choice.Place
	processor float64
	linkBits  float64
	// busy is the time at which the processor and the link will have handled all messages that have arrived.
	busy    time.Duration
	active  int // queries in flight
	local   int // shards with a replica in the availability zone
	region  int // shards with a replica in the region
	links   map[*replica]*link
	windows []*budget.Window // by shard
	usual   hedging.Tracker
}

// link is what an instance knows about a replica.
type link struct {
	sent    []time.Duration // when the requests in flight were sent, oldest first
	replied time.Duration   // when the last successful response arrived
	pace    choice.Pace
	load    int // running and queued requests, as last reported
	loadAt  time.Duration
	failed  float64 // moving average of the failure rate
}

// replica is a target that holds a shard.
type replica struct {
	sim     *simulation
	shard   int
	index   int
	zone    string
	phase   time.Duration // offset of its pauses in simulated time
	running int
	waiting []func()
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
				phase: time.Duration(s.random.Float64() * float64(t.PauseEvery)),
			})
			next++
		}
		s.shards = append(s.shards, replicas)
	}
	for _, of := range s.pattern.Instances {
		for range of.Count {
			s.instances = append(s.instances, s.newInstance(of.AvailabilityZone, of.Processor, of.LinkBits))
		}
	}
}

func (s *simulation) newInstance(zone string, processor, linkBits float64) *instance {
	i := &instance{
		place:     choice.Place{AvailabilityZone: zone, Region: s.pattern.Zones[zone], Regions: s.pattern.Zones},
		processor: processor, linkBits: linkBits, links: make(map[*replica]*link),
	}
	for _, replicas := range s.shards {
		nearest := choice.OtherRegion
		for _, r := range replicas {
			nearest = min(nearest, i.place.Distance(r.zone))
		}
		if nearest == choice.SameZone {
			i.local++
		}
		if nearest <= choice.SameRegion {
			i.region++
		}
		i.windows = append(i.windows, budget.New(epoch.Add(-s.pattern.Budget.Window.Std())))
	}

	return i
}

// limits returns the budget of one shard at each instance. All instances have equal shares of the allowance.
func (s *simulation) limits() budget.Limits {
	b := s.pattern.Budget

	return budget.Limits{Ratio: b.Ratio, Allowance: b.Allowance, Window: b.Window.Std(), Share: 1 / float64(len(s.instances))}
}

// way returns the one-way network delay between an instance and a zone, and counts the bytes that are transferred between zones or
// regions.
func (s *simulation) way(from *instance, zone string, bytes float64) time.Duration {
	switch from.place.Distance(zone) {
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

// link returns the state that the instance keeps for the replica, which it creates if needed.
func (i *instance) link(r *replica) *link {
	l := i.links[r]
	if l == nil {
		l = &link{}
		i.links[r] = l
	}

	return l
}

// facts describes a replica to the choice of a replica.
func (i *instance) facts(r *replica, now time.Duration) choice.Facts {
	l := i.link(r)
	f := choice.Facts{
		AvailabilityZone: r.zone, Slots: r.sim.pattern.Targets.Slots, InFlight: len(l.sent),
		Pace: l.pace.Value(), PaceAge: l.pace.Age(epoch.Add(now)), Reported: l.load, ReportAge: now - l.loadAt, Failures: l.failed,
	}
	if len(l.sent) > 0 {
		f.Silent = now - max(l.replied, l.sent[0])
	}

	return f
}

// ended records the end of a request that was sent at the given time.
func (l *link) ended(sent, now time.Duration, ok bool) {
	for k, at := range l.sent {
		if at == sent {
			l.sent = append(l.sent[:k:k], l.sent[k+1:]...)

			break
		}
	}
	l.failed *= 1 - failureWeight
	if !ok {
		l.failed += failureWeight

		return
	}
	l.pace.Observe(now-sent, epoch.Add(now))
	l.replied = now
}

// receive calls next when the instance has received and processed a message of the given size. work is the processor time that this
// takes on a whole core. The link and the processor handle one message after the other.
func (i *instance) receive(s *simulation, bytes float64, work time.Duration, next func()) {
	i.busy = max(i.busy, s.now) + time.Duration(float64(work)/i.processor) +
		time.Duration(bytes*8/i.linkBits*float64(time.Second))
	s.schedule(i.busy-s.now, next)
}

// away reports whether the replica refuses connections now.
func (r *replica) away() bool {
	for _, a := range r.sim.pattern.Targets.Away {
		if r.hit(a.From.Std(), a.To.Std(), a.Fraction, a.Replicas) {
			return true
		}
	}

	return false
}

// hit reports whether the replica is affected now by a fault with the given period, fraction of shards and number of replicas.
func (r *replica) hit(from, to time.Duration, fraction float64, replicas int) bool {
	now := r.sim.now

	return now >= from && now < to && r.index < replicas && float64(r.shard) < fraction*float64(len(r.sim.shards))
}

// serve runs or queues a request and calls done with the outcome and the load of the replica. If the queue is full or the replica
// does not accept connections, it calls done immediately.
func (r *replica) serve(done func(ok bool, load int)) {
	t := &r.sim.pattern.Targets
	switch {
	case r.away(), r.running >= t.Slots && len(r.waiting) >= t.Queue:
		done(false, r.running+len(r.waiting))
	case r.running >= t.Slots:
		r.waiting = append(r.waiting, func() { r.run(done) })
	default:
		r.run(done)
	}
}

// run occupies a slot for the service time of a request and then starts the next request in the queue.
func (r *replica) run(done func(ok bool, load int)) {
	r.running++
	r.sim.schedule(r.workTime(), func() {
		r.running--
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			next()
		}
		done(true, r.running+len(r.waiting))
	})
}

// workTime returns the random service time of a request that starts now, including the pause that it runs into.
func (r *replica) workTime() time.Duration {
	t := &r.sim.pattern.Targets
	work := float64(t.Work) * (0.5 + 0.5*r.sim.random.ExpFloat64())
	for _, slow := range t.Slow {
		if r.hit(slow.From.Std(), slow.To.Std(), slow.Fraction, slow.Replicas) {
			work *= slow.Factor
		}
	}
	took := time.Duration(work)
	if t.PauseEvery == 0 {
		return took
	}
	every, length := t.PauseEvery.Std(), t.PauseLength.Std()
	if since := (r.sim.now + r.phase) % every; since < length {
		took += length - since
	} else if since+took > every {
		took += length
	}

	return took
}
