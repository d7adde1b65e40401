// Package peer is the protocol by which one instance delegates a query to another over drpc.
//
// The instance that received the query from its caller calls the gatherer: the instance that sends the query to one replica of
// each shard and merges the parts that they return. The gatherer accepts or declines the query at once and sends the answer later.
// A gatherer that is frozen or partitioned from the network can thus be distinguished from one that waits for its last shards:
//
//	client := peer.NewClient(timers)
//	reply, err := client.Gather(ctx, address, request, acceptBound, nil)
//
// Messages are encoded as CBOR arrays and validated when they are decoded.
package peer

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	"storj.io/drpc"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// Error is the class of the errors of this package.
var Error = errs.Class("peer")

// The RPC names.
const (
	rpcGather = "/hickorynotch.Tier/Gather"
	// rpcGatherBody is rpcGather for a query with a body, which follows as a GatherBody once the peer has accepted the query.
	rpcGatherBody = "/hickorynotch.Tier/GatherBody"
	rpcNotice     = "/hickorynotch.Tier/Notice"
	rpcFollow     = "/hickorynotch.Tier/Follow"
	rpcSuspects   = "/hickorynotch.Tier/Suspects"
)

const (
	// MaxHeadBytes is the maximum size of the request line and headers of a query. The servers for callers may accept more, up to the limit
	// in the configuration.
	MaxHeadBytes = 64 << 10
	// MaxBodyBytes is the maximum size of the body of a query. The servers for callers may accept more here, too.
	MaxBodyBytes = 1 << 20
	// maxShards is the maximum number of shards in a request. The system is designed for 150.
	maxShards = 4096
	// maxDuration is the maximum of the durations in a message. No request lasts longer.
	maxDuration = 10 * time.Minute
)

// GatherRequest asks a peer to gather the parts of all shards of a route, or of a subset of them.
type GatherRequest struct {
	_         struct{} `cbor:",toarray"`
	RequestID string
	Route     string
	// Version is the version of the configuration in force at the sender. The peer declines the query if its own differs.
	Version uint64
	Method  string
	// Head is the request line and the headers that are passed on to targets.
	Head []byte
	// Left is the time remaining until the query must be answered; Elapsed is the time for which its caller has waited.
	Left    time.Duration
	Elapsed time.Duration
	// Extra is set if another gatherer may already have sent the query to targets. The attempts then draw on the budget for extra
	// requests.
	Extra bool
	// Shards is the subset of the route's shards to gather, as names of services. The stamps of the answer have the same order. If
	// it is empty, all shards of the route are gathered. A subset is answered with the available parts, however few, once no more
	// are expected in time.
	Shards []string
	// Body is the body of the query. It is not a part of this message. Neither are Scope, Account and Priority, which are those of
	// dispatch.Query: only the call for queries with a restricted Scope carries them.
	Body     []byte       `cbor:"-"`
	Scope    region.Scope `cbor:"-"`
	Account  string       `cbor:"-"`
	Priority int          `cbor:"-"`
}

// GatherBody carries the body of a query that the peer has accepted. Sent with the GatherRequest, a long body would delay the acceptance.
type GatherBody struct {
	_    struct{} `cbor:",toarray"`
	Body []byte
}

// Check implements validator.
func (b *GatherBody) Check() error {
	if len(b.Body) == 0 || len(b.Body) > MaxBodyBytes {
		return fmt.Errorf("field Body: %d bytes, not between 1 and %d", len(b.Body), MaxBodyBytes)
	}

	return nil
}

// Check implements validator.
func (r *GatherRequest) Check() error {
	switch {
	case r.RequestID == "":
		return errors.New("field RequestID is empty")
	case r.Route == "":
		return errors.New("field Route is empty")
	case len(r.Shards) > maxShards:
		return fmt.Errorf("field Shards: %d, at most %d", len(r.Shards), maxShards)
	case len(r.Head) == 0 || len(r.Head) > MaxHeadBytes:
		return fmt.Errorf("field Head: %d bytes, not between 1 and %d", len(r.Head), MaxHeadBytes)
	case r.Left <= 0 || r.Left > maxDuration:
		return fmt.Errorf("field Left: %v is not between 0 and %v", r.Left, maxDuration)
	case r.Elapsed < 0 || r.Elapsed > maxDuration:
		return fmt.Errorf("field Elapsed: %v is not between 0 and %v", r.Elapsed, maxDuration)
	}

	return nil
}

// namesLength reports whether the head names the length of a body, which is written to targets together with the body only.
func (r *GatherRequest) namesLength() bool {
	return bytes.Contains(r.Head, []byte("\r\nContent-Length:"))
}

