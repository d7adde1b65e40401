package target

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/absence"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

const (
	// limitRetention is the time for which the rate limit of a target that has left the directory is kept. The entry of a live target
	// may expire in an outage of the store and return later.
	limitRetention = time.Minute
	// liftedReports is the time for which the end of a limit is reported.
	liftedReports = 10 * time.Second
)

// FleetFacts is what the pacing of requests to targets that limit their rate depends on.
type FleetFacts struct {
	// Instances is the largest recent number of instances, and Listed the number that the leader lists.
	Instances int
	Listed    int
	// Position is the position of this instance among all, from 0 to less than 1.
	Position float64
	// CutOff is set if this instance has had no contact to the leader recently.
	CutOff bool
}

// departedLimit is the rate limit of a target that has left the directory.
type departedLimit struct {
	started time.Time
	at      time.Time
	limit   rateLimit
	absence absence.State
	cold    coldness
}

// retainRateLimit keeps the rate limit of a target that leaves the directory. p.mu must be held.
func (p *Pool) retainRateLimit(l *Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := p.timers.Now()
	for id, departed := range p.departedLimits {
		if now.Sub(departed.at) > limitRetention {
			delete(p.departedLimits, id)
		}
	}
	if l.rateLimit.current(now).named || l.absence.Away(now) || l.cold.limits(now) {
		p.departedLimits[l.id] = departedLimit{started: l.target.Started, at: now, limit: l.rateLimit, absence: l.absence, cold: l.cold}
	}
}

// restoreRateLimit gives a new link the rate limit that its target had before it left the directory, and what the leader passes on
// about it. p.mu must be held.
func (p *Pool) restoreRateLimit(l *Link) {
	departed, ok := p.departedLimits[l.id]
	delete(p.departedLimits, l.id)
	now := p.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok && departed.started.Equal(l.target.Started) && now.Sub(departed.at) <= limitRetention {
		l.rateLimit, l.absence = departed.limit, departed.absence
		l.absence.Forget()
		l.cold = departed.cold
		l.observeWarmup(l.target, now)
		l.applyColdLimit(now)
	}
	p.applyPassedOn(l, now)
}

// SetLimits sets the rate limits of targets that the leader passes on, by the IDs of the targets.
func (p *Pool) SetLimits(limits map[string]ratelimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(limits) == 0 && len(p.passedOnLimits) == 0 {
		return
	}
	p.passedOnLimits = limits
	now := p.timers.Now()
	for _, l := range p.links {
		l.mu.Lock()
		p.applyPassedOn(l, now)
		l.mu.Unlock()
	}
}

// applyPassedOn passes what the leader passes on about a target to its link, unless it is about an earlier process. p.mu and l.mu must be
// held.
func (p *Pool) applyPassedOn(l *Link, now time.Time) {
	if passedOn, ok := p.passedOnLimits[l.id]; ok && passedOn.Started.Equal(l.target.Started) {
		l.rateLimit.setPassedOn(&passedOn, now)
	} else {
		l.rateLimit.setPassedOn(nil, now)
	}
	l.updateRateLimit(now)
}

// LimitReports returns what this instance reports to the leader about the rate limits of targets.
func (p *Pool) LimitReports() []ratelimit.Report {
	if !p.Limited() {
		return nil
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.timers.Now()
	var reports []ratelimit.Report
	for _, l := range p.links {
		if report, ok := l.limitReport(now); ok {
			reports = append(reports, report)
		}
	}

	return reports
}

// extendLimited makes Limited report true until a time at least.
func (p *Pool) extendLimited(until time.Time) {
	for nanos := until.UnixNano(); ; {
		known := p.limitedUntil.Load()
		if known >= nanos || p.limitedUntil.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// Limited reports whether a rate limit may be in force that a target has named, or a target may want no requests. It costs less than asking
// each link.
func (p *Pool) Limited() bool { return p.timers.Now().UnixNano() < p.limitedUntil.Load() }
