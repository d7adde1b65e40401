// Package platform is a stand-in for the platform's key-value store and its list, for tests, demos and benchmarks.
//
// It speaks the protocol of package wire/platform over HTTP and keeps everything in memory. Versions come from one
// counter, so a version is never used twice, not even after a key was deleted. Faults are injected at run time:
//
//	GET/PUT /fault   the faults in force, one Fault or a list of them
//	GET     /calls   the calls that were counted
//	POST    /list    changes to the list, visible after its lag
//
//	p := platform.New(platform.WithTimers(timers))
//	go p.Serve(ctx, listener)
//	p.SetFaults(platform.Fault{LoseReply: 1})
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// Error is the class of the errors of this package.
var Error = errs.Class("platform stand-in")

// Paths of the HTTP interface for operators and tests. They are not subject to faults and are not counted.
const (
	FaultPath = "/fault"
	CallsPath = "/calls"
)

// Defaults and bounds.
const (
	defaultWatchWait = 30 * time.Second
	defaultListLag   = 5 * time.Second
	// maxKeys and maxLeases keep the memory of the stand-in bounded: claims of 450 instances at 50 a second would
	// exceed them, which a benchmark then sees as refusals.
	maxKeys   = 1 << 17
	maxLeases = 1 << 14
	minTTL    = time.Second
	maxTTL    = time.Hour
)

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	timers    *timer.Service
	watchWait time.Duration

	store  *store
	list   *list
	faults *faults

	mu    sync.Mutex
	calls Calls
}

// Option configures a Platform.
type Option func(*Platform)

// WithTimers makes the stand-in follow timers instead of the system clock.
func WithTimers(timers *timer.Service) Option {
	return func(p *Platform) { p.timers = timers }
}

// WithWatchWait sets how long a watch waits for a change.
func WithWatchWait(d time.Duration) Option {
	return func(p *Platform) { p.watchWait = d }
}

// WithListLag sets how long a change of the list takes to become visible.
func WithListLag(d time.Duration) Option {
	return func(p *Platform) { p.list.lag = d }
}

// New returns an empty stand-in.
func New(options ...Option) *Platform {
	p := &Platform{
		timers:    timer.New(),
		watchWait: defaultWatchWait,
		store:     newStore(),
		list:      newList(defaultListLag),
		faults:    newFaults(),
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Serve answers calls on listener until ctx ends. Calls that wait at that time are cut off.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = Error.Wrap(err) }()

	server := &http.Server{
		Handler:           p.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}

	return nil
}

// Start serves on a loopback port that the system chooses. The returned function stops serving and waits for the end.
func (p *Platform) Start() (address netip.AddrPort, stop func() error, err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := context.WithCancel(context.Background())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()

		return netip.AddrPort{}, nil, err
	}
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, listener) }()

	return netip.MustParseAddrPort(listener.Addr().String()), func() error {
		cancel()

		return <-served
	}, nil
}

// Calls counts the calls that reached the stand-in. A watch is one call, however long it waits.
type Calls struct {
	Total          uint64
	Read           uint64
	CompareAndSwap uint64
	Delete         uint64
	Watch          uint64
	GrantLease     uint64
	RenewLease     uint64
	RevokeLease    uint64
	List           uint64
	// Refused counts the calls refused by the Overload fault; they are in the other counts too.
	Refused uint64
	// LateWrites counts the writes that the DelayWrite fault has let take effect or fail by now.
	LateWrites uint64
	// Waiting is the number of watches that wait at this moment.
	Waiting int
}

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.calls
}

func (p *Platform) count(change func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()

	change(&p.calls)
}
