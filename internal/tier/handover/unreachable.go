package handover

import (
	"context"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// unreachableRetry is the time after which the caller of a query that no instance could send may try again: two rounds of the probes by which
// an instance notices that it has regained connectivity.
const unreachableRetry = 500 * time.Millisecond

// WithForward sets the function that forwards a query to one target at this instance.
func WithForward(forward func(ctx context.Context, q *dispatch.Query) dispatch.Answer) Option {
	return func(h *Handover) { h.forward = forward }
}

// WithReachability sets the function that returns whether this instance has connectivity to the targets.
func WithReachability(state func() reachability.State) Option {
	return func(h *Handover) { h.reachability = state }
}

// maxFailures returns the number of peers that may fail before a query stays at this instance.
func (h *Handover) maxFailures() int {
	if h.reachability() != reachability.Reachable {
		return maxUnreachableAttempts
	}

	return maxPeerAttempts
}

// shards returns the services that a query of a route is sent to.
func (h *Handover) shards(r *route.Route) []string {
	if r.Gather != nil {
		return r.Gather.Shards
	}

	return r.Services()
}

// isUnanswered reports whether an instance has not answered a query because it has lost connectivity to the targets.
func isUnanswered(a *dispatch.Answer) bool {
	return a.Reason == dispatch.ReasonUnreachable && (a.Status == dispatch.NotRun || a.Status == dispatch.Unknown)
}

// lostConnectivity returns the error of a peer that has lost connectivity to the targets while it had a query.
func lostConnectivity(a *dispatch.Answer) error {
	if a.Status == dispatch.NotRun {
		return peer.ErrUnreachable
	}

	return errors.Join(peer.ErrLost, peer.ErrUnreachable)
}

// refuseUnreachable returns the answer to a query that no instance can send to targets.
func (h *Handover) refuseUnreachable(q *dispatch.Query) dispatch.Answer {
	status := dispatch.NotRun
	if q.MaybeSent || len(q.Tried) > 0 {
		status = dispatch.Unknown
	}

	return dispatch.Answer{Status: status, Reason: dispatch.ReasonUnreachable, TurnIn: unreachableRetry}
}

// Forward sends a query to one target. While this instance has no connectivity to the targets, a peer does. A query that may have run is sent again only
// if it is idempotent.
func (h *Handover) Forward(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	if h.reachability() == reachability.Reachable {
		answer := h.forward(ctx, q)
		if !isUnanswered(&answer) || answer.Status != dispatch.NotRun && !q.Route.Idempotent {
			return answer
		}
		q.Service, q.Tried = answer.Service, answer.Tried
	}
	if answer, ended := h.forwardAtPeers(ctx, q); ended {
		return answer
	}
	if h.reachability() == reachability.Unreachable || q.MaybeSent || len(q.Tried) > 0 {
		return h.refuseUnreachable(q)
	}
	// Some connections may still work.
	answer := h.forward(ctx, q)
	if isUnanswered(&answer) {
		answer.TurnIn = unreachableRetry
	}

	return answer
}

// forwardAtPeers has peers send a query to one target, one after the other. It reports whether the query has ended.
func (h *Handover) forwardAtPeers(ctx context.Context, q *dispatch.Query) (answer dispatch.Answer, ended bool) {
	if !peer.CanCarry(q) || !h.canServe(q) {
		return answer, false
	}
	var tried []string
	for len(tried) < maxUnreachableAttempts {
		instance, _ := h.choosePeer(q, tried)
		if instance == nil {
			return answer, false
		}
		tried = append(tried, instance.Name)
		reply, err := h.forwardAt(ctx, q, instance)
		if err == nil {
			reply.Answer.Gatherer = instance.Name

			return reply.Answer, true
		}
		if ctx.Err() != nil {
			return dispatch.Answer{Status: dispatch.Abandoned, Reason: "CallerLeft", Gatherer: instance.Name}, true
		}
		h.log.Log(event.ForwarderFailed, "Request", q.RequestID, "Forwarder", instance.Name, "Error", err)
		if !errors.Is(err, peer.ErrLost) {
			continue
		}
		if !q.Route.Idempotent {
			return dispatch.Answer{Status: dispatch.Unknown, Reason: "ForwarderLost", Gatherer: instance.Name}, true
		}
		if len(reply.Answer.Tried) > 0 {
			q.Tried = reply.Answer.Tried
		} else {
			q.MaybeSent = true
		}
	}

	return answer, false
}

// forwardAt has a peer send the query to one target and returns the peer's reply.
func (h *Handover) forwardAt(ctx context.Context, q *dispatch.Query, i *control.Instance) (reply peer.Reply, err error) {
	now := h.timers.Now()
	roundTrip, acceptTimeout := h.times(i)
	request := &peer.ForwardRequest{
		RequestID: q.RequestID, Route: q.Route.Name, Service: q.Service, Version: q.Version, Method: q.Method, Head: q.Head, Body: q.Body,
		Left: q.Deadline.Sub(now) - answerMargin, Elapsed: q.Elapsed + now.Sub(q.Received) + roundTrip,
		Extra: q.MaybeSent, Tried: q.Tried, Account: q.Account, Priority: q.Priority,
	}
	if q.Scope.IsRestricted() {
		request.Regions = q.Scope.Names()
	}
	if request.Left <= 0 {
		return reply, peer.ErrDeclined
	}
	h.beginCall(i.Name)
	defer func() { h.endCall(i.Name, &reply, err, true, ctx.Err() != nil) }()
	callCtx, cancel := h.timers.WithTimeout(ctx, q.Deadline.Sub(now))
	defer cancel()

	reply, err = h.client.Forward(callCtx, i.Peer, request, acceptTimeout)
	if err == nil && isUnanswered(&reply.Answer) {
		err = lostConnectivity(&reply.Answer)
	}
	h.observeReply(q, i, &reply, err)

	return reply, err
}

// times returns the time that is added to the one that the caller has waited, so that the peer answers early enough, and the time in which the
// peer has to accept a query.
func (h *Handover) times(i *control.Instance) (roundTrip, acceptTimeout time.Duration) {
	roundTrip = h.place.RoundTrip(i.AvailabilityZone)
	acceptTimeout = acceptRoundTrips*roundTrip + acceptMargin
	if h.place.Distance(i.AvailabilityZone) == choice.OtherRegion {
		return roundTrip + otherRegionDelay, acceptTimeout
	}

	return roundTrip + sameRegionDelay, acceptTimeout
}

// observeReply takes what a reply says of the path to the peer, and of the peer's configuration and mirror.
func (h *Handover) observeReply(q *dispatch.Query, i *control.Instance, reply *peer.Reply, err error) {
	if reply.AcceptedAfter > 0 {
		h.place.RoundTrips.Observe(i.AvailabilityZone, reply.AcceptedAfter)
	}
	h.onMirrorRevision(reply.Accepted.Mirror)
	if errors.Is(err, peer.ErrDeclined) && reply.Accepted.Version > q.Version {
		h.onNewerConfiguration(reply.Accepted.Version)
	}
}
