package replay

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/hedging"
)

// failureWeight is the weight of a new sample in the moving average of a replica's failures.
const failureWeight = 0.3

// instance is a machine of the query tier.
type instance struct {
	place     choice.Place
	processor float64
	linkBits  float64
	// busy is when the processor and the link have finished what has arrived.
	busy    time.Duration
	active  int // queries in flight
	local   int // shards with a replica in the availability zone
	region  int
	links   map[*replica]*link
	windows []*budget.Window
	usual   hedging.Tracker
}

// link is what an instance knows of a replica.
type link struct {
	sent    []time.Duration // requests in flight
	replied time.Duration
	pace    choice.Pace
	load    int
	loadAt  time.Duration
	failed  float64
}

// replica is a target of a shard.
type replica struct {
	sim     *simulation
	shard   int
	index   int
	zone    string
	phase   time.Duration // of its pauses
	running int
	waiting []func()
}

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

func (s *simulation) limits() budget.Limits {
	b := s.pattern.Budget

	return budget.Limits{Ratio: b.Ratio, Allowance: b.Allowance, Window: b.Window.Std(), Share: 1 / float64(len(s.instances))}
}

// way returns the one-way delay between an instance and a zone, and counts the bytes that cross.
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

func (i *instance) link(r *replica) *link {
	l := i.links[r]
	if l == nil {
		l = &link{}
		i.links[r] = l
	}

	return l
}

// facts describes a replica for the choice.
func (i *instance) facts(r *replica, now time.Duration) choice.Facts {
	l := i.link(r)
	f := choice.Facts{
		AvailabilityZone: r.zone, Slots: r.sim.pattern.Targets.Slots, InFlight: len(l.sent), Pace: l.pace.Value(), PaceAge: l.pace.Age(epoch.Add(now)),
		Reported: l.load, ReportAge: now - l.loadAt, Failures: l.failed,
	}
	if len(l.sent) > 0 {
		f.Silent = now - max(l.replied, l.sent[0])
	}

	return f
}

// ended notes the end of a request that was sent at a time.
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

// receive runs next once the instance has taken a message of some bytes that needs some work of a whole core.
func (i *instance) receive(s *simulation, bytes float64, work time.Duration, next func()) {
	i.busy = max(i.busy, s.now) + time.Duration(float64(work)/i.processor) +
		time.Duration(bytes*8/i.linkBits*float64(time.Second))
	s.schedule(i.busy-s.now, next)
}

func (r *replica) away() bool {
	for _, a := range r.sim.pattern.Targets.Away {
		if r.hit(a.From.Std(), a.To.Std(), a.Fraction, a.Replicas) {
			return true
		}
	}

	return false
}

func (r *replica) hit(from, to time.Duration, fraction float64, replicas int) bool {
	now := r.sim.now

	return now >= from && now < to && r.index < replicas && float64(r.shard) < fraction*float64(len(r.sim.shards))
}

// serve takes a request and calls done with the result and the load of the replica. Without room it refuses at once.
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

// workTime returns how long a request takes that begins now, with the pauses that it meets.
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
