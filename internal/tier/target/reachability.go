package target

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// overdueFactor is the multiple of a target's average response time after which its response is overdue.
	overdueFactor = 3
	// minFailedDial is the shortest time after which a connection that was not accepted counts as a failure, if the request had no more time.
	minFailedDial = 100 * time.Millisecond
	// vouchingProbes is the number of other targets that are probed before a target counts as ended.
	vouchingProbes = 3
)

// reach is what the pool knows of the path that all targets share.
type reach struct {
	mu      sync.Mutex
	monitor reachability.Monitor
	// state is a copy of the monitor's, for readers that do not lock.
	state atomic.Int32
	// unreachable is closed while no target can be reached on any connection.
	unreachable chan struct{}
	// wake makes WatchReachability ask for probes, which round varies.
	wake  chan struct{}
	round int
	// inFlight is the number of requests under way, and watching is set while a timer waits to check whether they are overdue.
	inFlight atomic.Int64
	watching atomic.Bool
}

func newReach() *reach {
	return &reach{unreachable: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// OnReachability sets the function that is called when the value of Reachability has changed.
func OnReachability(changed func(reachability.State)) Option {
	return func(p *Pool) { p.onReachability = changed }
}

// Reachability returns whether this instance has connectivity to the targets.
func (p *Pool) Reachability() reachability.State { return reachability.State(p.reach.state.Load()) }

// Unreachable returns a channel that is closed once no target answers on any connection.
func (p *Pool) Unreachable() <-chan struct{} {
	p.reach.mu.Lock()
	defer p.reach.mu.Unlock()

	return p.reach.unreachable
}

// observe passes a sign of the targets to the monitor and acts on a change of the state.
func (p *Pool) observe(sign func(m *reachability.Monitor)) {
	r := p.reach
	r.mu.Lock()
	before := r.monitor.State()
	sign(&r.monitor)
	after := r.monitor.State()
	if before == after {
		r.mu.Unlock()

		return
	}
	failures, heard := r.monitor.Failures(), r.monitor.HeardAt()
	r.state.Store(int32(after))
	switch {
	case after == reachability.Unreachable:
		close(r.unreachable)
	case before == reachability.Unreachable:
		r.unreachable = make(chan struct{})
	}
	r.mu.Unlock()
	if after == reachability.Reachable {
		p.forgetFailures()
		p.log.Log(event.TargetsReachable, "Before", before)
	} else {
		p.log.Log(event.TargetsUnreachable, "State", after, "Before", before, "Failures", failures, "SinceHeard", p.timers.Since(heard))
	}
	p.onReachability(after)
}

// forgetFailures forgets the failures of all targets, because they were those of the path.
func (p *Pool) forgetFailures() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.failureRate, l.endedAt = 0, time.Time{}
		l.mu.Unlock()
	}
}

// vouches reports whether another target than l has accepted a connection after a time, or does when it is probed. A connection that l refuses
// then says that its process has ended, and not that this instance has no connectivity to any target.
func (l *Link) vouches(since time.Time) bool {
	p := l.pool
	if p.Reachability() != reachability.Reachable {
		return false
	}
	targets, links := p.allTargets()
	own := slices.IndexFunc(links, func(other *Link) bool { return other == l })
	if own >= 0 {
		targets, links = slices.Delete(targets, own, own+1), slices.Delete(links, own, own+1)
	}
	if len(links) == 0 {
		return true
	}
	now := p.timers.Now()
	p.reach.mu.Lock()
	known := p.reach.monitor.OpenedAt().After(since)
	chosen := p.reach.monitor.Choose(targets, vouchingProbes, now)
	p.reach.mu.Unlock()
	if known {
		return true
	}

	return p.probe(links, chosen).Opened > 0
}

// heard records that a target has sent something on an open connection.
func (p *Pool) heard() {
	now := p.timers.Now()
	p.observe(func(m *reachability.Monitor) { m.Heard(now) })
}

// opened records that a target has accepted a connection.
func (p *Pool) opened() {
	now := p.timers.Now()
	p.observe(func(m *reachability.Monitor) { m.Opened(now) })
}

// failed records that a connection to the target has failed that was opened, or tried, at the time began.
func (l *Link) failed(cause reachability.Cause, began time.Time) {
	p, now := l.pool, l.pool.timers.Now()
	p.observe(func(m *reachability.Monitor) { m.Failed(l.id, cause, began, now) })
	p.reach.notify()
}

// notify makes WatchReachability ask for probes.
func (r *reach) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// recordDial records the result of opening a connection that was tried at the time began. One that was cancelled says nothing.
func (l *Link) recordDial(err error, began time.Time) {
	var timeout net.Error
	switch {
	case err == nil:
		l.pool.opened()
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		l.failed(reachability.Refused, began)
	case errors.As(err, &timeout) && timeout.Timeout() && l.pool.timers.Since(began) >= minFailedDial:
		l.failed(reachability.TimedOut, began)
	}
}

