package node

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// reachabilityInterval is the interval at which an instance without a way to the targets reports that, because the leader may be a new one.
const reachabilityInterval = time.Second

// notifyReachability is called when it has changed whether this instance reaches the targets.
func (n *Node) notifyReachability(reachability.State) {
	select {
	case n.reachabilityChanged <- struct{}{}:
	default:
	}
}

// reportReachability tells the leader whether this instance reaches the targets: at each change, and again while it does not or while the
// last report has failed, until ctx is done.
func (n *Node) reportReachability(ctx context.Context) error {
	for {
		unreachable := n.targetPool.Reachability() != reachability.Reachable
		var again <-chan time.Time
		err := n.members.ReportReachability(ctx, unreachable, n.peerClient.ReportReachability)
		if err != nil {
			n.log.Log(event.NoticeFailed, "Instance", "leader", "Error", err)
		}
		if unreachable || err != nil {
			again = n.timers.After(reachabilityInterval)
		}
		select {
		case <-n.reachabilityChanged:
		case <-again:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
