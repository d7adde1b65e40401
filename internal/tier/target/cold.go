package target

import (
	"context"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/pacing"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// ColdTargets limits the requests to targets that are cold. The function fields must be set.
type ColdTargets struct {
	// Service returns the service with a name, and whether it is configured. After it has changed, Pool.UpdateColdLimits must be called.
	Service func(name string) (route.Service, bool)
	// Share returns this instance's fraction of the limit of the targets of a service.
	Share func(now time.Time, service string) float64
	// Position returns the position of this instance among all, from 0 to less than 1.
	Position func() float64
	// Lapse is how long all instances together may save requests.
	Lapse time.Duration
}

// WithColdTargets limits the requests to targets that are cold, if their services are configured with a limit.
func WithColdTargets(cold ColdTargets) Option {
	return func(p *Pool) { p.cold = &cold }
}

// coldness is what a link knows of the time for which its target is cold. The zero value is that of a target that never was.
type coldness struct {
	// until is the end of that time. It runs from when this instance has received an entry, which is later than when the target has written it.
	until time.Time
	// sequence and warmup are those of the last entry that was received.
	sequence int64
	warmup   time.Duration
	// perSecond is the limit for all instances together, 0 if there is none. pacer spaces the requests of this instance.
	perSecond float64
	pacer     *pacing.Pacer
}

// limits reports whether the target is cold and its requests are limited.
func (c *coldness) limits(now time.Time) bool { return c.perSecond > 0 && now.Before(c.until) }

// refund gives back a turn.
func (c *coldness) refund() {
	if c.pacer != nil {
		c.pacer.Refund()
	}
}

// observeWarmup records the time left in an entry of the target. An entry that was received before, which a new leader passes on again, says
// nothing new. No entry ends the time earlier, because entries may arrive late and in another order. l.mu must be held.
func (l *Link) observeWarmup(t *directory.Target, now time.Time) {
	if t.Sequence == l.cold.sequence && t.Warmup == l.cold.warmup {
		return
	}
	l.cold.sequence, l.cold.warmup = t.Sequence, t.Warmup
	if t.Warmup > 0 {
		l.chill(now, now.Add(t.Warmup))
	}
}

// chill makes the target count as cold until a time at least. l.mu must be held.
func (l *Link) chill(now, until time.Time) {
	if !until.After(l.cold.until) {
		return
	}
	if !l.cold.limits(now) {
		l.cold.pacer = nil
	}
	l.cold.until = until
	l.applyColdLimit(now)
}

// applyColdLimit applies the configured limit of the target's service. l.mu must be held.
func (l *Link) applyColdLimit(now time.Time) {
	l.cold.perSecond = l.pool.coldService(l.service).WarmupPerSecond
	if l.cold.limits(now) {
		l.pool.extendLimited(l.cold.until)
	}
}

// coldPacer returns the pacer for the time for which the target is cold and the limit to apply, nil if none is in force. l.mu must be held.
func (l *Link) coldPacer(now time.Time) (*pacing.Pacer, pacing.Limit) {
	if !l.cold.limits(now) {
		return nil, pacing.Limit{}
	}
	settings := l.pool.cold
	limit := pacing.Limit{PerSecond: l.cold.perSecond, Share: settings.Share(now, l.service), Lapse: settings.Lapse}
	if l.cold.pacer == nil {
		l.cold.pacer = pacing.New(now, limit, settings.Position())
	}

	return l.cold.pacer, limit
}

// coldWait returns the time until this instance may send a request to the target as far as that is cold: until its turn, or until the target is
// cold no more if that comes first. l.mu must be held.
func (l *Link) coldWait(now time.Time) time.Duration {
	pacer, limit := l.coldPacer(now)
	if pacer == nil {
		return 0
	}

	return min(pacer.Wait(now, limit), l.cold.until.Sub(now))
}

// takeColdTurn takes the next turn if it comes while the target is cold. l.mu must be held.
func (l *Link) takeColdTurn(now time.Time) {
	if pacer, limit := l.coldPacer(now); pacer != nil {
		_, _ = pacer.Reserve(now, limit, l.cold.until.Sub(now))
	}
}

// passedOver counts a request for which the target was chosen and that it does not get because it is cold.
func (l *Link) passedOver() {
	l.pool.metrics.PassedOver(context.Background(), l.service)
}

// coldService returns the configuration of a service, the zero value if cold targets are not limited.
func (p *Pool) coldService(name string) (s route.Service) {
	if p.cold != nil {
		s, _ = p.cold.Service(name)
	}

	return s
}

// UpdateColdLimits applies the configured limits for cold targets.
func (p *Pool) UpdateColdLimits() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.timers.Now()
	for _, l := range p.links {
		l.mu.Lock()
		l.applyColdLimit(now)
		l.mu.Unlock()
	}
}

// EvacuatedZones returns the number of evacuated availability zones.
func (p *Pool) EvacuatedZones() int {
	p.mu.RLock()
	defer p.mu.RUnlock()

	return len(p.evacuatedZones)
}

// ColdTargets returns the number of targets that are cold and whose requests are limited.
func (p *Pool) ColdTargets() (n int) {
	if !p.Limited() {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.timers.Now()
	for _, l := range p.links {
		l.mu.Lock()
		if l.cold.limits(now) {
			n++
		}
		l.mu.Unlock()
	}

	return n
}

// chillReturned makes the targets of the zones that are no longer evacuated count as cold, whatever their entries say: these lag behind.
func (p *Pool) chillReturned(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, returned := p.timers.Now(), false
	for _, zone := range p.evacuatedZones {
		if !slices.Contains(zones, zone) {
			p.returnedAt[zone], returned = now, true
			p.log.Log(event.ZoneReturned, "AvailabilityZone", zone)
		}
	}
	p.evacuatedZones = zones
	if !returned {
		return
	}
	for _, l := range p.links {
		l.mu.Lock()
		p.chillIfReturned(l, now)
		l.mu.Unlock()
	}
}

// chillIfReturned makes a target count as cold if the evacuation of its zone has just ended. p.mu and l.mu must be held.
func (p *Pool) chillIfReturned(l *Link, now time.Time) {
	if at, ok := p.returnedAt[l.target.AvailabilityZone]; ok {
		if s := p.coldService(l.service); s.WarmupPerSecond > 0 {
			l.chill(now, at.Add(s.Warmup))
		}
	}
}
