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

// Limit is a method by which instances share a target's slots.
type Limit string

// The methods to share slots. Package slots describes them as its variants.
const (
	// LimitOwner lets only one instance, the owner, send requests to a target. The other instances relay theirs to it.
	LimitOwner Limit = "owner"
	// LimitSplit gives each live instance an equal share of the slots.
	LimitSplit Limit = "split"
	// LimitAdaptive lets each instance find its share: it increases its limit on success and halves it when the target sheds load.
	LimitAdaptive Limit = "adaptive"
)

// Check returns an error if l is not one of the constants above.
func (l Limit) Check() error {
	switch l {
	case LimitOwner, LimitSplit, LimitAdaptive:
		return nil
	default:
		return fmt.Errorf("%q is not one of owner, split and adaptive", string(l))
	}
}

// Hedging is a policy for hedging late target requests.
type Hedging string

// The hedging policies. HedgingAdaptive is that of package hedge; the others exist to compare it with them.
const (
	// HedgingOff sends no hedges.
	HedgingOff Hedging = "off"
	// HedgingFixed sends at most one hedge for a shard, after Settings.HedgeDelay.
	HedgingFixed Hedging = "fixed"
	// HedgingAdaptive derives the delay of hedges from the response times of the service.
	HedgingAdaptive Hedging = "adaptive"
)

// Check returns an error if h is not one of the constants above.
func (h Hedging) Check() error {
	switch h {
	case HedgingOff, HedgingFixed, HedgingAdaptive:
		return nil
	default:
		return fmt.Errorf("%q is not one of off, fixed and adaptive", string(h))
	}
}

// DefaultMemory is the memory for which the limits for clients are derived if the settings name none.
const DefaultMemory = 512 << 20

// Settings are the settings of an instance, which come from flags and environment variables.
type Settings struct {
	Name             string
	AvailabilityZone zone.Zone
	// Caller, Peer and Operator are the addresses to listen on for callers, peers and operators. With port 0 the system chooses
	// the port.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// Store is the platform's store, and Targets lists the targets that are registered with the platform.
	Store   control.KeyValueStore
	Targets control.TargetSource
	// Seeds are peers through which to join the fleet, in addition to those registered in the store.
	Seeds []netip.AddrPort
	// Limit is the method by which instances share a target's slots.
	Limit Limit
	// Hedging is the hedging policy; empty means HedgingAdaptive. With HedgingFixed, a target request is hedged after HedgeDelay,
	// no matter how many of the other shards have answered.
	Hedging    Hedging
	HedgeDelay time.Duration
	// FreeHedges exempts hedges from the retry budget.
	FreeHedges bool
	// AwaitAll makes QuickMatch requests wait for all shards until the deadline.
	AwaitAll bool
	// Memory is the memory of the machine in bytes, from which the limits for clients are derived; 0 means DefaultMemory.
	Memory int64
	// Running is the maximum number of callers' requests that run concurrently.
	Running int
	// ReturnPath is the time that an answer takes to reach the caller.
	ReturnPath time.Duration
	// StopDelay is the time for which a stopping instance still accepts requests while it reports that it is not ready, so that
	// the load balancer can react.
	StopDelay time.Duration
	// StopTimeout is the maximum time to wait for requests in flight during a stop.
	StopTimeout time.Duration
	// Profiling enables profiling at the address for operators.
	Profiling bool

	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Addresses are the addresses on which an instance listens.
type Addresses struct {
	Caller, Peer, Operator netip.AddrPort
}

// listeners are the open listeners of an instance.
type listeners struct {
	caller, peer, operator net.Listener
}

// listen opens the listeners and replaces the addresses in settings by the actual ones, whose ports the system may have chosen.
// If one of them fails, it closes the others.
func listen(settings *Settings) (l listeners, err error) {
	var config net.ListenConfig
	listenOn := func(field string, address *netip.AddrPort) net.Listener {
		listener, listenErr := config.Listen(context.Background(), "tcp", address.String())
		if listenErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", field, listenErr))

			return nil
		}
		*address = tcpAddress(listener)

		return listener
	}
	l.caller = listenOn("Caller", &settings.Caller)
	l.peer = listenOn("Peer", &settings.Peer)
	l.operator = listenOn("Operator", &settings.Operator)
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
	return Addresses{Caller: tcpAddress(l.caller), Peer: tcpAddress(l.peer), Operator: tcpAddress(l.operator)}
}

func tcpAddress(l net.Listener) netip.AddrPort {
	// The address of a listener for network "tcp" is always a *net.TCPAddr.
	address, _ := l.Addr().(*net.TCPAddr)

	return address.AddrPort()
}
