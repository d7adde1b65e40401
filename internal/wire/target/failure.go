package target

import (
	"errors"
	"fmt"
)

// Outcome says whether a query that gave no reply ran.
type Outcome string

// The outcomes of a failed attempt.
const (
	// NotRun means that the query certainly did not run.
	NotRun Outcome = "NotRun"
	// Unknown means that the query may have run.
	Unknown Outcome = "Unknown"
)

// Code names the reason of a failure.
type Code string

// The reasons that a target gives, all of them NotRun.
const (
	Shed               Code = "Shed"
	Draining           Code = "Draining"
	TooLate            Code = "TooLate"
	Overconnected      Code = "Overconnected"
	VersionUnavailable Code = "VersionUnavailable"
	BadQuery           Code = "BadQuery"
)

// The reasons that this side finds.
const (
	Unreachable Code = "Unreachable" // no connection could be opened
	Broken      Code = "Broken"      // the connection failed after the first byte was written
	Stalled     Code = "Stalled"     // the time ran out before any byte of a reply
	Cancelled   Code = "Cancelled"   // the caller went away or a hedge won
	Malformed   Code = "Malformed"   // the reply does not decode, is truncated or too large
	Mismatched  Code = "Mismatched"  // the reply belongs to another query
	QueueFull   Code = "QueueFull"   // the owner's queue for the target is at its bound
	// Waiting means that the owner gave an attempt back that waited for a slot, for another replica.
	Waiting Code = "Waiting"
	// OwnerLeaving means that the instance that was taken for the owner stops and takes no relays.
	OwnerLeaving Code = "OwnerLeaving"
)

// Refusal is the body with which a target says that a query did not run. The identity fields repeat those of the query,
// because a doubled refusal that arrives on a reused connection must not be taken for the refusal of the next query.
type Refusal struct {
	RequestID string
	AttemptID string
	Code      Code
	Message   string
	// NotRun is true when the target vouches that the query did not run.
	NotRun bool
	Report Report
}

// UnmarshalJSON decodes and checks r.
func (r *Refusal) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = Error.Wrap(err) }()

	type plain Refusal
	if err := decodeStrict(data, (*plain)(r)); err != nil {
		return err
	}
	switch r.Code {
	case Shed, Draining, TooLate, Overconnected, VersionUnavailable, BadQuery:
	default:
		return fmt.Errorf("Code: %q is not a code of a refusal", r.Code)
	}

	return r.Report.Check()
}

// Matches returns an error that names the first identity field in which r differs from q.
func (r *Refusal) Matches(q *Query) error {
	switch {
	case r.RequestID != q.RequestID:
		return fmt.Errorf("refusal of request %q, want %q", r.RequestID, q.RequestID)
	case r.AttemptID != q.AttemptID:
		return fmt.Errorf("refusal of attempt %q, want %q", r.AttemptID, q.AttemptID)
	}

	return nil
}

// Failure is the error of an attempt that gave no reply.
type Failure struct {
	Outcome Outcome
	Code    Code
	Message string
	// Report is set when the target sent one.
	Report *Report
	// Reused is true when the attempt failed on a connection that had served others, which says nothing about the target.
	Reused bool
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// OutcomeOf returns the outcome that err stands for. An error that is no Failure is Unknown, the safe assumption.
func OutcomeOf(err error) Outcome {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Outcome
	}

	return Unknown
}
