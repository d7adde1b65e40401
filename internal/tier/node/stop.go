package node

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// noticeShare is the part of the stop timeout in which the balancer notices that the instance is not ready. It asks each
	// second and takes an instance out after two misses.
	noticeShare = 0.45
	// acceptShare is the part of the stop timeout after which no new connections are accepted. Until then the balancer may
	// still send some, if too few other instances are ready.
	acceptShare = 0.72
	// endShare is the part of the stop timeout after which the process ends, before it is ended by force.
	endShare = 0.95
	// drainPeriod is the time between two looks at the queries of peers.
	drainPeriod = 20 * time.Millisecond
)

// stop finishes what is in flight. Callers learn first from the readiness and then from each answer that they should use other
// connections; idle connections are closed before the end.
func (n *Node) stop(callers *http.Server) {
	started := n.timers.Now()
	share := func(of float64) time.Time {
		return started.Add(time.Duration(of * float64(n.bounds.Load().StopTimeout)))
	}
	n.stopping.Store(true)
	close(n.stopBegan)
	n.log.Log(event.InstanceStopping, "InFlight", n.handler.InFlight())
	<-n.timers.After(n.timers.Until(share(noticeShare)))
	n.handler.Close()
	<-n.timers.After(n.timers.Until(share(acceptShare)))

	ctx, cancel := n.timers.WithTimeout(context.Background(), n.timers.Until(share(endShare)))
	defer cancel()
	err := callers.Shutdown(ctx)
	n.drainPeers(ctx)
	n.log.Log(event.InstanceStopped, "InFlight", n.handler.InFlight(), "Error", err)
}

// drainPeers waits until no query is gathered for a peer.
func (n *Node) drainPeers(ctx context.Context) {
	for n.peerServer.Active() > 0 && ctx.Err() == nil {
		select {
		case <-n.timers.After(drainPeriod):
		case <-ctx.Done():
		}
	}
}
