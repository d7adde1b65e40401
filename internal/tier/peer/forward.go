package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"storj.io/drpc"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// rpcForward is the call by which an instance that has no connectivity to the targets has a peer send a query to one target. The peer accepts or declines
// it, and sends nothing before the ForwardBody has arrived. So a query that the peer has not accepted has not run.
const rpcForward = "/hickorynotch.Tier/Forward"

const (
	// maxTried is the maximum number of targets that a query was sent to before.
	maxTried = 64
	// responseChunkBytes is the size of the messages in which the body of a response follows its head.
	responseChunkBytes = 256 << 10
	// maxHeaderLines is the maximum number of header lines of a response. Their size is limited when they are read from the target.
	maxHeaderLines = 1 << 10
)

// ErrUnreachable means that the peer has lost connectivity to the targets.
var ErrUnreachable = fmt.Errorf("%w, because it does not reach the targets", ErrDeclined)

// errResponseMemory means that there is no memory for a response.
var errResponseMemory = errors.New("the responses that peers are passing on take too much memory")

// ForwardRequest asks a peer to send a query to one target.
type ForwardRequest struct {
	_         struct{} `cbor:",toarray"`
	RequestID string
	Route     string
	// Service is the service of the route that the sender has chosen, empty if none.
	Service string
	// Version, Method, Head, Left and Elapsed are those of GatherRequest.
	Version uint64
	Method  string
	Head    []byte
	Left    time.Duration
	Elapsed time.Duration
	// Extra is set if another peer may have sent the query, and Tried are the targets that may have got it from the sender.
	Extra bool
	Tried []string
	// Regions are the regions in which the query may be served, empty if it may be in all. Account and Priority are those of dispatch.Query.
	Regions  []string
	Account  string
	Priority int
	// Body follows as a ForwardBody once the peer has accepted the query.
	Body []byte `cbor:"-"`
}

// Check implements validator.
func (r *ForwardRequest) Check() error {
	if len(r.Regions) > 0 || len(r.Account) > maxNameBytes {
		if err := checkScope(r.Regions, r.Account); err != nil {
			return err
		}
	}
	if len(r.Tried) > maxTried {
		return fmt.Errorf("field Tried: %d, at most %d", len(r.Tried), maxTried)
	}

	return (&GatherRequest{RequestID: r.RequestID, Route: r.Route, Head: r.Head, Left: r.Left, Elapsed: r.Elapsed}).Check()
}

// Scope returns the regions in which the query may be served.
func (r *ForwardRequest) Scope() region.Scope {
	if len(r.Regions) == 0 {
		return region.Scope{}
	}

	return region.Restricted(r.Regions)
}

// ForwardBody carries the body of a query that the peer has accepted, which may be empty.
type ForwardBody struct {
	_    struct{} `cbor:",toarray"`
	Body []byte
}

// Check implements validator.
func (b *ForwardBody) Check() error {
	if len(b.Body) > MaxBodyBytes {
		return fmt.Errorf("field Body: %d bytes, at most %d", len(b.Body), MaxBodyBytes)
	}

	return nil
}

// ForwardAnswer carries the outcome of a query that was forwarded. The body of a response follows in ResponseChunks.
type ForwardAnswer struct {
	_        struct{} `cbor:",toarray"`
	Status   dispatch.Status
	Reason   string
	Shed     bool
	TurnIn   time.Duration
	Attempts int
	Hedges   int
	Retries  int
	Denied   int
	Tried    []string
	Active   int
	Response *ForwardedResponse
}

// ForwardedResponse is the response of a target without its body.
type ForwardedResponse struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Status   int
	Header   http.Header
	Duration time.Duration
	// Size is the size of the body.
	Size int
}

// Check implements validator.
func (a *ForwardAnswer) Check() error {
	if err := checkStatus(a.Status); err != nil {
		return err
	}
	if a.Active < 0 || a.TurnIn < 0 || len(a.Tried) > maxTried {
		return fmt.Errorf("fields Active, TurnIn, Tried: %d, %v, %d elements", a.Active, a.TurnIn, len(a.Tried))
	}
	r := a.Response
	if r == nil {
		if a.Status == dispatch.Answered {
			return errors.New("field Response is missing in an answer")
		}

		return nil
	}
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	if r.Status < http.StatusOK || r.Status > target.MaxStatus || r.Size < 0 || r.Size > target.DefaultReplyBytes || lines > maxHeaderLines {
		return fmt.Errorf("field Response: status %d, %d bytes, %d header lines", r.Status, r.Size, lines)
	}

	return nil
}

// ResponseChunk carries a part of the body of a response.
type ResponseChunk struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
}

// Check implements validator.
func (c *ResponseChunk) Check() error {
	if len(c.Data) == 0 || len(c.Data) > responseChunkBytes {
		return fmt.Errorf("field Data: %d bytes, not between 1 and %d", len(c.Data), responseChunkBytes)
	}

	return nil
}

func newForwardAnswer(a *dispatch.Answer, active int) *ForwardAnswer {
	message := &ForwardAnswer{
		Status: a.Status, Reason: a.Reason, Shed: a.Shed, TurnIn: a.TurnIn, Attempts: a.Attempts, Hedges: a.Hedges,
		Retries: a.Retries, Denied: a.Denied, Tried: a.Tried, Active: active,
	}
	if r := a.Result; r != nil && (a.Status == dispatch.Answered || r.ForwardableError()) {
		message.Response = &ForwardedResponse{Target: r.Target, Status: r.Status, Header: r.Header, Duration: r.Duration, Size: len(r.Body)}
	}

	return message
}

