// Package control benchmarks the control plane: membership, the spread of configuration, and calls to the platform.
//
// Live runs whole entry instances over loopback sockets against the stand-in platform, all in this process, and measures
// wall-clock time, bytes and processor time. Simulate runs the same packages with in-memory calls and a fake clock at fleet
// sizes that do not fit on one machine:
//
//	live, err := control.Live(ctx, control.LiveOptions{Sizes: []int{2, 4, 8, 16, 32}, Applies: 30, Seed: 1})
//	live.Print(os.Stdout)
//	simulated, err := control.Simulate(ctx, control.SimulateOptions{Sizes: []int{32, 450}, Seed: 1})
//	simulated.Print(os.Stdout)
package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Error is the class of the errors of this package.
var Error = errs.Class("control bench")

// newBase returns a base file with the given number of replicas in services of 150 shards and 2 replicas for each, as JSON.
// worth makes two base files differ.
func newBase(zones []zone.Zone, replicas int, address func(i int) netip.AddrPort, worth int) (json.RawMessage, error) {
	const replicasOfService = 300
	c := contract.Configuration{AvailabilityZones: zones, Services: make(map[string]contract.Service)}
	for first := 0; first < replicas; first += replicasOfService {
		s := contract.Service{
			Caller: "chattimala", Class: contract.FullPage, Deadline: duration.Duration(170 * time.Millisecond),
			MinimumCoverage: 0.5, Worth: float64(worth), ExtraLoad: 0.05, Idempotent: true, PageSize: 10,
			Slots: 2, Connections: 25, ConnectTime: duration.Duration(6 * time.Millisecond),
		}
		for i := first; i < min(first+replicasOfService, replicas); i++ {
			s.Replicas = append(s.Replicas, contract.Replica{Address: address(i), AvailabilityZone: zones[i%len(zones)]})
		}
		c.Services[fmt.Sprintf("service-%d", first/replicasOfService)] = s
	}

	return json.Marshal(c)
}

// quantile returns the q-quantile of sorted by the nearest rank.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)

	return sorted[min(max(rank, 1), len(sorted))-1]
}

// spread is the distribution of a time.
type spread struct {
	Samples       int
	P50, P99, Max duration.Duration
}

func spreadOf(times []time.Duration) spread {
	sorted := slices.Sorted(slices.Values(times))

	return spread{
		Samples: len(sorted),
		P50:     duration.Duration(quantile(sorted, 0.5)),
		P99:     duration.Duration(quantile(sorted, 0.99)),
		Max:     duration.Duration(quantile(sorted, 1)),
	}
}

// String returns the median, the 99th percentile and the largest value.
func (s spread) String() string {
	return fmt.Sprintf("%v / %v / %v", round(s.P50), round(s.P99), round(s.Max))
}

func round(d duration.Duration) time.Duration {
	if d.Std() > 10*time.Second {
		return d.Std().Round(100 * time.Millisecond)
	}

	return d.Std().Round(100 * time.Microsecond)
}

// Verdict compares a measured value with a target.
type Verdict struct {
	Target   string
	Measured string
	Met      bool
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	word := "MISSED"
	if v.Met {
		word = "met"
	}

	return fmt.Sprintf("%-6s  %s: %s", word, v.Target, v.Measured)
}

// titled returns a title with a line of the same length below.
func titled(title string) string {
	return "\n" + title + "\n" + strings.Repeat("-", len(title)) + "\n"
}
