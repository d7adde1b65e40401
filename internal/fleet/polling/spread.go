package polling

import (
	"context"
	"math/bits"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// pushes is the number of peers that each instance gives a new report, as with the configuration. The contacts of the next
	// Period repair the 5% of a large fleet that three leave out.
	pushes = 3
	// pushBatch and pushGap bound what an instance pushes to 320 reports a second, at some 100 bytes each. A new version at
	// all of 3,200 targets takes 10 s; drains are pushed first.
	pushBatch = 64
	pushGap   = 200 * time.Millisecond
	// contactTimeout bounds a comparison. With a dial between regions it takes about 75 ms.
	contactTimeout = 300 * time.Millisecond
	// nextTries is the number of instances after this one in its zone that are asked, and zoneTries that of another zone: the
	// first one, and if it does not answer or poll, all others at once. Of 50 instances, 10 may share a rack.
	nextTries = 9
	zoneTries = 3
	// maxZones bounds the zones that are contacted. Nine are expected.
	maxZones = 16
	// maxRepairs bounds the peers with which an instance exchanges reports in a Period.
	maxRepairs = 3
)

// progress is that of an instance and when it was first seen.
type progress struct {
	count uint64
	at    time.Time
}

// answer is that of one instance to a comparison.
type answer struct {
	from instance.Instance
	peer.Comparison
}

// findings are those of one contact.
type findings struct {
	digest uint64

	mu      sync.Mutex
	answers []answer
	absent  set.Set[string]
	cut     set.Set[zone.Zone]
}

// Run contacts the other zones once every Period and pushes new reports until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { p.push(ctx) })
	ticks := p.timers.Subscribe(Period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			p.contact(ctx, false)
		}
	}
}

// push passes on new reports until ctx ends.
func (p *Poller) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signal:
		}
		if p.flush(ctx) {
			wake(p.signal)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.timers.After(pushGap):
		}
	}
}

// flush pushes one batch and reports whether it was full.
func (p *Poller) flush(ctx context.Context) (more bool) {
	reports := p.table.take(pushBatch)
	if len(reports) == 0 {
		return false
	}
	ctx, cancel := p.timers.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, to := range p.choose() {
		p.pushed.Add(uint64(len(reports)))
		// A push that fails is not repeated, because a comparison shows what is missing.
		running.Go(func() { _, _ = p.functions.Reports(ctx, to.Peer, reports, 0) })
	}
	running.Wait()

	return len(reports) == pushBatch
}

