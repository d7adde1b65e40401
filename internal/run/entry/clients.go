package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/intake"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
)

// guardListeners makes the listeners keep the limits for clients.
func (e *Entry) guardListeners() error {
	memory := e.settings.Memory
	if memory <= 0 {
		memory = DefaultMemory
	}
	e.guard = inbound.NewGuard(intake.DeriveLimits(memory, inbound.Descriptors(0)), e.timers, inbound.WithLog(e.log),
		inbound.WithMetrics(e.metrics), inbound.WithRetry(func(header http.Header, after time.Duration) {
			header.Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
		}))
	limits := func() inbound.Limits {
		return inbound.Limits{HeadBytes: caller.MaxHeadBytes, HeadTimeout: caller.HeadTimeout}
	}
	e.listeners.caller = e.guard.Listen(e.listeners.caller, intake.Callers, limits)
	e.listeners.operator = e.guard.Listen(e.listeners.operator, intake.Metrics, limits)
	e.listeners.peer = e.guard.Listen(e.listeners.peer, intake.Peers, nil)

	return e.guard.Observe()
}
