package fleet_test

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// receiveEntry passes a reply of the store to the instance once it is not frozen, or returns an error if it was killed.
func (n *simulatedInstance) receiveEntry(entry platform.Entry, err error) (platform.Entry, error) {
	if len(entry.Value) > 0 {
		n.reportStep("watch", entry.Value)
	}
	if n.waitWhileFrozen() != nil {
		return platform.Entry{}, errNoReply
	}
	entry.Value = n.fleet.rewrite(n, entry.Value)

	return entry, err
}

// merge is called when the instance adopts a record.
func (n *simulatedInstance) merge(base, _ json.RawMessage) (contract.Configuration, error) {
	n.reportStep("adoption", base)

	return contract.Configuration{}, n.waitWhileFrozen()
}

func (n *simulatedInstance) onAdopted(a configuration.Active) {
	n.mu.Lock()
	n.appliedRecords = append(n.appliedRecords, a.Applied)
	n.mu.Unlock()
	n.spread.Adopted(a)
}

// beforeRequest is called before the instance reads a configuration from the store or from a peer. An instance that has no
// configuration yet is starting.
func (n *simulatedInstance) beforeRequest() {
	if !n.keeper.Ready() {
		n.reportStep("start of an instance", nil)
	}
	_ = n.waitWhileFrozen()
}

// reportStep calls the hook for a step if raw is nil or has the second configuration, which the test applies.
func (n *simulatedInstance) reportStep(step string, raw []byte) {
	n.fleet.mu.Lock()
	hook := n.fleet.onStep
	n.fleet.mu.Unlock()
	if hook != nil && (raw == nil || baseOf(raw) == `"two"`) {
		hook(step, n)
	}
}

// baseOf returns the base configuration of an encoded record, or raw itself if it is not a record.
func baseOf(raw []byte) string {
	if record, err := configuration.Decode(raw); err == nil {
		return string(record.Base)
	}

	return string(raw)
}

// waitWhileFrozen waits until the instance is not frozen. It returns an error if the instance was killed.
func (n *simulatedInstance) waitWhileFrozen() error {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-n.ctx.Done():
		}
	}

	return n.ctx.Err()
}

func (n *simulatedInstance) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.killed {
		n.killed = true
		n.cancel()
		if n.resumed == nil {
			close(n.halted)
		}
	}
}

func (n *simulatedInstance) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.killed && n.resumed == nil {
		n.resumed = make(chan struct{})
		close(n.halted)
	}
}

// resume ends the freeze of an instance. Its clock advances at once by the time that it was frozen.
func (n *simulatedInstance) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed || n.resumed == nil {
		return
	}
	n.clock.Advance(n.frozenTime)
	close(n.resumed)
	n.resumed, n.halted, n.frozenTime = nil, make(chan struct{}), 0
}

// state returns whether the instance is alive, whether it is running, and a channel that is closed when it is frozen or killed.
func (n *simulatedInstance) state() (alive, running bool, halted <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return !n.killed, !n.killed && n.resumed == nil, n.halted
}

// reachable reports whether the instance is running and not cut off from its peers.
func (n *simulatedInstance) reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return !n.killed && n.resumed == nil && !n.isolated
}

// call passes one call to the instance at an address. It fails if the instances are not connected, or if the callee is frozen or
// killed before it replies.
func call[T any](
	ctx context.Context, n *simulatedInstance, to netip.AddrPort, handle func(*simulatedInstance) (T, error),
) (none T, err error) {
	if n.waitWhileFrozen() != nil {
		return none, errNoReply
	}
	f := n.fleet
	var other *simulatedInstance
	for _, o := range f.instances() {
		if alive, _, _ := o.state(); alive && o.self.Peer == to {
			other = o
		}
	}
	if other == nil || !f.connected(n, other) {
		return none, errNoReply
	}
	type result struct {
		value T
		err   error
	}
	_, _, halted := other.state()
	done := make(chan result, 1)
	f.callsInProgress.Add(1)
	f.running.Go(func() {
		value, err := handle(other)
		done <- result{value, err}
	})
	defer f.callsInProgress.Add(-1)
	select {
	case r := <-done:
		if n.waitWhileFrozen() != nil || !f.connected(other, n) {
			return none, errNoReply
		}

		return r.value, r.err
	case <-halted:
	case <-ctx.Done():
	}

	return none, errNoReply
}
