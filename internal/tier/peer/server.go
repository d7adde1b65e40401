package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// The reasons for which a query is declined. They are the values of GatherAccepted.Declined.
const (
	// OtherVersion means that the configuration in force at the gatherer is not the one of the request, or that it has none.
	OtherVersion = "OtherVersion"
	// NotReady means that the gatherer has no directory of targets yet.
	NotReady = "NotReady"
	// Stopping means that the gatherer is shutting down.
	Stopping = "Stopping"
	// LengthInHead means that the head names the length of a body. An instance of a version before GatherBody sends such a head without the body.
	LengthInHead = "LengthInHead"
	// OutsideRegions means that the gatherer is not in one of the regions that the query allows.
	OutsideRegions = "OutsideRegions"
	// Unreachable means that the gatherer has lost connectivity to the targets.
	Unreachable = "TargetsUnreachable"
)

// errNoBody means that a peer has not sent the body of a query in time.
var errNoBody = errors.New("the body of the query did not arrive in time")

// Prepare converts a request to a query for the configuration in force, whose version it returns. If the request has to be
// declined, it returns the reason as declined.
type Prepare func(r *GatherRequest) (q *dispatch.Query, declined string, version uint64)

// Server handles the calls of peers. It is safe for concurrent use.
type Server struct {
	prepare        Prepare
	gather         func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	mirrorRevision func() uint64
	onNotice       func(control.Notice)
	serveFollower  ServeFollower
	onReports      func(instance string, reports []ratelimit.Report)
	onSuspects     func([]suspect.Record)
	onLeaving      func([]*directory.Target)
	quotas         *Quotas
	onReachability func(instance string, unreachable bool)
	prepareForward PrepareForward
	forward        func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	timers         *timer.Service
	log            *event.Log
	active         atomic.Int64
}

// ServeFollower sends the updates of this instance, the leader, to an instance that follows it until ctx is done or send fails.
type ServeFollower func(ctx context.Context, r *control.FollowRequest, send func(*control.Update) error) error

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithFollowers sets the function that serves the instances that follow this one. Without it, none can.
func WithFollowers(serve ServeFollower) ServerOption {
	return func(s *Server) { s.serveFollower = serve }
}

// OnReports sets the function that receives the reports of the instances that follow this one about the rate limits of targets.
func OnReports(onReports func(instance string, reports []ratelimit.Report)) ServerOption {
	return func(s *Server) { s.onReports = onReports }
}

// OnSuspects sets the function that receives what the instances that follow this one report about queries that seem to crash targets.
func OnSuspects(onSuspects func([]suspect.Record)) ServerOption {
	return func(s *Server) { s.onSuspects = onSuspects }
}

// OnLeaving sets the function that receives the targets that the instances that follow this one report as leaving.
func OnLeaving(onLeaving func([]*directory.Target)) ServerOption {
	return func(s *Server) { s.onLeaving = onLeaving }
}