// heardSince reports whether any target was heard after a time.
func (p *Pool) heardSince(t time.Time) bool {
	p.reach.mu.Lock()
	defer p.reach.mu.Unlock()

	return p.reach.monitor.HeardAt().After(t)
}

// watchSilence checks after the time Silence whether requests are overdue, unless a check is due already.
func (p *Pool) watchSilence(after time.Duration) {
	if p.reach.watching.CompareAndSwap(false, true) {
		p.timers.AfterFunc(after, p.checkSilence)
	}
}

func (p *Pool) checkSilence() {
	r := p.reach
	r.watching.Store(false)
	if r.inFlight.Load() == 0 {
		return
	}
	r.mu.Lock()
	quiet := p.timers.Since(r.monitor.HeardAt())
	r.mu.Unlock()
	if quiet < reachability.Silence {
		p.watchSilence(reachability.Silence - quiet)

		return
	}
	if p.anyOverdue() {
		now := p.timers.Now()
		p.observe(func(m *reachability.Monitor) { m.Silent(now) })
		r.notify()
	}
	p.watchSilence(reachability.Silence)
}

// anyOverdue reports whether a target is overdue with its response.
func (p *Pool) anyOverdue() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.timers.Now()
	for _, l := range p.links {
		if l.overdue(now) {
			return true
		}
	}

	return false
}

func (l *Link) overdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inFlightSince) == 0 {
		return false
	}
	usual := choice.DefaultResponseTime
	for _, average := range l.latencies {
		usual = max(usual, average.Value())
	}

	return now.Sub(l.inFlightSince[0]) > max(reachability.Silence, overdueFactor*usual)
}

// WatchReachability probes targets, by opening connections to them, while it is in doubt whether this instance has connectivity to them, or while it
// has none, until ctx is done.
func (p *Pool) WatchReachability(ctx context.Context) error {
	for {
		targets, links := p.probeTargets()
		now := p.timers.Now()
		p.reach.mu.Lock()
		n, wait := p.reach.monitor.Probes(now, len(targets))
		chosen := p.reach.monitor.Choose(targets, n, now)
		p.reach.mu.Unlock()
		if n > 0 {
			round := p.probe(links, chosen)
			now = p.timers.Now()
			p.observe(func(m *reachability.Monitor) { m.Probed(round, now) })

			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			due = p.timers.After(wait)
		}
		select {
		case <-due:
		case <-p.reach.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probeTargets returns the targets that can be probed, and their links, if probes may be due.
func (p *Pool) probeTargets() (targets []reachability.Target, links []*Link) {
	p.reach.mu.Lock()
	due := p.reach.monitor.Suspected()
	p.reach.round++
	p.reach.mu.Unlock()
	if !due {
		return nil, nil
	}

	return p.allTargets()
}

// allTargets returns the targets that accept requests, and their links.
func (p *Pool) allTargets() (targets []reachability.Target, links []*Link) {
	p.reach.mu.Lock()
	round := strconv.Itoa(p.reach.round)
	p.reach.mu.Unlock()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, l := range p.links {
		if !l.usable() {
			continue
		}
		f := fnv.New32a()
		_, _ = f.Write([]byte(l.id + p.name + round))
		l.mu.Lock()
		targets = append(targets, reachability.Target{
			ID: l.id, AvailabilityZone: l.target.AvailabilityZone, HeardAt: l.lastResponseAt, Order: f.Sum32(),
		})
		l.mu.Unlock()
		links = append(links, l)
	}

	return targets, links
}

// probe opens a connection to each of the chosen targets and returns the results.
func (p *Pool) probe(links []*Link, chosen []int) reachability.Round {
	round := reachability.Round{Began: p.timers.Now()}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, i := range chosen {
		pending.Go(func() {
			err := links[i].probe()
			var timeout net.Error
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				round.Opened++
			case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
				round.Refused++
			case errors.As(err, &timeout) && timeout.Timeout():
				round.TimedOut++
			}
		})
	}
	pending.Wait()

	return round
}

// probe opens a connection to the target, and keeps it if another one is allowed.
func (l *Link) probe() error {
	ctx, stop := context.WithTimeout(context.Background(), reachability.ProbeTimeout)
	defer stop()
	began := l.pool.timers.Now()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", l.address.String())
	l.recordDial(err, began)
	if err == nil {
		l.keepConn(netConn)
	}

	return err
}

// keepConn keeps a connection that was opened for a check as an idle one, if another one is allowed.
func (l *Link) keepConn(netConn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.open >= max(l.pool.connections(l.service), 1) {
		_ = netConn.Close()

		return
	}
	l.open++
	l.idle = append(l.idle, l.pool.newConn(netConn))
}
