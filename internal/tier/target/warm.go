package target

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
)

const (
	// warmInterval is the interval at which the idle connections are checked. Targets close idle connections after 10 s.
	warmInterval = time.Second
	// warmMargin is the remaining idle time below which an idle connection is replaced.
	warmMargin = 1500 * time.Millisecond
	// maxWarmDials is the maximum number of connections that are opened concurrently in advance, so that a new instance does not
	// occupy slots of all targets at once.
	maxWarmDials = 16
	// maxWarmFailureRate is the failure rate above which no connection to a target is opened in advance.
	maxWarmFailureRate = 0.3
)

// KeepWarm keeps an idle connection open to each target of the services for which want returns true, until ctx is done. Without it,
// a hedge to a replica in another region would spend most of its time on opening a connection.
func (p *Pool) KeepWarm(ctx context.Context, want func(service string) bool) error {
	ticks := p.timers.Subscribe(warmInterval)
	defer ticks.Stop()
	semaphore := make(chan struct{}, maxWarmDials)
	for {
		for _, l := range p.warmLinks(want) {
			if p.Reachability() != reachability.Reachable {
				break
			}
			if !l.reserveWarmConnection() {
				continue
			}
			select {
			case semaphore <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-semaphore }()
				l.openWarmConnection(p.timers.Now().Add(p.dialTimeout))
			}()
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// warmLinks returns the links to the targets that accept requests and whose service is selected by want.
func (p *Pool) warmLinks(want func(service string) bool) []*Link {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var links []*Link
	for _, l := range p.links {
		if l.usable() && want(l.service) {
			links = append(links, l)
		}
	}

	return links
}

// reserveWarmConnection closes the idle connections that are broken or about to expire. If no idle connection is left and the
// connection limit permits a new one, it counts that connection in l.open and returns true.
func (l *Link) reserveWarmConnection() bool {
	now := l.pool.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, c := range l.idle {
		if now.Sub(c.lastUsed) < c.idleTimeout-warmMargin && c.healthy() {
			kept = append(kept, c)

			continue
		}
		l.open--
		c.close()
	}
	l.idle = kept
	if len(l.idle) > 0 || l.closed || l.open >= max(l.pool.connections(l.service), 1) ||
		l.failureRateNow(now) > maxWarmFailureRate {
		return false
	}
	l.open++

	return true
}

// openWarmConnection opens a connection that reserveWarmConnection has counted in l.open, and releases it for requests.
func (l *Link) openWarmConnection(deadline time.Time) {
	if c, err := l.dial(&Cancel{}, deadline); err == nil {
		l.release(c)
	}
}
