package control

import (
	"context"
	"net/netip"
)

// ReportReachability tells the leader, by send if that is another instance, whether this instance has lost connectivity to the targets. It does
// nothing if there is no leader that passes it on.
func (f *Fleet) ReportReachability(
	ctx context.Context, unreachable bool, send func(ctx context.Context, leader netip.AddrPort, name string, unreachable bool) error,
) error {
	f.mu.Lock()
	mode, leader := f.mode, f.leader
	f.mu.Unlock()
	switch {
	case mode == leading:
		f.feed.SetUnreachable(f.self.Name, unreachable)

		return nil
	case leader.Name == f.self.Name, !leader.Peer.IsValid():
		return nil
	default:
		return send(ctx, leader.Peer, f.self.Name, unreachable)
	}
}

// SetUnreachable records whether an instance has lost connectivity to the targets, and passes it on. A new session of the instance ends that.
func (f *Feed) SetUnreachable(name string, unreachable bool) {
	f.mu.Lock()
	p := f.presences[name]
	changed := p != nil && p.instance.Unreachable != unreachable && f.acquired != 0
	if changed {
		p.instance.Unreachable = unreachable
		f.putInstance(p.instance)
		f.broadcast()
	}
	f.mu.Unlock()
	if changed {
		f.reportInstances()
	}
}
