package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Limit is a way in which instances share a target's slots.
type Limit string

// The ways to share slots; package slots describes them.
const (
	LimitOwner    Limit = "owner"
	LimitSplit    Limit = "split"
	LimitAdaptive Limit = "adaptive"
)

// Check returns an error if l is no known way.
func (l Limit) Check() error {
	switch l {
	case LimitOwner, LimitSplit, LimitAdaptive:
		return nil
	default:
		return fmt.Errorf("%q is not one of owner, split and adaptive", string(l))
	}
}

// Hedging is a way to hedge late target requests.
type Hedging string

// The ways to hedge. HedgingAdaptive is the policy of package hedge; the others are what it is measured against.
const (
	HedgingOff      Hedging = "off"
	HedgingFixed    Hedging = "fixed"
	HedgingAdaptive Hedging = "adaptive"
)

// Check returns an error if h is no known way.
func (h Hedging) Check() error {
	switch h {
	case HedgingOff, HedgingFixed, HedgingAdaptive:
		return nil
	default:
		return fmt.Errorf("%q is not one of off, fixed and adaptive", string(h))
	}
}

// Settings is what an instance learns from flags and environment variables.
type Settings struct {
	Name             string
	AvailabilityZone zone.Zone
	// Caller, Peer and Operator are the addresses to serve at.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// Store is the platform's store, and Targets lists the targets that are registered with the platform.
	Store   control.OwnStore
	Targets control.TargetSource
	// Seeds are peers to join through, beside those that are registered in the store.
	Seeds []netip.AddrPort
	// Limit is the way in which instances share a target's slots.
	Limit Limit
	// Hedging is the way to hedge late target requests; empty means HedgingAdaptive. HedgeDelay is the age at which
	// HedgingFixed sends a hedge, whatever the other shards do.
	Hedging    Hedging
	HedgeDelay time.Duration
	// FreeHedges lets hedges take no tokens from the budget.
	FreeHedges bool
	// AwaitAll lets QuickMatch requests wait for every shard until the deadline.
	AwaitAll bool
	// Running bounds the caller requests that run at a time.
	Running int
	// ReturnPath is the time that an answer needs to reach the caller.
	ReturnPath time.Duration
	// StopDelay is how long an instance that is no longer ready goes on taking requests, so that the balancer can notice.
	StopDelay time.Duration
	// StopTimeout bounds the wait for requests in flight at a stop.
	StopTimeout time.Duration
	// Profiling serves profiles to operators.
	Profiling bool

	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Addresses are the addresses at which an instance serves.
type Addresses struct {
	Caller, Peer, Operator netip.AddrPort
}

// listeners are the open listeners of an instance.
type listeners struct {
	caller, peer, operator net.Listener
}

// listen opens the listeners and writes the addresses that the system chose back to settings.
func listen(settings *Settings) (l listeners, err error) {
	var config net.ListenConfig
	open := func(field string, address *netip.AddrPort) net.Listener {
		listener, failure := config.Listen(context.Background(), "tcp", address.String())
		if failure != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", field, failure))

			return nil
		}
		*address = addressOf(listener)

		return listener
	}
	l.caller = open("Caller", &settings.Caller)
	l.peer = open("Peer", &settings.Peer)
	l.operator = open("Operator", &settings.Operator)
	if err != nil {
		l.close()

		return listeners{}, err
	}

	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (l listeners) addresses() Addresses {
	return Addresses{Caller: addressOf(l.caller), Peer: addressOf(l.peer), Operator: addressOf(l.operator)}
}

func addressOf(l net.Listener) netip.AddrPort {
	// A listener of the network "tcp" always has a TCP address.
	address, _ := l.Addr().(*net.TCPAddr)

	return address.AddrPort()
}
