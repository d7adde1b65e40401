package peer

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"storj.io/drpc"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// rpcGatherScoped is the call for a query that may be served only in some regions, with or without a body, which follows as in rpcGatherBody.
// It is a call of its own because a version that does not know regions must not gather the query: it fails an unknown call.
const rpcGatherScoped = "/hickorynotch.Tier/GatherScoped"

const (
	// maxRegions is the maximum number of regions in a request. The system is designed for fewer than 10.
	maxRegions = 64
	// maxNameBytes is the maximum size of the name of a region or an account in a request.
	maxNameBytes = 256
	// unknownCallFormat is the text by which a server fails a call that it does not know. Older versions send the same text.
	unknownCallFormat = "call %q is not known"
)

// ErrUnknownCall is the ErrDeclined of a peer whose version does not know the call.
var ErrUnknownCall = fmt.Errorf("%w, because it does not know the call", ErrDeclined)

// scopedGatherRequest is a GatherRequest for a query that may be served only in some regions.
type scopedGatherRequest struct {
	_      struct{} `cbor:",toarray"`
	Gather GatherRequest
	// Regions are the allowed regions. Account and Priority are those of dispatch.Query.
	Regions  []string
	Account  string
	Priority int
	// HasBody is set if a GatherBody follows once the peer has accepted the query.
	HasBody bool
}

func newScopedGatherRequest(r *GatherRequest) *scopedGatherRequest {
	return &scopedGatherRequest{
		Gather: *r, Regions: r.Scope.Names(), Account: r.Account, Priority: r.Priority, HasBody: len(r.Body) > 0,
	}
}

// Check implements validator.
func (r *scopedGatherRequest) Check() error {
	if err := checkScope(r.Regions, r.Account); err != nil {
		return err
	}

	return r.Gather.Check()
}

// toGather returns the request with the fields that are not a part of its message.
func (r *scopedGatherRequest) toGather() *GatherRequest {
	request := r.Gather
	request.Scope, request.Account, request.Priority = region.Restricted(r.Regions), r.Account, r.Priority

	return &request
}

// checkScope checks the names of the regions and of the account of a query.
func checkScope(regions []string, account string) error {
	if len(regions) == 0 || len(regions) > maxRegions {
		return fmt.Errorf("field Regions: %d, not between 1 and %d", len(regions), maxRegions)
	}
	for i, name := range regions {
		if name == "" || len(name) > maxNameBytes {
			return fmt.Errorf("field Regions[%d]: %d bytes, not between 1 and %d", i, len(name), maxNameBytes)
		}
	}
	if len(account) > maxNameBytes {
		return fmt.Errorf("field Account: %d bytes, at most %d", len(account), maxNameBytes)
	}

	return nil
}

// CanCarry reports whether a query fits into the messages to peers.
func CanCarry(q *dispatch.Query) bool {
	if q.Scope.IsRestricted() && checkScope(q.Scope.Names(), q.Account) != nil {
		return false
	}

	return len(q.Head) <= MaxHeadBytes && len(q.Body) <= MaxBodyBytes
}

// newUnknownCall returns the error of a server for a call that it does not know.
func newUnknownCall(rpc string) error { return drpc.ProtocolError.New(unknownCallFormat, rpc) }

// isUnknownCall reports whether an error, which may be nil, is that of a server that does not know a call. Errors of servers reach the client
// as text only.
func isUnknownCall(err error, rpc string) bool {
	return err != nil && strings.Contains(err.Error(), fmt.Sprintf(unknownCallFormat, rpc))
}

// rpc returns the call for a request.
func (r *GatherRequest) rpc() string {
	switch {
	case r.Scope.IsRestricted():
		return rpcGatherScoped
	case len(r.Body) > 0:
		return rpcGatherBody
	default:
		return rpcGather
	}
}

// send sends a request, without its body, and receives the message that accepts or declines it. It fails with ErrUnknownCall if the peer does
// not know the call.
func (r *GatherRequest) send(stream drpc.Stream, accepted *GatherAccepted) error {
	var message drpc.Message = r
	if r.Scope.IsRestricted() {
		message = newScopedGatherRequest(r)
	}

	return sendAndReceive(stream, r.rpc(), message, accepted)
}

// sendAndReceive sends the first message of a call and receives the message that accepts or declines it. It fails with ErrUnknownCall if the
// peer does not know the call.
func sendAndReceive(stream drpc.Stream, rpc string, message drpc.Message, accepted *GatherAccepted) error {
	err := stream.MsgSend(message, encoding{})
	// If the peer has already ended the call, sending fails with io.EOF and receiving with the error of the peer.
	if err == nil || errors.Is(err, io.EOF) {
		err = stream.MsgRecv(accepted, encoding{})
	}
	if isUnknownCall(err, rpc) {
		return errors.Join(ErrUnknownCall, err)
	}

	return err
}

// handleGatherScoped gathers a query for a peer that may be served only in some regions.
func (s *Server) handleGatherScoped(stream drpc.Stream) error {
	var request scopedGatherRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}

	return s.gatherFor(stream, request.toGather(), request.HasBody)
}
