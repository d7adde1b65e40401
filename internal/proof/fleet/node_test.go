package fleet_test

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// received takes a reply of the store, unless the process died while it waited.
func (n *node) received(entry platform.Entry, err error) (platform.Entry, error) {
	if len(entry.Value) > 0 {
		n.at("watch", entry.Value)
	}
	if n.wait() != nil {
		return platform.Entry{}, errLost
	}
	entry.Value = n.fleet.rewrite(n, entry.Value)

	return entry, err
}

// merge is the step in which a record is taken into force.
func (n *node) merge(base, _ json.RawMessage) (contract.Configuration, error) {
	n.at("taking into force", base)

	return contract.Configuration{}, n.wait()
}

func (n *node) adopted(a configuration.Active) {
	n.mu.Lock()
	n.inForce = append(n.inForce, a.Applied)
	n.mu.Unlock()
	n.spread.Adopted(a)
}

// starts is called before each question of an instance; those without a configuration are starting.
func (n *node) starts() {
	if !n.keeper.Ready() {
		n.at("start of an instance", nil)
	}
	_ = n.wait()
}

// at tells the hook of a step, if it concerns the change under proof.
func (n *node) at(step string, raw []byte) {
	n.fleet.mu.Lock()
	hook := n.fleet.hook
	n.fleet.mu.Unlock()
	if hook != nil && (raw == nil || baseOf(raw) == `"two"`) {
		hook(step, n)
	}
}

func baseOf(raw []byte) string {
	if record, err := configuration.Decode(raw); err == nil {
		return string(record.Base)
	}

	return string(raw)
}

// wait returns when the process runs, with an error if it died.
func (n *node) wait() error {
	n.mu.Lock()
	thaw := n.thaw
	n.mu.Unlock()
	if thaw != nil {
		select {
		case <-thaw:
		case <-n.ctx.Done():
		}
	}

	return n.ctx.Err()
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.dead {
		n.dead = true
		n.cancel()
		if n.thaw == nil {
			close(n.froze)
		}
	}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.dead && n.thaw == nil {
		n.thaw = make(chan struct{})
		close(n.froze)
	}
}

// resume lets a frozen process go on and shows it the time that it missed as one gap.
func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead || n.thaw == nil {
		return
	}
	n.clock.Advance(n.missed)
	close(n.thaw)
	n.thaw, n.froze, n.missed = nil, make(chan struct{}), 0
}

// state returns whether the process lives, whether it runs, and a channel that is closed when it stops to run.
func (n *node) state() (alive, runs bool, froze <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return !n.dead, !n.dead && n.thaw == nil, n.froze
}

func (n *node) reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return !n.dead && n.thaw == nil && !n.cut
}

// call carries one call to the process at an address. The caller gives up when the process stops to run.
func call[T any](ctx context.Context, n *node, to netip.AddrPort, do func(*node) (T, error)) (none T, err error) {
	if n.wait() != nil {
		return none, errLost
	}
	f := n.fleet
	var other *node
	for _, o := range f.all() {
		if alive, _, _ := o.state(); alive && o.self.Peer == to {
			other = o
		}
	}
	if other == nil || !f.reach(n, other) {
		return none, errLost
	}
	type result struct {
		value T
		err   error
	}
	_, _, froze := other.state()
	done := make(chan result, 1)
	f.busy.Add(1)
	f.running.Go(func() {
		value, err := do(other)
		done <- result{value, err}
	})
	defer f.busy.Add(-1)
	select {
	case r := <-done:
		if n.wait() != nil || !f.reach(other, n) {
			return none, errLost
		}

		return r.value, r.err
	case <-froze:
	case <-ctx.Done():
	}

	return none, errLost
}
