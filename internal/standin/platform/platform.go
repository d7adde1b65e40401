// Package platform implements a stand-in for the users' platform. It serves the platform's metadata store over HTTP and injects
// faults, for tests, demonstrations, fault-injection soak tests and benchmarks.
//
// It implements the protocol of the store and keeps all data in memory. Faults are set at run time, by methods or over HTTP:
//
//	GET /fault   returns the active faults as a list of Fault
//	PUT /fault   replaces the active faults by one Fault or a list of Fault
//	GET /calls   returns the numbers of calls so far
//
//	p := platform.New(platform.WithTimers(timers))
//	go p.Serve(ctx, listener)
//	p.SetFaults(platform.Fault{LoseReply: 1})
//
// The protocol does not tell in which availability zone a client is. A fault that is restricted to availability zones therefore
// applies to the clients that call the addresses that StartIn returned for these zones.
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
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Error is the class of the errors of this package.
var Error = errs.Class("platform stand-in")

// Paths of the HTTP interface for operators and tests. They are not subject to faults and are not counted.
const (
	FaultPath = "/fault"
	CallsPath = "/calls"
)

// defaultListLag is the default delay after which a change by UpdateList becomes visible.
const defaultListLag = 5 * time.Second

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	timers *timer.Service
	store  *memory.Store
	faults *activeFaults
	// rewriteValue is applied to each value that a client writes.
	rewriteValue func(key string, value []byte) []byte

	mu      sync.Mutex
	listLag time.Duration
	calls   Calls
}

// Option configures a Platform.
type Option func(*Platform)

// WithTimers makes the stand-in use timers instead of the system clock.
func WithTimers(timers *timer.Service) Option {
	return func(p *Platform) { p.timers = timers }
}

// WithListLag sets the delay after which a change by UpdateList becomes visible.
func WithListLag(d time.Duration) Option {
	return func(p *Platform) { p.listLag = d }
}

// WithRewrite applies rewrite to each value that a client writes, and stores its result instead.
func WithRewrite(rewrite func(key string, value []byte) []byte) Option {
	return func(p *Platform) { p.rewriteValue = rewrite }
}

// New returns a Platform with an empty store and without faults.
func New(options ...Option) *Platform {
	p := &Platform{
		timers: timer.New(), listLag: defaultListLag, faults: newActiveFaults(),
		rewriteValue: func(_ string, value []byte) []byte { return value },
	}
	for _, option := range options {
		option(p)
	}
	p.store = memory.New(p.timers)

	return p
}

// Store returns the underlying store. Access to it bypasses the HTTP interface and its faults, for tests that act as operators or
// targets.
func (p *Platform) Store() *memory.Store { return p.store }

// Serve answers calls on listener until ctx is done. It then closes the connections of the calls that are still in progress.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = Error.Wrap(err) }()

	return p.serve(ctx, listener, "")
}

func (p *Platform) serve(ctx context.Context, listener net.Listener, z zone.Zone) error {
	server := &http.Server{
		Handler:           p.HandlerIn(z),
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

// Start serves on a loopback port that the system chooses. stop ends the server, waits for it, and returns its error.
func (p *Platform) Start() (address netip.AddrPort, stop func() error, err error) {
	return p.StartIn("")
}

// StartIn is like Start, for the clients in an availability zone.
func (p *Platform) StartIn(z zone.Zone) (address netip.AddrPort, stop func() error, err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := context.WithCancel(context.Background())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()

		return netip.AddrPort{}, nil, err
	}
	served := make(chan error, 1)
	go func() { served <- p.serve(ctx, listener, z) }()

	return netip.MustParseAddrPort(listener.Addr().String()), func() error {
		cancel()

		return <-served
	}, nil
}

// Calls counts the calls that the stand-in received, except those that were closed under Down. A watch counts once, however long
// it waits.
type Calls struct {
	Total      uint64
	Read       uint64
	List       uint64
	Commit     uint64
	Watch      uint64
	GrantLease uint64
	RenewLease uint64
	EndLease   uint64
	// Refused counts the calls refused under Busy and Overload. They are part of Total, but not of the counts by kind.
	Refused uint64
	// LateWrites counts the writes delayed by DelayWrite that have been processed, whether they succeeded or failed.
	LateWrites uint64
	// Waiting is the number of pending watches.
	Waiting int
}

// Calls returns the current counts.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.calls
}

func (p *Platform) updateCalls(change func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()

	change(&p.calls)
}
