package target

import (
	"bytes"
	"encoding/json"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Query asks one shard of one index version. It is the body of POST /query.
type Query struct {
	// RequestID is the identity of the caller's request, and AttemptID that of this copy of the shard request.
	RequestID string
	AttemptID string
	Service   string
	Class     contract.Class
	// Version is the index version that the whole request is pinned to, split into Shards shards.
	Version uint64
	Shard   int
	Shards  int
	// Text is the search text, and Key the record key of a OneRecord query.
	Text string `json:",omitempty"`
	Key  string `json:",omitempty"`
	// Limit is the largest number of hits to return.
	Limit int
	// Timeout is the time that remains for the target, without the way back.
	Timeout duration.Duration
	// Idempotent says that running the query twice does no harm.
	Idempotent bool
}

// Check returns the faults of q.
func (q *Query) Check() error {
	var faults fault.List
	if q.RequestID == "" || len(q.RequestID) > MaxIDLength {
		faults.Add("RequestID", "must have 1 to %d characters", MaxIDLength)
	}
	if q.AttemptID == "" || len(q.AttemptID) > MaxIDLength {
		faults.Add("AttemptID", "must have 1 to %d characters", MaxIDLength)
	}
	if q.Service == "" {
		faults.Add("Service", "must not be empty")
	}
	if q.Shards < 1 || q.Shard < 0 || q.Shard >= q.Shards {
		faults.Add("Shard", "%d is not one of %d shards", q.Shard, q.Shards)
	}
	if q.Timeout <= 0 {
		faults.Add("Timeout", "must be positive")
	}

	return faults.Err()
}

// UnmarshalJSON decodes and checks q. Unknown fields are an error.
func (q *Query) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()

	type plain Query
	if err := decodeStrict(data, (*plain)(q)); err != nil {
		return err
	}

	return q.Check()
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()

	return decoder.Decode(into)
}
