package target

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

const (
	// leavingRetention is the time for which a process that has said that it leaves is remembered, also while its entry is missing.
	leavingRetention = 10 * time.Minute
	// maxLeaving is the maximum number of such processes that are remembered.
	maxLeaving = 1 << 13
)

// processKey identifies the process of a target. A process that starts later under the same ID, or at the same address, is another one.
type processKey struct {
	id      string
	address netip.AddrPort
	started int64
}

func keyOf(t *directory.Target) processKey {
	key := processKey{id: t.ID, address: t.Address}
	if !t.Started.IsZero() {
		key.started = t.Started.UnixNano()
	}

	return key
}

// leavingProcess is a process that has said that it leaves.
type leavingProcess struct {
	target *directory.Target
	until  time.Time
}

// recordLeaving records a response that says that the target's process leaves. No entry of the process, whenever it was written, makes it
// accept requests again.
func (l *Link) recordLeaving(result *Result) {
	if !result.Reply.Leaving || result.Status == 0 || result.Status == http.StatusMisdirectedRequest {
		return
	}
	l.mu.Lock()
	first, target := !l.leaving, l.target
	l.leaving = true
	l.mu.Unlock()
	if !first {
		return
	}
	p := l.pool
	now := p.timers.Now()
	p.leavingMu.Lock()
	for key, known := range p.leaving {
		if now.After(known.until) {
			delete(p.leaving, key)
		}
	}
	if len(p.leaving) < maxLeaving {
		p.leaving[keyOf(target)] = leavingProcess{target: target, until: now.Add(leavingRetention)}
	}
	p.leavingMu.Unlock()
	p.log.Log(event.TargetLeaving, "Target", l.id, "Service", l.service, "Draining", target.Draining)
	p.metrics.TargetSignal(context.Background(), "Leaving")
	p.onLeaving()
}

// isLeaving reports whether the process of a target has said that it leaves.
func (p *Pool) isLeaving(t *directory.Target) bool {
	p.leavingMu.Lock()
	defer p.leavingMu.Unlock()
	known, ok := p.leaving[keyOf(t)]

	return ok && p.timers.Now().Before(known.until)
}

// LeavingReports returns the targets that leave by their own word and that the directory lists as ready.
func (p *Pool) LeavingReports() (targets []*directory.Target) {
	d := p.Directory()
	p.leavingMu.Lock()
	defer p.leavingMu.Unlock()
	for key, known := range p.leaving {
		if t, ok := d.Target(key.id); ok && !t.Draining && keyOf(t) == key {
			targets = append(targets, known.target)
		}
	}

	return targets
}
