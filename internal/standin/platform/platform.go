// Package platform is a stand-in for the users' platform: its metadata store over HTTP, with faults, for tests, demos, the fault soak
// and benchmarks.
//
// It speaks the store's protocol and keeps everything in memory. Faults are injected at run time, by methods or over HTTP:
//
//	GET/PUT /fault   the faults in force, one Fault or a list of them
//	GET     /calls   the calls that were counted
//
//	p := platform.New(platform.WithTimers(timers))
//	go p.Serve(ctx, listener)
//	p.SetFaults(platform.Fault{LoseReply: 1})
//
// The protocol does not tell where a client is. A fault that is limited to availability zones applies to the clients of the addresses
// that StartIn returned for them.
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

// defaultListLag is how long a change of the targets' entries takes to become visible.
const defaultListLag = 5 * time.Second

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	timers *timer.Service
	store  *memory.Store
	faults *faults
	// rewrite changes what clients write.
	rewrite func(key string, value []byte) []byte

	mu    sync.Mutex
	lag   time.Duration
	calls Calls
}

// Option configures a Platform.
type Option func(*Platform)

// WithTimers makes the stand-in follow timers instead of the system clock.
func WithTimers(timers *timer.Service) Option {
	return func(p *Platform) { p.timers = timers }
}

// WithListLag sets how long a change by UpdateList takes to become visible.
func WithListLag(d time.Duration) Option {
	return func(p *Platform) { p.lag = d }
}

// WithRewrite lets rewrite change each value that a client writes.
func WithRewrite(rewrite func(key string, value []byte) []byte) Option {
	return func(p *Platform) { p.rewrite = rewrite }
}

// New returns an empty stand-in.
func New(options ...Option) *Platform {
	p := &Platform{timers: timer.New(), lag: defaultListLag, faults: newFaults(), rewrite: func(_ string, value []byte) []byte { return value }}
	for _, option := range options {
		option(p)
	}
	p.store = memory.New(p.timers)

	return p
}

// Store returns what the store holds, for operators and targets that are not subject to faults.
func (p *Platform) Store() *memory.Store { return p.store }

// Serve answers calls on listener until ctx ends. Calls that wait at that time are cut off.
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

// Start serves on a loopback port that the system chooses. The returned function stops serving and waits for the end.
func (p *Platform) Start() (address netip.AddrPort, stop func() error, err error) {
	return p.StartIn("")
}

// StartIn is Start for the clients of an availability zone.
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

// Calls counts the calls that reached the stand-in. A watch is one call, however long it waits.
type Calls struct {
	Total      uint64
	Read       uint64
	List       uint64
	Commit     uint64
	Watch      uint64
	GrantLease uint64
	RenewLease uint64
	EndLease   uint64
	// Refused counts the calls refused by a fault; they are in the other counts too.
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
