package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// serverIdle is above the idle time of a Client, so that a connection is closed by the side that knows it is unused.
const serverIdle = 5 * time.Minute

// maxConnections bounds the connections that a Server holds. 450 peers with the pools of DefaultPool need 8,100 at
// most, but only owners of targets in use get relays.
const maxConnections = 4096

var errUnimplemented = errors.New("this instance does not answer the call")

// Server answers calls of peers. Each call has a function field; a call without one is refused.
type Server struct {
	relayFunc         func(ctx context.Context, from Sender, a attempt.Attempt) (target.Reply, error)
	pingFunc          func(ctx context.Context, from Sender, gossip Gossip) (Gossip, error)
	pingRequestFunc   func(ctx context.Context, from Sender, member instance.Instance, gossip Gossip) (Gossip, error)
	syncFunc          func(ctx context.Context, from Sender, table Table) (Table, error)
	configurationFunc func(ctx context.Context, from Sender, have uint64) ([]byte, error)
	pushFunc          func(ctx context.Context, from Sender, raw []byte) error
	listingFunc       func(ctx context.Context, from Sender, listing Listing) error
	compareFunc       func(ctx context.Context, from Sender, digest uint64) (Comparison, error)
	reportsFunc       func(ctx context.Context, from Sender, reports []TargetReport, want uint64) ([]TargetReport, error)
	blockedFunc       func(zone.Zone) bool

	mu       sync.Mutex
	stopping bool
	relays   int
	idle     chan struct{} // closed when stopping and no relay is left
	open     int
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithRelay sets the function that runs an attempt of a peer. An error that is no *target.Failure is sent as Unknown.
func WithRelay(f func(ctx context.Context, from Sender, a attempt.Attempt) (target.Reply, error)) ServerOption {
	return func(s *Server) { s.relayFunc = f }
}

// WithPing sets the function that answers a ping.
func WithPing(f func(ctx context.Context, from Sender, gossip Gossip) (Gossip, error)) ServerOption {
	return func(s *Server) { s.pingFunc = f }
}

// WithPingRequest sets the function that pings member for the sender.
func WithPingRequest(
	f func(ctx context.Context, from Sender, member instance.Instance, gossip Gossip) (Gossip, error),
) ServerOption {
	return func(s *Server) { s.pingRequestFunc = f }
}

// WithSync sets the function that exchanges member tables.
func WithSync(f func(ctx context.Context, from Sender, table Table) (Table, error)) ServerOption {
	return func(s *Server) { s.syncFunc = f }
}

// WithConfiguration sets the function that gives the raw record, or nothing when its revision is not over have.
func WithConfiguration(f func(ctx context.Context, from Sender, have uint64) ([]byte, error)) ServerOption {
	return func(s *Server) { s.configurationFunc = f }
}

// WithPush sets the function that takes the offer of a raw record.
func WithPush(f func(ctx context.Context, from Sender, raw []byte) error) ServerOption {
	return func(s *Server) { s.pushFunc = f }
}

// WithListing sets the function that takes what the sender read in the platform's list.
func WithListing(f func(ctx context.Context, from Sender, listing Listing) error) ServerOption {
	return func(s *Server) { s.listingFunc = f }
}

// WithCompare sets the function that compares a digest with that of this instance's target reports.
func WithCompare(f func(ctx context.Context, from Sender, digest uint64) (Comparison, error)) ServerOption {
	return func(s *Server) { s.compareFunc = f }
}

// WithReports sets the function that takes target reports and gives those in the wanted buckets.
func WithReports(
	f func(ctx context.Context, from Sender, reports []TargetReport, want uint64) ([]TargetReport, error),
) ServerOption {
	return func(s *Server) { s.reportsFunc = f }
}

// WithBlocked sets the function that names the availability zones from which calls get no answer. Tests use it to
// partition processes: calls on open connections stall, and new connections fail at their Hello.
func WithBlocked(f func(zone.Zone) bool) ServerOption {
	return func(s *Server) { s.blockedFunc = f }
}

// NewServer returns a Server.
func NewServer(options ...ServerOption) *Server {
	s := &Server{idle: make(chan struct{})}
	for _, option := range options {
		option(s)
	}

	return s
}

// Serve answers calls on listener until ctx ends, and then cuts the calls in flight. Shutdown lets relays finish before.
func (s *Server) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = Error.Wrap(err) }()

	mux := drpcmux.New()
	if err := mux.Register(s, description{}); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(inbound.Handler(mux), drpcserver.Options{Manager: managerOptions(serverIdle)})

	return inbound.ServePeers(ctx, &boundedListener{Listener: listener, server: s}, server, timer.New())
}

func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		// The slack leaves the report of a size that is over the limit to the encoding, which keeps the connection.
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes + 64<<10},
		SoftCancel: true,
		// The grace lets a request that is being written end, so that its cancellation can follow on the connection.
		SoftCancelGrace:   5 * time.Millisecond,
		InactivityTimeout: idle,
	}
}

// Shutdown refuses new relays as not run and returns when those in flight have ended or ctx has. Other calls are still
// answered, because a leaving instance takes part in gossip until it stops.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	s.mu.Lock()
	if !s.stopping {
		s.stopping = true
		if s.relays == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()

	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Relays returns the number of relays in flight.
func (s *Server) Relays() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.relays
}