// NewServer returns a Server that answers a request with the result of gather for the query that prepare returns. The function
// mirrorRevision returns the newest known revision of the leader's mirror of the registry of targets, and onNotice is called with
// each notice of the leader.
func NewServer(
	prepare Prepare, gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer, mirrorRevision func() uint64,
	onNotice func(control.Notice), timers *timer.Service, log *event.Log, options ...ServerOption,
) *Server {
	s := &Server{
		prepare: prepare, gather: gather, mirrorRevision: mirrorRevision, onNotice: onNotice, timers: timers, log: log,
		serveFollower: func(context.Context, *control.FollowRequest, func(*control.Update) error) error {
			return control.ErrNotLeader
		},
		onReports:      func(string, []ratelimit.Report) {},
		onReachability: func(string, bool) {},
		onSuspects:     func([]suspect.Record) {},
		onLeaving:      func([]*directory.Target) {},
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Active returns the number of queries that this instance is gathering for peers.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections on listener and handles their calls until ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return Error.Wrap(inbound.ServePeers(ctx, listener, drpcserver.New(inbound.Handler(s)), s.timers))
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() { err = Error.Wrap(errors.Join(err, s.log.Recovered(recover(), "Peer", "Call", rpc))) }()

	switch rpc {
	case rpcGather:
		return s.handleGather(stream, false)
	case rpcGatherBody:
		return s.handleGather(stream, true)
	case rpcGatherScoped:
		return s.handleGatherScoped(stream)
	case rpcReachability:
		return s.handleReachability(stream)
	case rpcForward:
		return s.handleForward(stream)
	case rpcNotice:
		return s.handleNotice(stream)
	case rpcFollow:
		return s.handleFollow(stream)
	case rpcSuspects:
		return s.handleSuspects(stream)
	case rpcReportUsage, rpcRequestTokens, rpcNotifyLimited:
		return s.handleQuota(stream, rpc)
	default:
		return newUnknownCall(rpc)
	}
}

func (s *Server) handleNotice(stream drpc.Stream) error {
	var request NoticeRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	s.onNotice(control.Notice{
		Leader: request.Leader, Name: request.Name, Peer: request.Peer, Version: request.Version, Mirror: request.Mirror,
	})

	return stream.MsgSend(&NoticeResponse{}, encoding{})
}

func (s *Server) handleSuspects(stream drpc.Stream) error {
	var request SuspectsRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	s.onSuspects(toSuspects(request.Records))

	return stream.MsgSend(&SuspectsResponse{}, encoding{})
}

// handleGather gathers a query for a peer that may be served in all regions.
func (s *Server) handleGather(stream drpc.Stream, withBody bool) error {
	var request GatherRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}

	return s.gatherFor(stream, &request, withBody)
}

// gatherFor answers the request for a query. With withBody, the body of the query follows once it is accepted.
func (s *Server) gatherFor(stream drpc.Stream, request *GatherRequest, withBody bool) error {
	active := int(s.active.Add(1))
	defer s.active.Add(-1)
	q, declined, version := s.prepare(request)
	if declined == "" && request.namesLength() {
		declined = LengthInHead
	}
	accepted := &GatherAccepted{Declined: declined, Version: version, Mirror: s.mirrorRevision(), Active: active}
	if err := stream.MsgSend(accepted, encoding{}); err != nil || declined != "" {
		return err
	}
	if withBody {
		body, err := s.receiveBody(stream, request.Left)
		if err != nil {
			return err
		}
		q.Body = body
	}
	if len(request.Shards) > 0 {
		q.OnEarly = func(early dispatch.Answer) {
			// The error can be ignored: if the message cannot be sent, the stream's context is cancelled, which ends the query.
			_ = stream.MsgSend(newGatherAnswer(&early, int(s.active.Load())), encoding{})
		}
	}
	started := s.timers.Now()
	answer := s.gather(stream.Context(), q)
	s.log.Log(event.RequestGathered, "Request", q.RequestID, "Route", q.Route.Name, "Version", q.Version,
		"Status", answer.Status, "Reason", answer.Reason, "Took", s.timers.Since(started), "Elapsed", q.Elapsed,
		"Extra", q.MaybeSent, "Shards", len(request.Shards), "Missing", answer.Missing, "Attempts", answer.Attempts,
		"Hedges", answer.Hedges, "Retries", answer.Retries, "Denied", answer.Denied, "Active", active)

	return stream.MsgSend(newGatherAnswer(&answer, int(s.active.Load())), encoding{})
}

// receiveBody receives the body of a query. It fails if the body is not received within the timeout, for example because the peer is frozen.
func (s *Server) receiveBody(stream drpc.Stream, timeout time.Duration) ([]byte, error) {
	var message GatherBody
	err := s.receiveWithin(stream, &message, timeout)
	if err != nil {
		return nil, err
	}

	return message.Body, nil
}

// receiveWithin receives a message, which must not be used after an error.
func (s *Server) receiveWithin(stream drpc.Stream, message drpc.Message, timeout time.Duration) error {
	received := make(chan error, 1)
	// Once the call has ended, MsgRecv returns.
	go func() { received <- stream.MsgRecv(message, encoding{}) }()
	select {
	case err := <-received:
		return err
	case <-s.timers.After(timeout):
		return errNoBody
	}
}