// choose returns the peers to push to: those of the own zone first, but one of another zone when there is one.
func (p *Poller) choose() []instance.Instance {
	var own, others []instance.Instance
	for _, i := range p.functions.Live() {
		switch {
		case i.Name == p.self.Name:
		case i.AvailabilityZone == p.self.AvailabilityZone:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range [][]instance.Instance{own, others} {
		p.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near := min(len(own), pushes-min(1, len(others)))

	return append(own[:near:near], others[:min(len(others), pushes-near)]...)
}

// contact compares digests with the next instance of this zone and with one of each other zone, notes who does not
// answer, and exchanges reports with those that differ: all that differ, or what one message carries.
func (p *Poller) contact(ctx context.Context, all bool) {
	p.contacting.Lock()
	defer p.contacting.Unlock()
	zones := make(map[zone.Zone][]instance.Instance)
	for _, i := range p.functions.Live() {
		if i.Name != p.self.Name && (len(zones) < maxZones || zones[i.AvailabilityZone] != nil) {
			zones[i.AvailabilityZone] = append(zones[i.AvailabilityZone], i)
		}
	}
	var found findings
	found.digest, _ = p.table.digests()
	var running sync.WaitGroup
	for z, members := range zones {
		running.Go(func() { p.contactZone(ctx, z, members, &found) })
	}
	running.Wait()
	if ctx.Err() != nil {
		return
	}
	p.note(found.absent, found.cut, len(zones) > 0 && len(found.answers) == 0)
	if !all {
		// A peer that stops to answer meanwhile must not hold up the next contact, which shows who else does.
		limited, cancel := p.timers.WithTimeout(ctx, Period)
		defer cancel()
		ctx = limited
	}
	p.repair(ctx, found.answers, all)
}

// contactZone compares with instances of one zone until one answers, in this zone one that polls.
func (p *Poller) contactZone(ctx context.Context, z zone.Zone, members []instance.Instance, found *findings) {
	own := z == p.self.AvailabilityZone
	for _, group := range p.order(own, members) {
		answered := p.compareAll(ctx, group, found.digest)
		found.mu.Lock()
		done := false
		for i, a := range answered {
			if a != nil {
				found.answers = append(found.answers, answer{group[i], *a})
			}
			done = done || (a != nil && (!own || p.advanced(group[i], a.Progress)))
			if own && !done {
				found.absent.Add(group[i].Name)
			}
		}
		found.mu.Unlock()
		if done {
			return
		}
	}
	if !own {
		found.mu.Lock()
		found.cut.Add(z)
		found.mu.Unlock()
	}
}

// order returns groups of the instances of a zone that are asked, one group after the other. Within the zone all are in one
// ring and each watches the next, so that one alone takes over; its order is one of hashes, because neighbours by name may
// share a rack. In another zone each has its own peer, so that connections are kept and all peers get the same load.
func (p *Poller) order(own bool, members []instance.Instance) (groups [][]instance.Instance) {
	var order []instance.Instance
	if own {
		ring := ownership.Rank("", append(slices.Clone(members), p.self))
		at := slices.IndexFunc(ring, func(i instance.Instance) bool { return i.Name == p.self.Name })
		order = append(slices.Clone(ring[at+1:]), ring[:at]...)
		order = order[:min(nextTries, len(order))]
	} else {
		order = ownership.Rank(p.self.Name, members)
		order = order[:min(zoneTries, len(order))]
	}

	return [][]instance.Instance{order[:1], order[1:]}
}

// compareAll compares with several instances at once. The answer of one that gave none is nil.
func (p *Poller) compareAll(ctx context.Context, to []instance.Instance, digest uint64) []*peer.Comparison {
	ctx, cancel := p.timers.WithTimeout(ctx, contactTimeout)
	defer cancel()
	answers := make([]*peer.Comparison, len(to))
	var running sync.WaitGroup
	for i := range to {
		running.Go(func() {
			if c, err := p.functions.Compare(ctx, to[i].Peer, digest); err == nil {
				answers[i] = &c
			}
		})
	}
	running.Wait()

	return answers
}

// advanced reports whether an instance that answered has polled since it answered last. One that answers but does not poll
// would otherwise keep its targets for itself. Rounds and contacts have one Period, so one contact without progress may only
// be early. The caller holds the mutex of the contact.
func (p *Poller) advanced(i instance.Instance, count uint64) bool {
	now := p.timers.Now()
	last, ok := p.seen[i.Name]
	if ok && last.count == count {
		return now.Sub(last.at) < Period*3/2
	}
	if len(p.seen) >= 2*nextTries {
		clear(p.seen)
	}
	p.seen[i.Name] = progress{count: count, at: now}

	return true
}

// note records who does not poll and has the targets polled that this instance takes over.
func (p *Poller) note(absent set.Set[string], cut set.Set[zone.Zone], isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isolated == p.isolated && isEqual(absent, p.absent) && isEqual(cut, p.cut) {
		return
	}
	p.absent, p.cut, p.isolated, p.reachable = absent, cut, isolated, nil
	wake(p.changed)
}

func isEqual[T comparable](a, b set.Set[T]) bool {
	for _, v := range a.Values() {
		if !b.Has(v) {
			return false
		}
	}

	return a.Len() == b.Len()
}

// repair exchanges reports with the instances whose digest differs, until this instance's is one of theirs.
func (p *Poller) repair(ctx context.Context, answers []answer, all bool) {
	p.mu.Lock()
	if len(p.replicas) == 0 {
		// Before the first configuration every report is unknown.
		answers = nil
	}
	p.random.Shuffle(len(answers), func(i, j int) { answers[i], answers[j] = answers[j], answers[i] })
	p.mu.Unlock()
	repairs := 0
	for _, a := range answers {
		digest, buckets := p.table.digests()
		if a.Digest == digest || len(a.Buckets) == 0 || repairs == maxRepairs {
			continue
		}
		repairs++
		p.repairs.Add(1)
		var differ uint64
		for i, b := range a.Buckets {
			if b != buckets[i] {
				differ |= 1 << i
			}
		}
		for differ != 0 {
			want := p.portion(differ)
			differ &^= want
			if p.exchange(ctx, a.from.Peer, want, all) != nil || !all {
				break
			}
		}
	}
}

// portion returns as many of the buckets as one message has room for.
func (p *Poller) portion(differ uint64) (want uint64) {
	p.mu.Lock()
	start := p.random.IntN(peer.Buckets)
	average := max(1, len(p.replicas)/peer.Buckets)
	p.mu.Unlock()
	// Half of the room is left for buckets that are fuller than others.
	room := max(1, peer.MaxReports/2/average)
	for i := range peer.Buckets {
		bit := uint64(1) << ((start + i) % peer.Buckets)
		if differ&bit != 0 && bits.OnesCount64(want) < room {
			want |= bit
		}
	}

	return want
}

// exchange takes the reports of the peer in the wanted buckets and gives it those that it lacks.
func (p *Poller) exchange(ctx context.Context, to netip.AddrPort, want uint64, all bool) error {
	theirs, err := p.functions.Reports(ctx, to, nil, want)
	if err != nil {
		return err
	}
	known := make(map[netip.AddrPort]*peer.TargetReport, len(theirs))
	for i := range theirs {
		known[theirs[i].Address] = &theirs[i]
	}
	// A few reports were missed here alone, or are those of an owner whose pushes were lost. Many are those of a time in
	// which this instance was cut off, and the others that were cut off repair them in the same way.
	if adopted := p.adopt(theirs); !all && len(adopted) <= pushBatch {
		p.passOn(adopted)
	}
	var newer []peer.TargetReport
	for _, r := range p.table.in(want) {
		if their := known[r.Address]; their == nil || supersedes(&r, their) {
			newer = append(newer, r)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	_, err = p.functions.Reports(ctx, to, newer, 0)

	return err
}

// adopt takes the reports that are newer than this instance's and returns their targets.
func (p *Poller) adopt(reports []peer.TargetReport) (adopted []netip.AddrPort) {
	for i := range reports {
		r := &reports[i]
		if p.table.offer(r) {
			adopted = append(adopted, r.Address)
			p.functions.Learn(r.Address, r.Report())
		}
	}
	p.adopted.Add(uint64(len(adopted)))

	if len(adopted) > 0 && p.catchesUp() && len(p.table.unknown()) == 0 {
		// The rest of CatchUp need not wait for the next period.
		wake(p.changed)
	}

	return adopted
}

// catchesUp reports whether CatchUp waits for reports.
func (p *Poller) catchesUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return !p.waiting.IsZero()
}

func (p *Poller) passOn(addresses []netip.AddrPort) {
	if len(addresses) > 0 {
		p.table.passOn(addresses)
		wake(p.signal)
	}
}

// HandleCompare answers the digest of another instance.
func (p *Poller) HandleCompare(_ context.Context, _ peer.Sender, digest uint64) (peer.Comparison, error) {
	own, buckets := p.table.digests()
	comparison := peer.Comparison{Digest: own, Progress: p.rounds.Load() + p.polls.Load()}
	if own != digest {
		comparison.Buckets = buckets
	}

	return comparison, nil
}

// HandleReports takes the reports of another instance and returns those in the wanted buckets.
func (p *Poller) HandleReports(
	_ context.Context,
	_ peer.Sender,
	reports []peer.TargetReport,
	want uint64,
) ([]peer.TargetReport, error) {
	p.passOn(p.adopt(reports))

	return p.table.in(want), nil
}
