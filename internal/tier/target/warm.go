package target

import (
	"context"
	"time"
)

const (
	// warmPeriod is the time between two looks at the connections. Targets close idle ones after 10 s.
	warmPeriod = time.Second
	// warmMargin is the rest of its idle time at which a connection is replaced.
	warmMargin = 1500 * time.Millisecond
	// maxWarming bounds the connections that are opened at a time, so that a new instance does not hold slots of all targets.
	maxWarming = 16
	// warmFailures is the fraction of failed requests from which no connection is opened in advance.
	warmFailures = 0.3
)

// Warm keeps an idle connection to each target of the services for which want returns true, until ctx ends. A hedge to a replica
// in another region would otherwise spend most of its time on opening a connection.
func (f *Fleet) Warm(ctx context.Context, want func(service string) bool) error {
	ticks := f.timers.Subscribe(warmPeriod)
	defer ticks.Stop()
	slots := make(chan struct{}, maxWarming)
	for {
		for _, l := range f.wanted(want) {
			if !l.needsConnection() {
				continue
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-slots }()
				l.openIdle(f.timers.Now().Add(f.dialTimeout))
			}()
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Fleet) wanted(want func(service string) bool) []*Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var links []*Link
	for _, l := range f.links {
		if l.usable() && want(l.service) {
			links = append(links, l)
		}
	}

	return links
}

// needsConnection closes the connections that were idle for too long, and reserves the place of a new one if none is left.
func (l *Link) needsConnection() bool {
	now := l.fleet.timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, c := range l.idle {
		if now.Sub(c.usedAt) < c.limit-warmMargin && c.sound() {
			kept = append(kept, c)

			continue
		}
		l.open--
		c.close()
	}
	l.idle = kept
	if len(l.idle) > 0 || l.retired || l.open >= max(l.fleet.connections(l.service), 1) || l.failures(now) > warmFailures {
		return false
	}
	l.open++

	return true
}

// openIdle opens a connection whose place is reserved.
func (l *Link) openIdle(deadline time.Time) {
	if c, err := l.dial(&Cancel{}, deadline); err == nil {
		l.put(c)
	}
}
