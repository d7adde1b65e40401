// Package peer hands gathered queries from one instance to another over drpc.
//
// The instance that received a query from its caller calls the one that gathers. The gatherer says at once that it has the query
// and later gives the answer, so that a gatherer that is frozen or cut off is told from one that waits for its last shards:
//
//	client := peer.NewClient(timers)
//	answer, err := client.Gather(ctx, address, query, acceptBound)
//
// Messages are CBOR arrays and check themselves when they are decoded.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	"storj.io/drpc"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

// Error is the class of the errors of this package.
var Error = errs.Class("peer")

// The names of the calls.
const (
	rpcGather = "/hickorynotch.Tier/Gather"
	rpcNotice = "/hickorynotch.Tier/Notice"
)

const (
	// maxHead bounds the request line and headers of a query, as the servers for callers do.
	maxHead = 64 << 10
	// maxShards bounds the shards in a request; the aim is 150.
	maxShards = 4096
	// maxTime bounds the times in a message; no request lasts longer.
	maxTime = 10 * time.Minute
)

// GatherRequest is a query for the shards of a route.
type GatherRequest struct {
	_         struct{} `cbor:",toarray"`
	RequestID string
	Route     string
	// Version is the configuration that the caller's instance has in force. Another one is declined.
	Version uint64
	Method  string
	Head    []byte
	// Left is the time until the query must be answered, Elapsed the time that its caller has waited.
	Left    time.Duration
	Elapsed time.Duration
	// Extra is set if the query was sent to another gatherer before, so that its parts are extra requests.
	Extra bool
	// Shards are the services to gather, in the order of the answer's stamps; empty for all of the route. A subset is answered
	// with the parts at hand once no more are expected in time, however few.
	Shards []string
}

// Check implements checked.
func (r *GatherRequest) Check() error {
	switch {
	case r.RequestID == "":
		return errors.New("field RequestID is empty")
	case r.Route == "":
		return errors.New("field Route is empty")
	case len(r.Shards) > maxShards:
		return fmt.Errorf("field Shards: %d, at most %d", len(r.Shards), maxShards)
	case len(r.Head) == 0 || len(r.Head) > maxHead:
		return fmt.Errorf("field Head: %d bytes, not between 1 and %d", len(r.Head), maxHead)
	case r.Left <= 0 || r.Left > maxTime:
		return fmt.Errorf("field Left: %v is not between 0 and %v", r.Left, maxTime)
	case r.Elapsed < 0 || r.Elapsed > maxTime:
		return fmt.Errorf("field Elapsed: %v is not between 0 and %v", r.Elapsed, maxTime)
	}

	return nil
}

// GatherAccepted is the first answer to a GatherRequest.
type GatherAccepted struct {
	_ struct{} `cbor:",toarray"`
	// Declined says why the query is not gathered; empty if it is.
	Declined string
	// Version is the configuration in force at the gatherer.
	Version uint64
	// Mirror is the newest revision of the targets' mirror that the gatherer knows.
	Mirror uint64
	// Active is the number of queries that the gatherer works on.
	Active int
}

// NoticeRequest carries a notice of the leader.
type NoticeRequest struct {
	_       struct{} `cbor:",toarray"`
	Leader  uint64
	Version uint64
	Mirror  uint64
}

// NoticeTaken answers a NoticeRequest.
type NoticeTaken struct {
	_ struct{} `cbor:",toarray"`
}

// Check implements checked.
func (a *GatherAccepted) Check() error {
	if a.Active < 0 {
		return fmt.Errorf("field Active: %d is negative", a.Active)
	}

	return nil
}

// GatherAnswer is the second and last answer to a GatherRequest.
type GatherAnswer struct {
	_      struct{} `cbor:",toarray"`
	Status dispatch.Status
	Reason string
	// Stamps are those of the parts. The answer of a subset has one for each shard, empty for a missing part.
	Stamps   []string
	Missing  int
	Records  []byte
	Shed     bool
	Attempts int
	Hedges   int
	Retries  int
	Denied   int
	Active   int
	// Early is set if more parts follow.
	Early bool
}

// Check implements checked.
func (a *GatherAnswer) Check() error {
	switch a.Status {
	case dispatch.Answered, dispatch.NotRun, dispatch.Unknown, dispatch.TimedOut, dispatch.Abandoned:
	default:
		return fmt.Errorf("field Status: %q is not known", a.Status)
	}
	if a.Status == dispatch.Answered && len(a.Stamps) == 0 {
		return errors.New("field Stamps is empty in an answer")
	}
	if a.Missing < 0 || a.Active < 0 {
		return fmt.Errorf("fields Missing, Active: %d, %d are not counts", a.Missing, a.Active)
	}

	return nil
}

func newAnswer(a *dispatch.Answer, active int) *GatherAnswer {
	return &GatherAnswer{
		Status: a.Status, Reason: a.Reason, Stamps: a.Stamps, Missing: a.Missing, Records: a.Records, Shed: a.Shed,
		Attempts: a.Attempts, Hedges: a.Hedges, Retries: a.Retries, Denied: a.Denied, Active: active, Early: a.Early,
	}
}

func (a *GatherAnswer) answer() dispatch.Answer {
	return dispatch.Answer{
		Status: a.Status, Reason: a.Reason, Stamps: a.Stamps, Missing: a.Missing, Records: a.Records, Shed: a.Shed,
		Attempts: a.Attempts, Hedges: a.Hedges, Retries: a.Retries, Denied: a.Denied, Early: a.Early,
	}
}

// checked is a message that finds its own faults.
type checked interface{ Check() error }

// encoding is the drpc.Encoding of messages.
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
	if m, ok := message.(checked); ok {
		return m.Check()
	}

	return nil
}
