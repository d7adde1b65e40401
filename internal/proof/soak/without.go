package soak

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/gateway"
	tier "github.com/hickorynotch/hickorynotch/internal/tier/caller"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/node"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// override switches off one mechanism of an instance.
type override struct {
	adjust  func(*node.Adapters)
	options []node.Option
}

// overrides has the mechanisms that can be switched off. If one of them is off, a soak has to find a violation.
var overrides = map[string]override{
	// Adopts configurations that are older than the one in force.
	"version-fence": {options: []node.Option{node.WithConfigurationOptions(
		control.WithOlder(func(uint64, uint64) bool { return false }))}},
	// Sends requests without the ID of the target that they are meant for, so that another target at the same address runs them.
	"target-check": {adjust: func(a *node.Adapters) {
		appendAttempt := a.Targets.AppendAttempt
		a.Targets.AppendAttempt = func(head []byte, remaining time.Duration, _ string) []byte {
			return appendAttempt(head, remaining, "")
		}
	}},
	// Closes the connections of callers at a planned stop, instead of waiting for the requests in flight.
	"drain": {options: []node.Option{node.WithStop(func(callers *http.Server) {
		// The process exits anyway, so the error does not matter.
		_ = callers.Close()
	})}},
	// Accepts responses without comparing the request ID in them.
	"matching": {adjust: func(a *node.Adapters) {
		decode := a.Targets.DecodeReply
		a.Targets.DecodeReply = func(header http.Header) (target.Reply, error) {
			reply, err := decode(header)
			reply.RequestID = ""

			return reply, err
		}
	}},
	// Refuses requests as not run although they have an unknown outcome or timed out.
	"true-refusals": {options: []node.Option{node.WithDispatch(func(d tier.Dispatch) tier.Dispatch {
		forward := d.Forward
		d.Forward = func(ctx context.Context, q *dispatch.Query) dispatch.Answer {
			answer := forward(ctx, q)
			if answer.Status == dispatch.Unknown || answer.Status == dispatch.TimedOut {
				answer.Status, answer.Result = dispatch.NotRun, nil
			}

			return answer
		}

		return d
	})}},
}

// Mechanisms returns the names of the mechanisms that RunWithout can switch off.
func Mechanisms() []string { return slices.Sorted(maps.Keys(overrides)) }

// RunWithout runs an instance with one mechanism switched off until ctx ends. A soak of such instances has to find a violation.
func RunWithout(ctx context.Context, mechanism, settings string, output io.Writer) error {
	w, ok := overrides[mechanism]
	if !ok {
		return Error.New("unknown mechanism %q, want one of %s", mechanism, strings.Join(Mechanisms(), ", "))
	}

	return gateway.Run(ctx, gateway.Settings{Path: settings, Output: output, Adjust: w.adjust}, w.options...)
}
