// Package dispatch runs an attempt at the owner of its target, which is this instance or a peer that the attempt is relayed to.
//
// A Dispatcher hides from its users where an attempt runs. It sends an attempt to a second instance only if the attempt is known
// not to have run at the first:
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
	// maxRelays limits the instances that an attempt is relayed to. Each relay may require the time to open a connection.
	maxRelays = 2
	// hopTime is subtracted from the remaining time of an attempt that is relayed.
	hopTime = 2 * time.Millisecond
)

// Functions are the functions that a Dispatcher calls. All are required.
type Functions struct {
	// Live returns the instances in use, including this one. It must return a different slice after a change.
	Live func() []instance.Instance
	// Local runs an attempt in this instance, within this instance's slots and queue for the target.
	Local func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
	// Relay runs an attempt at a peer.
	Relay func(ctx context.Context, to netip.AddrPort, a attempt.Attempt) (target.Reply, error)
	// Direct sends an attempt to its target and bypasses the owner. The attempt's Slots and Connections are 1.
	Direct func(ctx context.Context, a attempt.Attempt) (target.Reply, error)
}

// Counts counts attempts by the place where they ran, and the peers that were skipped.
type Counts struct {
	Local   uint64 // by this instance as the owner
	Relayed uint64 // by a peer, including attempts that may have run there
	Handled uint64 // by this instance, relayed by a peer
	Direct  uint64 // by the target without the owner
	Avoided uint64 // peers skipped because relays did not reach them
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
		avoidance: avoidance{timers: timers, peers: make(map[netip.AddrPort]*peerState)},
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

// Do runs a at the first instance in the order of owners that can be reached, or directly if there is none. An error is a
// *target.Failure or the error of Local or Direct. An attempt that may have run is never sent again: it is sent to the next
// instance only if no byte of it was sent to the peer or a peer that is leaving refused it.
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
		relayResult := resultOf(err)
		d.avoidance.end(owner.Peer, probe, relayResult)
		if err == nil {
			return reply, nil
		}
		failure := failureOf(err)
		isLeaving := failure.Outcome == target.NotRun && failure.Code == target.OwnerLeaving
		if relayResult != unreached && !isLeaving {
			return target.Reply{}, failure
		}
		d.relayed.Add(^uint64(0))
	}
	a.Slots, a.Connections = 1, 1

	return d.run(ctx, a, began, 0, &d.direct, d.functions.Direct)
}

// resultOf returns the result of a relay that ended with err. A refusal by the peer itself, for example because the peer cannot
// reach the target, means that the peer was reached.
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

// HandleRelay runs an attempt that a peer relayed. It never relays the attempt again, because two instances with different views of
// ownership could otherwise relay it to each other in a loop.
func (d *Dispatcher) HandleRelay(ctx context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
	d.handled.Add(1)

	return d.functions.Local(ctx, a)
}

// run calls f with a, after it has reduced the timeout of a to the remaining time minus hop and incremented count.
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

// failureOf returns the *target.Failure that err wraps. Any other error becomes a failure with the outcome Unknown, because the
// attempt may have run.
func failureOf(err error) *target.Failure {
	var failure *target.Failure
	if errors.As(err, &failure) {
		return failure
	}

	return &target.Failure{Outcome: target.Unknown, Code: target.Broken, Message: fmt.Sprintf("relay: %v", err)}
}
