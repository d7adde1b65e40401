// Package operator speaks HTTP to operators: metrics as Prometheus text and the status of an instance as JSON.
//
//	GET /metrics  Prometheus text
//	GET /status   Status
//	GET /debug/pprof/  profiles, when the instance is started with profiling on
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Error is the class of the errors of this package.
var Error = errs.Class("operator")

// Paths of the HTTP interface for operators.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
)

// maxStatusBytes bounds the reply that FetchStatus reads: 450 members of about 200 bytes, with room.
const maxStatusBytes = 1 << 20

// Member is a member of the fleet as an instance sees it.
type Member struct {
	Name             string
	AvailabilityZone zone.Zone
	Peer             netip.AddrPort
	State            string
}

// Status is what an instance says of itself.
type Status struct {
	Name             string
	AvailabilityZone zone.Zone
	Ready            bool
	// Reason says why the instance is not ready.
	Reason string `json:",omitempty"`
	// Revision and ApplyID are those of the configuration in force.
	Revision uint64
	ApplyID  string
	Services []string
	Members  []Member
	// StoreCalls, StoreBytes (of values), ControlBytes and ControlMessages count control traffic since the start.
	StoreCalls      uint64
	StoreBytes      uint64
	ControlBytes    uint64
	ControlMessages uint64
}

// NewHandler serves metrics and status.
func NewHandler(metrics http.Handler, status func() Status, profiling bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, metrics)
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A reply that cannot be written has no one left to read it.
		_ = json.NewEncoder(w).Encode(status())
	})
	if profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}

	return mux
}

// FetchStatus asks the instance at address for its status.
func FetchStatus(ctx context.Context, address netip.AddrPort, timeout time.Duration) (s Status, err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, StatusPath), nil)
	if err != nil {
		return Status{}, err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return Status{}, err
	}
	defer func() { err = errors.Join(err, reply.Body.Close()) }()
	if reply.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("%s: status %s", address, reply.Status)
	}
	if err := json.NewDecoder(io.LimitReader(reply.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, fmt.Errorf("%s: %w", address, err)
	}

	return s, nil
}
