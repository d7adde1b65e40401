package peer

import (
	"context"
	"errors"
	"net/netip"

	"storj.io/drpc"
)

// rpcReachability is the call by which an instance tells the leader whether it has lost connectivity to the targets.
const rpcReachability = "/hickorynotch.Tier/Reachability"

// ReachabilityRequest says whether an instance has lost connectivity to the targets.
type ReachabilityRequest struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Unreachable bool
}

// Check implements validator.
func (r *ReachabilityRequest) Check() error {
	if r.Name == "" || len(r.Name) > maxNameBytes {
		return errors.New("field Name is empty or too long")
	}

	return nil
}

// ReachabilityResponse acknowledges a ReachabilityRequest.
type ReachabilityResponse struct {
	_ struct{} `cbor:",toarray"`
}

// ReportReachability tells the leader at address whether the instance with the given name has lost connectivity to the targets.
func (c *Client) ReportReachability(ctx context.Context, address netip.AddrPort, name string, unreachable bool) error {
	return c.invoke(ctx, address, rpcReachability, &ReachabilityRequest{Name: name, Unreachable: unreachable}, &ReachabilityResponse{})
}

// OnReachability sets the function that receives which instances have lost connectivity to the targets.
func OnReachability(onReachability func(instance string, unreachable bool)) ServerOption {
	return func(s *Server) { s.onReachability = onReachability }
}

func (s *Server) handleReachability(stream drpc.Stream) error {
	var request ReachabilityRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	s.onReachability(request.Name, request.Unreachable)

	return stream.MsgSend(&ReachabilityResponse{}, encoding{})
}
