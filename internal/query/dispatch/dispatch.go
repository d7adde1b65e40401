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
	Avoided uint64 // peers passed over because relays did not reach them
}

// Dispatcher runs attempts. It is safe for concurrent use.
type Dispatcher struct {
	self      string
	owners    ownership.Cache
	timers    *timer.Service
	functions Functions

	local, relayed, handled, direct, avoided atomic.Uint64

	avoidance avoidance
}

// New returns a Dispatcher of the instance with the name self.
func New(self string, timers *timer.Service, functions Functions) *Dispatcher {
	return &Dispatcher{
		self: self, timers: timers, functions: functions,
		avoidance: avoidance{timers: timers, peers: make(map[netip.AddrPort]*avoided)},
	}
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
// a *target.Failure or what Local or Direct returned. An attempt that may have run is never sent again: only one of which no
// byte was handed to a peer, or that a leaving peer refused, goes on to the next instance.
func (d *Dispatcher) Do(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	began := d.timers.Now()
	relays := 0
	for _, owner := range d.owners.Owners(a.Replica, d.functions.Live()) {
		if owner.Name == d.self {
			return d.run(ctx, a, began, 0, &d.local, d.functions.Local)
		}
		if relays == maxRelays {
			break
		}
		admitted, probe := d.avoidance.admit(owner.Peer)
		if !admitted {
			d.avoided.Add(1)

			continue
		}
		relays++
		reply, err := d.run(ctx, a, began, hopTime, &d.relayed, func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
			return d.functions.Relay(ctx, owner.Peer, a)
		})
		shown := resultOf(err)
		d.avoidance.end(owner.Peer, probe, shown)
		if err == nil {
			return reply, nil
		}
		failure := failureOf(err)
		isLeaving := failure.Outcome == target.NotRun && failure.Code == target.OwnerLeaving
		if shown != unreached && !isLeaving {
			return target.Reply{}, failure
		}
		d.relayed.Add(^uint64(0))
	}
	a.Slots, a.Connections = 1, 1

	return d.run(ctx, a, began, 0, &d.direct, d.functions.Direct)
}

// resultOf returns what a relay that ended with err showed of the peer. A refusal that came from the peer itself, as that of
// a target which it cannot reach, shows that it was reached.
func resultOf(err error) result {
	var (
		withoutConnection *peer.Unreached
		withoutByte       *peer.Silent
		failure           *target.Failure
	)
	switch {
	case err == nil:
		return reached
	case errors.As(err, &withoutConnection):
		if withoutConnection.Outcome == target.NotRun && withoutConnection.Code == target.Unreachable {
			return unreached
		}

		return unclear
	case errors.As(err, &withoutByte):
		return silent
	case errors.As(err, &failure) && failure.Outcome == target.NotRun && failure.Code != target.Cancelled && failure.Code != target.TooLate:
		return reached
	default:
		return unclear
	}
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
