package caller

import (
	"bytes"
	"encoding/json"
	"regexp"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Request is a caller's query. It is the body of POST /query.
type Request struct {
	// RequestID identifies the request. It is required for services that are not idempotent; others get one.
	RequestID string `json:",omitempty"`
	Service   string
	// Text is the search text, and Key the key of the record that a OneRecord service reads.
	Text string `json:",omitempty"`
	Key  string `json:",omitempty"`
	// Limit is the number of hits wanted; zero means the page size of the service.
	Limit int `json:",omitempty"`
	// Timeout shortens the deadline of the service; zero leaves it as it is.
	Timeout duration.Duration `json:",omitempty"`
	// Generated is true when the caller sent no RequestID and the Handler generated one. Such a request must not run on a
	// service that is not idempotent, because the caller could not repeat it under the same RequestID.
	Generated bool `json:"-"`
}

// idShape excludes separators, because a RequestID becomes part of a key in the platform's store.
var idShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Check returns the faults of r that can be seen without a configuration.
func (r *Request) Check() error {
	var faults fault.List
	if len(r.RequestID) > MaxIDLength {
		faults.Add("RequestID", "has %d characters, at most %d are accepted", len(r.RequestID), MaxIDLength)
	} else if r.RequestID != "" && !idShape.MatchString(r.RequestID) {
		faults.Add("RequestID", "%q is not a letter or digit followed by letters, digits, '.', '_', ':' or '-'", r.RequestID)
	}
	if r.Service == "" {
		faults.Add("Service", "must not be empty")
	}
	if r.Limit < 0 || r.Limit > MaxLimit {
		faults.Add("Limit", "%d is not within 0 to %d", r.Limit, MaxLimit)
	}
	if r.Timeout < 0 {
		faults.Add("Timeout", "must not be negative")
	}

	return faults.Err()
}

// UnmarshalJSON decodes and checks r. Unknown fields are an error.
func (r *Request) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()

	type plain Request
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(r)); err != nil {
		return err
	}

	return r.Check()
}

// Snapshot names the index version that an answer comes from.
type Snapshot struct {
	Version uint64
	Shards  int
}

// Coverage states how much of the index an answer covers.
type Coverage struct {
	Asked    int
	Answered int
	// Missing lists the shards that did not answer.
	Missing []int `json:",omitempty"`
	// Whole is true when every shard of the snapshot that the class needs answered.
	Whole bool
}

// Fraction returns the answered part of what was asked, 0 when nothing was asked.
func (c Coverage) Fraction() float64 {
	if c.Asked == 0 {
		return 0
	}

	return float64(c.Answered) / float64(c.Asked)
}

// Answer is the reply to a request that ran.
type Answer struct {
	RequestID string
	Service   string
	Snapshot  Snapshot
	Coverage  Coverage
	Hits      []target.Hit
}