func (a *ForwardAnswer) toDispatch(body []byte) dispatch.Answer {
	answer := dispatch.Answer{
		Status: a.Status, Reason: a.Reason, Shed: a.Shed, TurnIn: a.TurnIn, Attempts: a.Attempts, Hedges: a.Hedges,
		Retries: a.Retries, Denied: a.Denied, Tried: a.Tried,
	}
	if r := a.Response; r != nil {
		answer.Result = &target.Result{
			Target: r.Target, Outcome: target.Answered, Status: r.Status, Header: r.Header, Duration: r.Duration, Body: body, Sent: true,
		}
	}

	return answer
}

// Forward has the peer at address send a query to one target and returns the peer's answer. It fails with ErrLost if the peer may have sent it,
// and with any other error if the peer has not and never will.
func (c *Client) Forward(
	ctx context.Context, address netip.AddrPort, request *ForwardRequest, acceptBound time.Duration,
) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()

	started := c.timers.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopAcceptTimer := c.timers.AfterFunc(acceptBound, cancel)
	defer stopAcceptTimer()
	conn, err := c.acquire(callCtx, address)
	if err != nil {
		return reply, err
	}
	stream, err := conn.drpcConn.NewStream(callCtx, rpcForward, encoding{})
	if err != nil {
		_ = conn.drpcConn.Close()

		return reply, err
	}
	defer func() {
		_ = stream.Close()
		c.release(address, conn, err)
	}()
	connectTime := c.timers.Since(started)
	request.Elapsed += connectTime
	request.Left -= connectTime
	sentAt := c.timers.Now()
	if err = sendAndReceive(stream, rpcForward, request, &reply.Accepted); errors.Is(err, ErrUnknownCall) {
		return reply, err
	} else if err != nil {
		return reply, errors.Join(ErrNotAccepted, err)
	}
	reply.AcceptedAfter = c.timers.Since(sentAt)
	if !stopAcceptTimer() {
		return reply, ErrNotAccepted
	}
	if err = reply.Accepted.declined(); err != nil {
		return reply, err
	}
	if err = stream.MsgSend(&ForwardBody{Body: request.Body}, encoding{}); err != nil {
		return reply, lostOrCancelled(ctx, err)
	}
	var answer ForwardAnswer
	if err = stream.MsgRecv(&answer, encoding{}); err != nil {
		return reply, lostOrCancelled(ctx, err)
	}
	body, err := c.receiveResponse(stream, answer.Response)
	if err != nil {
		return reply, lostOrCancelled(ctx, err)
	}
	reply.Answer, reply.Active = answer.toDispatch(body), answer.Active

	return reply, nil
}

// receiveResponse receives the body of a response.
func (c *Client) receiveResponse(stream drpc.Stream, r *ForwardedResponse) (body []byte, err error) {
	if r == nil {
		return nil, nil
	}
	defer c.responses.Add(-int64(r.Size))
	if c.responses.Add(int64(r.Size)) > c.responseMemory {
		return nil, errResponseMemory
	}
	for len(body) < r.Size {
		var chunk ResponseChunk
		if err := stream.MsgRecv(&chunk, encoding{}); err != nil {
			return nil, err
		}
		body = append(body, chunk.Data...)
	}
	if len(body) > r.Size {
		return nil, fmt.Errorf("response of %d bytes instead of %d", len(body), r.Size)
	}

	return body, nil
}

// PrepareForward converts a request to a query for the configuration in force, as Prepare does.
type PrepareForward func(r *ForwardRequest) (q *dispatch.Query, declined string, version uint64)

// WithForward sets the functions that prepare the queries that peers ask this instance to send to one target, and that answer them. Without
// them, the call is not known.
func WithForward(prepare PrepareForward, forward func(ctx context.Context, q *dispatch.Query) dispatch.Answer) ServerOption {
	return func(s *Server) { s.prepareForward, s.forward = prepare, forward }
}

// handleForward sends a query to one target for a peer.
func (s *Server) handleForward(stream drpc.Stream) error {
	if s.forward == nil {
		return newUnknownCall(rpcForward)
	}
	var request ForwardRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	active := int(s.active.Add(1))
	defer s.active.Add(-1)
	q, declined, version := s.prepareForward(&request)
	accepted := &GatherAccepted{Declined: declined, Version: version, Mirror: s.mirrorRevision(), Active: active}
	if err := stream.MsgSend(accepted, encoding{}); err != nil || declined != "" {
		return err
	}
	var body ForwardBody
	if err := s.receiveWithin(stream, &body, request.Left); err != nil {
		return err
	}
	if len(body.Body) > 0 {
		q.Body = body.Body
	}
	started := s.timers.Now()
	answer := s.forward(stream.Context(), q)
	s.log.Log(event.RequestForwarded, "Request", q.RequestID, "Route", q.Route.Name, "Version", q.Version, "Status", answer.Status,
		"Reason", answer.Reason, "Took", s.timers.Since(started), "Elapsed", q.Elapsed, "Tried", len(q.Tried), "Attempts", answer.Attempts,
		"Hedges", answer.Hedges, "Retries", answer.Retries, "Denied", answer.Denied, "Active", active)
	message := newForwardAnswer(&answer, int(s.active.Load()))
	if err := stream.MsgSend(message, encoding{}); err != nil || message.Response == nil {
		return err
	}
	for rest := answer.Result.Body; len(rest) > 0; {
		n := min(len(rest), responseChunkBytes)
		if err := stream.MsgSend(&ResponseChunk{Data: rest[:n]}, encoding{}); err != nil {
			return err
		}
		rest = rest[n:]
	}

	return nil
}
