package peer

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// The reasons for which a query is declined.
const (
	// OtherVersion means that the gatherer has another configuration in force.
	OtherVersion = "OtherVersion"
	// NotReady means that the gatherer does not know the targets yet.
	NotReady = "NotReady"
	// Stopping means that the gatherer is about to stop.
	Stopping = "Stopping"
)

// Prepare turns a request into a query of the configuration in force, or says why it is declined.
type Prepare func(r *GatherRequest) (q *dispatch.Query, declined string, version uint64)

// Server answers peers. It is safe for concurrent use.
type Server struct {
	prepare Prepare
	gather  func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	mirror  func() uint64
	noticed func(control.Notice)
	timers  *timer.Service
	log     *event.Log
	active  atomic.Int64
}

// NewServer returns a Server that gathers by the given functions. Mirror returns the newest revision of the targets' mirror, and
// noticed takes the notices of the leader.
func NewServer(
	prepare Prepare, gather func(ctx context.Context, q *dispatch.Query) dispatch.Answer, mirror func() uint64,
	noticed func(control.Notice), timers *timer.Service, log *event.Log,
) *Server {
	return &Server{prepare: prepare, gather: gather, mirror: mirror, noticed: noticed, timers: timers, log: log}
}

// Active returns the number of queries that are gathered for peers.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve answers calls on listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return Error.Wrap(drpcserver.New(s).Serve(ctx, listener))
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() { err = Error.Wrap(err) }()

	switch rpc {
	case rpcGather:
		return s.handleGather(stream)
	case rpcNotice:
		return s.handleNotice(stream)
	default:
		return drpc.ProtocolError.New("call %q is not known", rpc)
	}
}

func (s *Server) handleNotice(stream drpc.Stream) error {
	var request NoticeRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	s.noticed(control.Notice{Leader: request.Leader, Version: request.Version, Mirror: request.Mirror})

	return stream.MsgSend(&NoticeTaken{}, encoding{})
}

func (s *Server) handleGather(stream drpc.Stream) error {
	var request GatherRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	active := int(s.active.Add(1))
	defer s.active.Add(-1)
	q, declined, version := s.prepare(&request)
	accepted := &GatherAccepted{Declined: declined, Version: version, Mirror: s.mirror(), Active: active}
	if err := stream.MsgSend(accepted, encoding{}); err != nil || declined != "" {
		return err
	}
	if len(request.Shards) > 0 {
		q.Early = func(early dispatch.Answer) {
			// If the message cannot be sent, the stream ends and with it the query.
			_ = stream.MsgSend(newAnswer(&early, int(s.active.Load())), encoding{})
		}
	}
	started := s.timers.Now()
	answer := s.gather(stream.Context(), q)
	s.log.Log(event.RequestGathered, "Request", q.RequestID, "Route", q.Route.Name, "Version", q.Version,
		"Status", answer.Status, "Reason", answer.Reason, "Took", s.timers.Since(started), "Elapsed", q.Elapsed, "Extra", q.Extra,
		"Shards", len(request.Shards), "Missing", answer.Missing, "Attempts", answer.Attempts, "Hedges", answer.Hedges,
		"Retries", answer.Retries, "Denied", answer.Denied, "Active", active)

	return stream.MsgSend(newAnswer(&answer, int(s.active.Load())), encoding{})
}