func (s *Server) beginRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.relays++

	return true
}

func (s *Server) endRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays--
	if s.stopping && s.relays == 0 {
		close(s.idle)
	}
}

// admit returns an error for a call that is not to be run. A call from a blocked zone is held until the sender gives up.
func (s *Server) admit(ctx context.Context, from Sender, implemented bool) error {
	if s.blockedFunc != nil && s.blockedFunc(from.AvailabilityZone) {
		<-ctx.Done()

		return ctx.Err()
	}
	if !implemented {
		return drpcerr.WithCode(errUnimplemented, codeUnimplemented)
	}

	return nil
}

func (s *Server) hello(ctx context.Context, in *hello) (*done, error) {
	if err := s.admit(ctx, in.Sender, true); err != nil {
		return nil, err
	}

	return &done{}, nil
}

func (s *Server) relay(ctx context.Context, in *relayRequest) (*relayReply, error) {
	if err := s.admit(ctx, in.Sender, s.relayFunc != nil); err != nil {
		return nil, err
	}
	if !s.beginRelay() {
		return &relayReply{Failure: &target.Failure{
			Outcome: target.NotRun, Code: target.OwnerLeaving, Message: "the instance is leaving",
		}}, nil
	}
	defer s.endRelay()

	reply, err := s.relayFunc(ctx, in.Sender, in.Attempt)
	if err == nil {
		return &relayReply{Reply: &reply}, nil
	}
	var failure *target.Failure
	if !errors.As(err, &failure) {
		failure = &target.Failure{Outcome: target.Unknown, Code: target.Broken, Message: err.Error()}
	}

	return &relayReply{Failure: failure}, nil
}

func (s *Server) ping(ctx context.Context, in *ping) (*ack, error) {
	if err := s.admit(ctx, in.Sender, s.pingFunc != nil); err != nil {
		return nil, err
	}
	gossip, err := s.pingFunc(ctx, in.Sender, in.Gossip)

	return &ack{Gossip: gossip}, err
}

func (s *Server) pingRequest(ctx context.Context, in *pingRequest) (*ack, error) {
	if err := s.admit(ctx, in.Sender, s.pingRequestFunc != nil); err != nil {
		return nil, err
	}
	gossip, err := s.pingRequestFunc(ctx, in.Sender, in.Member, in.Gossip)

	return &ack{Gossip: gossip}, err
}

func (s *Server) sync(ctx context.Context, in *syncRequest) (*syncReply, error) {
	if err := s.admit(ctx, in.Sender, s.syncFunc != nil); err != nil {
		return nil, err
	}
	table, err := s.syncFunc(ctx, in.Sender, in.Table)

	return &syncReply{Table: table}, err
}

func (s *Server) configuration(ctx context.Context, in *configurationRequest) (*configurationReply, error) {
	if err := s.admit(ctx, in.Sender, s.configurationFunc != nil); err != nil {
		return nil, err
	}
	raw, err := s.configurationFunc(ctx, in.Sender, in.Have)

	if err != nil {
		return nil, err
	}
	packed, err := pack(raw)

	return &configurationReply{Record: packed}, err
}

func (s *Server) push(ctx context.Context, in *record) (*done, error) {
	if err := s.admit(ctx, in.Sender, s.pushFunc != nil); err != nil {
		return nil, err
	}

	raw, err := unpack(in.Record)
	if err != nil {
		return nil, drpcerr.WithCode(err, codeMalformed)
	}

	return &done{}, s.pushFunc(ctx, in.Sender, raw)
}

func (s *Server) listing(ctx context.Context, in *listing) (*done, error) {
	if err := s.admit(ctx, in.Sender, s.listingFunc != nil); err != nil {
		return nil, err
	}

	return &done{}, s.listingFunc(ctx, in.Sender, in.Listing)
}

func (s *Server) compare(ctx context.Context, in *compareRequest) (*Comparison, error) {
	if err := s.admit(ctx, in.Sender, s.compareFunc != nil); err != nil {
		return nil, err
	}
	comparison, err := s.compareFunc(ctx, in.Sender, in.Digest)

	return &comparison, err
}

func (s *Server) reports(ctx context.Context, in *reportsRequest) (*reportsReply, error) {
	if err := s.admit(ctx, in.Sender, s.reportsFunc != nil); err != nil {
		return nil, err
	}
	reports, err := s.reportsFunc(ctx, in.Sender, in.Reports, in.Want)

	return &reportsReply{Reports: reports}, err
}

// boundedListener closes connections over maxConnections at once.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.server.mu.Lock()
		over := l.server.open >= maxConnections
		if !over {
			l.server.open++
		}
		l.server.mu.Unlock()
		if over {
			_ = conn.Close()

			continue
		}

		return &boundedConn{Conn: conn, server: l.server}, nil
	}
}

type boundedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// NetConn returns the connection of the listener.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.server.mu.Lock()
		c.server.open--
		c.server.mu.Unlock()
	})

	return c.Conn.Close()
}
