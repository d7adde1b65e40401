package target

import (
	"math"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/pacing"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

const (
	// loggedChange is the relative change of a rate limit from which it is logged, because a target may name another one in each
	// response.
	loggedChange = 0.1
	// observationValidity is the time for which the last response of a target to this instance is preferred to what the leader passes
	// on, which is older than that.
	observationValidity = 2 * time.Second
	// demandWeight is the weight of the last report interval in the demand, an exponentially weighted average.
	demandWeight = 0.5
	// minimumReportTime is the shortest time over which the demand is measured.
	minimumReportTime = 500 * time.Millisecond
)

// rateLimit is what a link knows of the rate limit of its target. The zero value is that of a target that has named none.
type rateLimit struct {
	// observed is what the last response of the target says, which arrived at observedAt. passedOn is what the leader passes on, nil if
	// it passes on nothing.
	observed   namedLimit
	observedAt time.Time
	passedOn   *ratelimit.Limit
	// logged is the limit that was last logged, and since the time of that.
	logged namedLimit
	since  time.Time
	// requests counts the requests of this instance since the limit was last logged.
	requests int
	// pacer spaces the requests of this instance, nil while there is no limit.
	pacer *pacing.Pacer
	// wanted counts the requests since the last report for which the target was the first choice, demand is that as a rate, and
	// reportedAt the time of the report. claim is made of the reports.
	wanted     int
	demand     float64
	reportedAt time.Time
	claim      pacing.Claim
}

// namedLimit is a limit that a target names, in requests a second of all instances together. The zero value stands for none.
type namedLimit struct {
	named     bool
	perSecond float64
}

// current returns the limit in force.
func (r *rateLimit) current(now time.Time) namedLimit {
	if r.passedOn == nil || now.Sub(r.observedAt) < observationValidity {
		return r.observed
	}
	if r.passedOn.Lifted {
		return namedLimit{}
	}

	return namedLimit{named: true, perSecond: r.passedOn.PerSecond}
}

// setPassedOn sets what the leader passes on about the target, nil if it passes on nothing. What it passed on last then stays in force,
// because a new leader may not know the limit yet.
func (r *rateLimit) setPassedOn(passedOn *ratelimit.Limit, now time.Time) {
	if passedOn == nil && r.passedOn != nil {
		r.observed = r.current(now)
	}
	r.passedOn = passedOn
}

// recordRateLimit records the rate limit that a response names, or that it names none any more. l.mu must be held.
func (l *Link) recordRateLimit(result *Result, now time.Time) {
	limit := &l.rateLimit
	if !result.Sent {
		l.refundTurn()
	}
	if result.Status == 0 || result.Status == http.StatusMisdirectedRequest || result.Reply.RateLimitInvalid {
		// There is no response, another process responded, or the limit cannot be decoded.
		return
	}
	limit.observed, limit.observedAt = namedLimit{}, now
	if perSecond := result.Reply.RateLimit; perSecond != nil {
		limit.observed = namedLimit{named: true, perSecond: *perSecond}
	}
	l.updateRateLimit(now)
}

// updateRateLimit logs a change of the limit in force and ends the pacing of requests if there is none. l.mu must be held.
func (l *Link) updateRateLimit(now time.Time) {
	limit := &l.rateLimit
	current := limit.current(now)
	if current.named {
		l.pool.extendLimited(now.Add(limitRetention))
	}
	switch {
	case !current.named && limit.logged.named:
		l.pool.log.Log(event.TargetUnlimited, "Target", l.id, "Service", l.service, "PerSecond", limit.logged.perSecond,
			"Requests", limit.requests, "For", now.Sub(limit.since))
		limit.pacer = nil
	case current.named && (!limit.logged.named ||
		math.Abs(current.perSecond-limit.logged.perSecond) > loggedChange*limit.logged.perSecond):
		l.pool.log.Log(event.TargetLimited, "Target", l.id, "Service", l.service, "PerSecond", current.perSecond,
			"Before", limit.logged.perSecond, "Requests", limit.requests, "Share", l.pacingLimit(current).Share,
			"PassedOn", now.Sub(limit.observedAt) >= observationValidity)
	default:
		return
	}
	if !limit.logged.named {
		limit.wanted, limit.demand, limit.reportedAt, limit.claim = 0, 0, now, pacing.Claim{}
	}
	limit.logged, limit.since, limit.requests = current, now, 0
}

// pacingLimit returns a limit and the share of it that this instance may use. l.mu must be held.
func (l *Link) pacingLimit(current namedLimit) pacing.Limit {
	fleet := l.pool.fleet()
	facts := pacing.Facts{Instances: fleet.Instances, Listed: fleet.Listed, CutOff: fleet.CutOff}
	facts.Demand, facts.Claimed = l.rateLimit.claim.Demand()
	if passedOn := l.rateLimit.passedOn; passedOn != nil {
		facts.TotalDemand = passedOn.Demand
	}

	return pacing.Limit{PerSecond: current.perSecond, Share: pacing.Share(facts)}
}

// currentPacer returns the pacer of the link and the limit to apply, nil if the target names no limit. l.mu must be held.
func (l *Link) currentPacer(now time.Time) (*pacing.Pacer, pacing.Limit) {
	current := l.rateLimit.current(now)
	if !current.named {
		return nil, pacing.Limit{}
	}
	limit := l.pacingLimit(current)
	if l.rateLimit.pacer == nil {
		l.rateLimit.pacer = pacing.New(now, limit, l.pool.fleet().Position)
	}

	return l.rateLimit.pacer, limit
}

// Reserve takes this instance's next turn to send a request to the target, if that is within maxWait, and returns the time until then.
// The turn is given back by Send if nothing is sent, and by Refund. A target that names no limit can be sent a request at any time, except
// while it wants none: no request waits for that, because all that do would be sent at once. The lower of two limits binds: that which the
// target names, and that of a cold target.
func (l *Link) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.absence.Wait(now); wait > 0 {
		return wait, false
	}
	ok = true
	if wait = l.coldWait(now); wait > maxWait {
		l.passedOver()

		return wait, false
	}
	if pacer, limit := l.currentPacer(now); pacer != nil {
		var turn time.Duration
		turn, ok = pacer.Reserve(now, limit, maxWait)
		wait = max(wait, turn)
	}
	if ok {
		l.absence.Take()
		l.takeColdTurn(now)
	}

	return wait, ok
}

