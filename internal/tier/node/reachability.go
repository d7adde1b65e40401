package node

import (
	"context"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// reachabilityInterval is the interval at which an instance without connectivity to the targets reports that, because the leader may be a new one.
const reachabilityInterval = time.Second

// notifyReachability is called when it has changed whether this instance reaches the targets.
func (n *Node) notifyReachability(reachability.State) {
	select {
	case n.reachabilityChanged <- struct{}{}:
	default:
	}
}

// reportReachability tells the leader that this instance has no connectivity to the targets, again as long as that lasts, and the end of it, until ctx
// is done.
func (n *Node) reportReachability(ctx context.Context) error {
	reported := false
	for {
		unreachable := n.targetPool.Reachability() != reachability.Reachable
		if unreachable || reported {
			if err := n.members.ReportReachability(ctx, unreachable, n.peerClient.ReportReachability); err != nil {
				n.log.Log(event.NoticeFailed, "Instance", "leader", "Error", err)
			} else {
				reported = unreachable
			}
		}
		var again <-chan time.Time
		if unreachable || reported {
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
