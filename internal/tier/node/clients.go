package node

import (
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/intake"
	"github.com/hickorynotch/hickorynotch/internal/tier/caller"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
)

const (
	// probeHeadBytes and probeHeadTimeout limit the heads of readiness probes and of requests for metrics, which have a few hundred bytes.
	probeHeadBytes   = 16 << 10
	probeHeadTimeout = 10 * time.Second
	// probeIdleTimeout is the time after which an idle connection for readiness or metrics is closed. Metrics are usually collected every
	// 15 to 60 s.
	probeIdleTimeout = 2 * time.Minute
)

// newGuard returns the guard of the listeners.
func (n *Node) newGuard(codec caller.Codec) *inbound.Guard {
	options := []inbound.Option{inbound.WithLog(n.log), inbound.WithMetrics(n.metrics)}
	if codec.SetRetry != nil {
		options = append(options, inbound.WithRetry(codec.SetRetry))
	}

	return inbound.NewGuard(intake.DeriveLimits(n.settings.Memory, inbound.Descriptors(n.settings.Descriptors)), n.timers, options...)
}

// headLimits returns the limits in force for the heads of callers' requests.
func (n *Node) headLimits() inbound.Limits {
	limits := n.callerLimits()

	return inbound.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout}
}

// probeLimits returns the limits for the heads of readiness probes and of requests for metrics.
func probeLimits() inbound.Limits {
	return inbound.Limits{HeadBytes: probeHeadBytes, HeadTimeout: probeHeadTimeout}
}

// probeServer returns a server for readiness probes or metrics.
func (n *Node) probeServer(handler http.Handler) *http.Server {
	server := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: probeIdleTimeout, Handler: handler}
	n.guard.AttachSimple(server)

	return server
}