// refundTurn gives back a turn of each limit. l.mu must be held.
func (l *Link) refundTurn() {
	if l.rateLimit.pacer != nil {
		l.rateLimit.pacer.Refund()
	}
	l.cold.refund()
}

// Refund gives back a turn for which Send is not called.
func (l *Link) Refund() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.absence.GiveBack()
	l.refundTurn()
}

// TurnIn returns the time until this instance may send a request to the target.
func (l *Link) TurnIn(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.absence.Wait(now)
	if pacer, limit := l.currentPacer(now); pacer != nil {
		wait = max(wait, pacer.Wait(now, limit))
	}

	return max(wait, l.coldWait(now))
}

// RecordDemand counts a request for which the target is the first choice, whether or not it is this instance's turn.
func (l *Link) RecordDemand() {
	l.mu.Lock()
	l.rateLimit.wanted++
	l.mu.Unlock()
}

// limitReport returns what this instance reports about the rate limit of the target, if it knows of any.
func (l *Link) limitReport(now time.Time) (report ratelimit.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := &l.rateLimit
	current := limit.current(now)
	lifted := !current.named
	if lifted && (limit.since.IsZero() || now.Sub(limit.since) > liftedReports) {
		return report, false
	}
	if elapsed := now.Sub(limit.reportedAt); elapsed > minimumReportTime {
		limit.demand += demandWeight * (float64(limit.wanted)/elapsed.Seconds() - limit.demand)
		limit.wanted, limit.reportedAt = 0, now
		limit.claim.Report(limit.demand)
	}

	return ratelimit.Report{
		Target: l.id, Started: l.target.Started, PerSecond: current.perSecond, Lifted: lifted,
		Age: min(now.Sub(limit.observedAt), ratelimit.MaximumAge), Demand: limit.demand,
	}, true
}
