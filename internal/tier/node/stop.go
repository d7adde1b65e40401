package node

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// notReadyFraction is the fraction of the stop timeout after which callers are asked to close their connections. Until then the
	// instance only reports that it is not ready, so that the load balancer removes it. The balancer probes every second and
	// removes an instance after two failed probes.
	notReadyFraction = 0.45
	// acceptFraction is the fraction of the stop timeout after which no new connections are accepted. Until then the load balancer
	// may still open some, if too few other instances are ready.
	acceptFraction = 0.72
	// endFraction is the fraction of the stop timeout after which the requests that are still in flight are answered with 504.
	endFraction = 0.9
	// exitFraction is the fraction of the stop timeout after which the process exits on its own, before it is terminated by force.
	exitFraction = 0.95
	// drainPollInterval is the interval at which drainPeers polls the number of queries in progress.
	drainPollInterval = 20 * time.Millisecond
)

// stop shuts the callers' server down gracefully. The instance first reports that it is not ready, then asks callers with each
// answer to close their connection, then closes the listener and idle connections and waits for the requests in flight and the
// queries gathered for peers. Requests that no target has answered shortly before the process must exit are answered with 504.
func (n *Node) stop(callers *http.Server) {
	begin := n.timers.Now()
	timeAt := func(fraction float64) time.Time {
		return begin.Add(time.Duration(fraction * float64(n.reloaded.Load().StopTimeout)))
	}
	n.stopping.Store(true)
	close(n.stopStarted)
	n.log.Log(event.InstanceStopping, "InFlight", n.handler.InFlight())
	<-n.timers.After(n.timers.Until(timeAt(notReadyFraction)))
	n.handler.CloseConnections()
	<-n.timers.After(n.timers.Until(timeAt(acceptFraction)))

	ctx, cancel := n.timers.WithTimeout(context.Background(), n.timers.Until(timeAt(exitFraction)))
	defer cancel()
	defer n.timers.AfterFunc(n.timers.Until(timeAt(endFraction)), n.handler.EndRequests)()
	err := callers.Shutdown(ctx)
	n.drainPeers(ctx)
	n.log.Log(event.InstanceStopped, "InFlight", n.handler.InFlight(), "Error", err)
}

// drainPeers waits until no query is being gathered for a peer, or until ctx is done.
func (n *Node) drainPeers(ctx context.Context) {
	for n.peerServer.Active() > 0 && ctx.Err() == nil {
		select {
		case <-n.timers.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}
