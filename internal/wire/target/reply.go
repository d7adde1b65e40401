package target

import (
	"fmt"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Hit is one record that matches a query.
type Hit struct {
	Key   string
	Score float64
	Body  string `json:",omitempty"`
}

// Reply is a target's answer to a Query. The identity fields repeat those of the query.
type Reply struct {
	RequestID string
	AttemptID string
	Service   string
	Version   uint64
	Shard     int
	Shards    int
	Hits      []Hit
	Report    Report
	// Queued is how long the request waited at the target's owner. The owner sets it; targets do not know it.
	Queued time.Duration `json:"-" cbor:",omitempty"`
}

// UnmarshalJSON decodes and checks r.
func (r *Reply) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()

	type plain Reply
	if err := decodeStrict(data, (*plain)(r)); err != nil {
		return err
	}

	return r.Report.Check()
}

// Matches returns an error that names the first identity field in which r differs from q.
func (r *Reply) Matches(q *Query) error {
	switch {
	case r.RequestID != q.RequestID:
		return fmt.Errorf("reply to request %q, want %q", r.RequestID, q.RequestID)
	case r.AttemptID != q.AttemptID:
		return fmt.Errorf("reply to attempt %q, want %q", r.AttemptID, q.AttemptID)
	case r.Service != q.Service:
		return fmt.Errorf("reply of service %q, want %q", r.Service, q.Service)
	case r.Version != q.Version:
		return fmt.Errorf("reply from version %d, want %d", r.Version, q.Version)
	case r.Shard != q.Shard || r.Shards != q.Shards:
		return fmt.Errorf("reply from shard %d of %d, want %d of %d", r.Shard, r.Shards, q.Shard, q.Shards)
	}

	return nil
}

// Holding is one index version that a target can serve, with the shard of it that the target holds.
type Holding struct {
	Version uint64
	Shard   int
	Shards  int
}

// Report is what a target says of itself. It may lag or mislead.
type Report struct {
	// Incarnation changes whenever the target process starts.
	Incarnation uint64
	// Service is the query service that the target answers for, empty if it answers for any.
	Service  string
	Draining bool
	Cold     bool
	InFlight int
	Slots    int
	Holdings []Holding
}

// Check returns the faults of r.
func (r *Report) Check() error {
	var faults fault.List
	if len(r.Holdings) > MaxHoldings {
		faults.Add("Report.Holdings", "%d entries, at most %d are accepted", len(r.Holdings), MaxHoldings)
	}
	for i, h := range r.Holdings {
		if h.Shards < 1 || h.Shard < 0 || h.Shard >= h.Shards {
			faults.Add(fmt.Sprintf("Report.Holdings[%d].Shard", i), "%d is not one of %d shards", h.Shard, h.Shards)
		}
	}

	return faults.Err()
}
