package caller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Code names the reason of a refusal.
type Code string

// The reasons of a refusal.
const (
	BadRequest           Code = "BadRequest"           // the request does not decode or check
	TooLarge             Code = "TooLarge"             // the body is over MaxRequestBytes
	UnknownService       Code = "UnknownService"       // the configuration has no such service
	NotReady             Code = "NotReady"             // the instance has no configuration or is stopping
	Overloaded           Code = "Overloaded"           // admission refused the request
	TooLate              Code = "TooLate"              // the deadline leaves no time to run the request
	NoTarget             Code = "NoTarget"             // no usable replica could be reached
	ClaimUnavailable     Code = "ClaimUnavailable"     // the store cannot say whether a copy of the request runs
	Duplicate            Code = "Duplicate"            // a copy of the request was taken before
	InsufficientCoverage Code = "InsufficientCoverage" // fewer shards answered than the contract demands
	Lost                 Code = "Lost"                 // the target was touched and no answer came
	Unreachable          Code = "Unreachable"          // a Client could not open a connection to the instance
)

// Refusal is the reply to a request that gets no answer. It is the body of every status other than 200.
type Refusal struct {
	RequestID string
	Service   string
	// Outcome says whether the request may have run.
	Outcome target.Outcome
	Code    Code
	Message string
	// RetryAfter is a hint for NotRun refusals; zero means none.
	RetryAfter duration.Duration `json:",omitempty"`
	// NewRequestID is true when a retry needs another RequestID, because the claim of this one could not be deleted.
	NewRequestID bool `json:",omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// After sets the hint for a retry and returns r.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = duration.Duration(d)

	return r
}

// Status returns the HTTP status of r. A load balancer may repeat a request on 429 and 503, so that these are used only when
// the request did not run.
func (r *Refusal) Status() int {
	if r.Code == Duplicate {
		return http.StatusConflict
	}
	if r.Outcome != target.NotRun {
		if r.Code == TooLate {
			return http.StatusGatewayTimeout
		}

		return http.StatusBadGateway
	}
	switch r.Code {
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownService:
		return http.StatusNotFound
	case Overloaded:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
