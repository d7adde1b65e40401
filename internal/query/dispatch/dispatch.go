// Package dispatch runs an attempt at the owner of its target: in this instance, or relayed to a peer.
//
// Callers of a Dispatcher do not notice where an attempt runs. An attempt goes to a second instance only while it is certain
// that it did not run at the first:
//
//	dispatcher := dispatch.New("i1", timers, dispatch.Functions{Live: members.Live, Local: pool.Run, Relay: client.Relay, Direct: client.Query})
//	reply, err := dispatcher.Do(ctx, a)
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/ownership"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
)

const (
	// maxRelays bounds the instances that an attempt is relayed to. Each may cost the time to open a connection.
	maxRelays = 2
	// hopTime is what a relay takes off the time that remains.
	hopTime = 2 * time.Millisecond
	// avoidTime is the time for which a peer that was not reached is passed over. Without it, each attempt would wait for
	// a paused owner until the members fail it after about 5 s.
	avoidTime = time.Second
	// maxAvoided bounds the peers that are remembered as not reached.
	maxAvoided = peer.MaxMembers
)

// Functions are what a Dispatcher works with. All are required.
type Functions struct {
	// Live returns the instances in use, with this one. It returns another slice when they change.
	Live func() []instance.Instance
	// Local runs an attempt in this instance, with its slots and queue for the target.
	Local func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
	// Relay runs an attempt at a peer.
	Relay func(ctx context.Context, to netip.AddrPort, a attempt.Attempt) (target.Reply, error)
	// Direct sends an attempt to its target past the owner. The attempt's Slots and Connections are 1.
	Direct func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
}

// Counts says where attempts ran.
type Counts struct {
	Local   uint64 // at this instance as the owner
	Relayed uint64 // at a peer, or may have run there
	Handled uint64 // here, for a peer
	Direct  uint64 // past the owner
	Avoided uint64 // peers passed over because they were not reached shortly before
}

// Dispatcher runs attempts. It is safe for concurrent use.
type Dispatcher struct {
	self      string
	owners    ownership.Cache
	timers    *timer.Service
	functions Functions

	local, relayed, handled, direct, avoided atomic.Uint64

	mu    sync.Mutex
	avoid map[netip.AddrPort]time.Time
}

// New returns a Dispatcher of the instance with the name self.
func New(self string, timers *timer.Service, functions Functions) *Dispatcher {
	return &Dispatcher{self: self, timers: timers, functions: functions, avoid: make(map[netip.AddrPort]time.Time)}
}

// Counts returns the counts since the start.
func (d *Dispatcher) Counts() Counts {
	return Counts{
		Local:   d.local.Load(),
		Relayed: d.relayed.Load(),
		Handled: d.handled.Load(),
		Direct:  d.direct.Load(),
		Avoided: d.avoided.Load(),
	}
}

// Do runs a at the first instance in the order of owners that can be reached, and directly when there is none. An error is
// a *target.Failure or what Local or Direct returned. An attempt that may have run is never sent again.
func (d *Dispatcher) Do(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	began := d.timers.Now()
	relays := 0
	for _, owner := range d.owners.Owners(a.Replica, d.functions.Live()) {
		if owner.Name == d.self {
			return d.run(ctx, a, began, 0, &d.local, d.functions.Local)
		}
		if d.avoids(owner.Peer) {
			d.avoided.Add(1)

			continue
		}
		if relays == maxRelays {
			break
		}
		relays++
		reply, err := d.run(ctx, a, began, hopTime, &d.relayed, func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
			return d.functions.Relay(ctx, owner.Peer, a)
		})
		if err == nil {
			return reply, nil
		}
		failure := failureOf(err)
		if failure.Outcome != target.NotRun || !d.isPassedOn(owner.Peer, err, failure) {
			return target.Reply{}, failure
		}
		d.relayed.Add(^uint64(0))
	}
	a.Slots, a.Connections = 1, 1

	return d.run(ctx, a, began, 0, &d.direct, d.functions.Direct)
}

// isPassedOn reports whether the next instance in order may run what this peer did not: the peer was not reached, or it leaves.
// A target that the owner cannot reach is left to the choice of another replica.
func (d *Dispatcher) isPassedOn(address netip.AddrPort, err error, failure *target.Failure) bool {
	var unreached *peer.Unreached
	if errors.As(err, &unreached) && failure.Code == target.Unreachable {
		d.remember(address)

		return true
	}

	return failure.Code == target.OwnerLeaving
}

// HandleRelay runs an attempt of a peer. It never relays: two instances with different views of ownership would otherwise
// pass an attempt to and fro.
func (d *Dispatcher) HandleRelay(ctx context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
	d.handled.Add(1)

	return d.functions.Local(ctx, a)
}

// run passes a on with the time that remains of it.
func (d *Dispatcher) run(
	ctx context.Context,
	a attempt.Attempt,
	began time.Time,
	hop time.Duration,
	count *atomic.Uint64,
	f func(ctx context.Context, a attempt.Attempt) (target.Reply, error),
) (target.Reply, error) {
	remaining := a.Query.Timeout.Std() - d.timers.Since(began) - hop
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return target.Reply{}, &target.Failure{Outcome: target.NotRun, Code: target.Cancelled, Message: "cancelled before it was sent"}
	case ctx.Err() != nil || remaining <= 0:
		return target.Reply{}, &target.Failure{Outcome: target.NotRun, Code: target.TooLate, Message: "no time remains to send it"}
	}
	a.Query.Timeout = duration.Duration(remaining)
	count.Add(1)

	return f(ctx, a)
}

// failureOf returns the failure that err stands for. An error that is none is Unknown, the safe assumption.
func failureOf(err error) *target.Failure {
	var failure *target.Failure
	if errors.As(err, &failure) {
		return failure
	}

	return &target.Failure{Outcome: target.Unknown, Code: target.Broken, Message: fmt.Sprintf("relay: %v", err)}
}

func (d *Dispatcher) avoids(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.avoid[address]
	if ok && !d.timers.Now().Before(until) {
		delete(d.avoid, address)

		return false
	}

	return ok
}

func (d *Dispatcher) remember(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.avoid) >= maxAvoided {
		clear(d.avoid)
	}
	d.avoid[address] = d.timers.Now().Add(avoidTime)
}
