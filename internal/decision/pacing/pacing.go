// Package pacing decides when an instance may send its next request to a target that limits the rate of requests of all instances
// together.
//
// It is designed for targets in need, most of whose requests come from a few of many instances. Each instance sends its share of the
// rate on its own, without asking the others for each request:
//
//	limit := pacing.Limit{PerSecond: 21.7, Share: pacing.Share(facts)}
//	p := pacing.New(now, limit, 3.0/195)
//	if wait, ok := p.Reserve(now, limit, 0); ok {
//		// one request may be sent after wait
//	}
//
// The shares of all instances add up to at most 1. A request that an instance could have sent lapses after a while. Otherwise each
// instance of a large fleet could save one, and all of them together could exceed the limit many times over when load returns.
package pacing

import (
	"math"
	"slices"
	"time"
)

const (
	// minimumPerSecond is the lowest rate that a fleet uses. A few requests have to reach a target even if it names a limit of 0,
	// because only a response says that the limit has ended.
	minimumPerSecond = 0.2
	// lapseTime and lapseRequests determine how long an instance may save a request: the fleet can save what the target accepts in
	// lapseTime, and lapseRequests more.
	lapseTime     = 500 * time.Millisecond
	lapseRequests = 1
	// demandFraction is the fraction of the limit that is divided by demand. The rest is divided equally, so that an instance whose
	// demand is not known to the others yet can send requests, too.
	demandFraction = 0.9
	// maximumInterval is the longest interval between two requests of an instance.
	maximumInterval = time.Hour
)

// Limit is the rate limit of a target and the share of it that this instance may use.
type Limit struct {
	// PerSecond is the number of requests a second that the target accepts from all instances together.
	PerSecond float64
	// Share is this instance's fraction of PerSecond.
	Share float64
	// Lapse is how long the fleet may save requests at least, lapseTime if it is 0.
	Lapse time.Duration
}

// interval returns the time between two requests of this instance.
func (l Limit) interval() time.Duration {
	rate := max(l.PerSecond, minimumPerSecond) * l.Share
	if rate*maximumInterval.Seconds() <= 1 {
		return maximumInterval
	}

	return max(time.Duration(float64(time.Second)/rate), 1)
}

// lapse returns how long a request that was not sent can be sent later.
func (l Limit) lapse() time.Duration {
	lapse := l.Lapse
	if lapse == 0 {
		lapse = lapseTime
	}

	return lapse + time.Duration(lapseRequests/max(l.PerSecond, minimumPerSecond)*float64(time.Second))
}

// Facts are the inputs of Share.
type Facts struct {
	// Instances is the largest recent number of instances, and Listed the number that the leader lists. An instance that is not
	// listed may be cut off and still send requests.
	Instances int
	Listed    int
	// Demand is the number of requests a second that this instance claims, and TotalDemand the sum that the leader made of the reports
	// of all instances, 0 if it is not known. Claimed is unset while this instance has made too few reports for a claim.
	Demand      float64
	TotalDemand float64
	Claimed     bool
	// CutOff is set if this instance has had no contact to the leader recently, so that the others may use its share by demand.
	CutOff bool
}

// Share returns the fraction of a target's limit that this instance may use.
func Share(f Facts) float64 {
	instances := float64(max(f.Instances, f.Listed, 1))
	equal := 1 / instances
	if f.TotalDemand <= 0 || !f.Claimed {
		return equal
	}
	listed := float64(max(f.Listed, 1)) / instances
	share := demandFraction*listed*f.Demand/max(f.TotalDemand, f.Demand) + (1-demandFraction)*equal
	if f.CutOff {
		return min(share, equal)
	}

	return share
}

// claimReports is the number of reports that a Claim is made of. The sum that the leader passes on is made of reports that are at most
// as old.
const claimReports = 3

// Claim is the demand by which an instance uses a limit: the lowest of its last reports. The sum of the leader lags behind the reports.
// If all instances used the demand of their last report while it rises, their shares would add up to more than 1. The zero value is
// ready to use.
type Claim struct {
	reported [claimReports]float64
	count    int
}

// Report adds a report.
func (c *Claim) Report(demand float64) {
	c.reported[c.count%claimReports] = demand
	c.count++
}

// Demand returns the claimed demand, and false if there were too few reports for a claim.
func (c *Claim) Demand() (demand float64, ok bool) {
	return slices.Min(c.reported[:]), c.count >= claimReports
}

// Pacer spaces the requests of one instance to one target. It is not safe for concurrent use.
type Pacer struct {
	// next is the time of the next request: in the past if it was not sent yet, and in the future if the instance has to wait.
	next     time.Time
	interval time.Duration
}

// New returns a Pacer. position is the position of this instance among all, from 0 to less than 1. By it and the time of day, the
// turns of instances with equal shares are spread evenly.
func New(now time.Time, limit Limit, position float64) *Pacer {
	interval := limit.interval()
	untilTurn := time.Duration(position*float64(interval)) - time.Duration(now.UnixNano()%int64(interval))
	if untilTurn < 0 {
		untilTurn += interval
	}

	return &Pacer{next: now.Add(untilTurn), interval: interval}
}

// Wait returns the time until the instance may send a request, 0 if it may send one now.
func (p *Pacer) Wait(now time.Time, limit Limit) time.Duration {
	p.adapt(now, limit)

	return max(p.next.Sub(now), 0)
}

// Reserve takes the next request if the instance may send it within maxWait, and returns the time until then.
func (p *Pacer) Reserve(now time.Time, limit Limit, maxWait time.Duration) (wait time.Duration, ok bool) {
	wait = p.Wait(now, limit)
	if wait > maxWait {
		return wait, false
	}
	p.next = p.next.Add(p.interval)

	return wait, true
}

// Refund returns a reserved request that was not sent.
func (p *Pacer) Refund() { p.next = p.next.Add(-p.interval) }

// adapt applies a changed limit, and drops the requests that have lapsed.
func (p *Pacer) adapt(now time.Time, limit Limit) {
	if interval := limit.interval(); interval != p.interval {
		p.next = now.Add(time.Duration(float64(p.next.Sub(now)) * float64(interval) / float64(p.interval)))
		p.interval = interval
	}
	if overdue := now.Add(-limit.lapse()).Sub(p.next); overdue > 0 {
		p.next = p.next.Add(time.Duration(math.Ceil(float64(overdue)/float64(p.interval))) * p.interval)
	}
}