// GatherAccepted is the first response to a GatherRequest. It accepts or declines the query.
type GatherAccepted struct {
	_ struct{} `cbor:",toarray"`
	// Declined is the reason for which the query is declined, such as Stopping; empty if the query is accepted.
	Declined string
	// Version is the version of the configuration in force at the gatherer.
	Version uint64
	// Mirror is the newest revision that the gatherer knows of the leader's mirror of the registry of targets.
	Mirror uint64
	// Active is the number of queries that the gatherer is gathering for peers, including this one.
	Active int
}

// declined returns the error of a query that was declined, nil if it was accepted.
func (a *GatherAccepted) declined() error {
	switch a.Declined {
	case "":
		return nil
	case Unreachable:
		return ErrUnreachable
	default:
		return ErrDeclined
	}
}

// NoticeRequest carries a control.Notice from the leader.
type NoticeRequest struct {
	_       struct{} `cbor:",toarray"`
	Leader  uint64
	Name    string
	Peer    netip.AddrPort
	Version uint64
	Mirror  uint64
}

// NoticeResponse acknowledges a NoticeRequest.
type NoticeResponse struct {
	_ struct{} `cbor:",toarray"`
}

// SuspectsRequest carries what an instance has observed of queries that seem to crash targets.
type SuspectsRequest struct {
	_       struct{} `cbor:",toarray"`
	Records []suspectRecord
}

// Check implements validator.
func (r *SuspectsRequest) Check() error { return checkSuspects(r.Records) }

// SuspectsResponse acknowledges a SuspectsRequest.
type SuspectsResponse struct {
	_ struct{} `cbor:",toarray"`
}

// Check implements validator.
func (a *GatherAccepted) Check() error {
	if a.Active < 0 {
		return fmt.Errorf("field Active: %d is negative", a.Active)
	}

	return nil
}

// GatherAnswer carries the answer to a GatherRequest. For a subset, the gatherer may send the parts available at the objective in
// an additional message with Early set before the last one. The fields without a comment are those of dispatch.Answer.
type GatherAnswer struct {
	_      struct{} `cbor:",toarray"`
	Status dispatch.Status
	Reason string
	// Stamps are the stamps of the parts. The answer to a subset has a stamp for each shard, empty for a missing part.
	Stamps   []string
	Missing  int
	Records  []byte
	Shed     bool
	Attempts int
	Hedges   int
	Retries  int
	Denied   int
	// Active is the number of queries that the gatherer is gathering for peers, including this one.
	Active int
	// Early is set if another GatherAnswer with more parts follows.
	Early bool
}

// Check implements validator.
func (a *GatherAnswer) Check() error {
	if err := checkStatus(a.Status); err != nil {
		return err
	}
	if a.Status == dispatch.Answered && len(a.Stamps) == 0 {
		return errors.New("field Stamps is empty in an answer")
	}
	if a.Missing < 0 || a.Active < 0 {
		return fmt.Errorf("fields Missing, Active: %d, %d; neither may be negative", a.Missing, a.Active)
	}

	return nil
}

func checkStatus(s dispatch.Status) error {
	switch s {
	case dispatch.Answered, dispatch.NotRun, dispatch.Unknown, dispatch.TimedOut, dispatch.Abandoned:
		return nil
	default:
		return fmt.Errorf("field Status: %q is not known", s)
	}
}

func newGatherAnswer(a *dispatch.Answer, active int) *GatherAnswer {
	return &GatherAnswer{
		Status: a.Status, Reason: a.Reason, Stamps: a.Stamps, Missing: a.Missing, Records: a.Records, Shed: a.Shed,
		Attempts: a.Attempts, Hedges: a.Hedges, Retries: a.Retries, Denied: a.Denied, Active: active, Early: a.MoreFollows,
	}
}

func (a *GatherAnswer) toDispatch() dispatch.Answer {
	return dispatch.Answer{
		Status: a.Status, Reason: a.Reason, Stamps: a.Stamps, Missing: a.Missing, Records: a.Records, Shed: a.Shed,
		Attempts: a.Attempts, Hedges: a.Hedges, Retries: a.Retries, Denied: a.Denied, MoreFollows: a.Early,
	}
}

// validator is a message that is validated when it is decoded.
type validator interface{ Check() error }

// encoding is the drpc.Encoding of this package's messages. Unmarshal also validates them.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(message)

	return data, Error.Wrap(err)
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, message drpc.Message) (err error) {
	defer func() { err = Error.Wrap(err) }()

	if err := cbor.Unmarshal(data, message); err != nil {
		return err
	}
	if m, ok := message.(validator); ok {
		return m.Check()
	}

	return nil
}
