package target

import (
	"net/http"
	"time"
)

// Load is the load that a target reports. It counts the requests of all instances, not only of this one.
type Load struct {
	// Running and Waiting are the numbers of requests that the target executes and has queued.
	Running int
	Waiting int
	// Slots is the number of requests that the target can execute concurrently.
	Slots int
	// Slowdown is the factor by which the target's execution time exceeds its usual one; 1 means normal speed, 0 not reported.
	Slowdown float64
}

// Reply holds the decoded headers of a target's response.
type Reply struct {
	// Stamp is an opaque token that proves which request the body answers. It is passed on to the caller unchanged.
	Stamp string
	// NotRun is set if the target states that it did not execute the request.
	NotRun bool
	// RequestID is the ID of the request that the response answers; empty if the response has no such header.
	RequestID string
	// Load is nil if the target did not report it.
	Load *Load
	// Leaving is set if the target states that its process is about to end.
	Leaving bool
	// RetryAfter is the time for which the target wants no requests of this instance, if it has refused the request. 0 if it names none.
	RetryAfter time.Duration
	// RateLimit is the number of requests a second that the target accepts from all instances together, nil if it names no limit.
	RateLimit *float64
	// RateLimitInvalid is set if the target names a limit that cannot be decoded. The limit that it named before stays in force.
	RateLimitInvalid bool
	// IdleTimeout is the time after which the target closes an idle connection; zero if the target did not announce one.
	IdleTimeout time.Duration
	// Fault describes headers that could not be parsed. They are treated as absent; the response itself is valid.
	Fault error
}

// Codec translates between the types of this package and the HTTP headers of the platform's targets.
type Codec struct {
	// AppendAttempt appends the header lines that differ between attempts: the time remaining until the deadline and the ID of the
	// target that the attempt is addressed to.
	AppendAttempt func(head []byte, remaining time.Duration, targetID string) []byte
	// DecodeReply parses the headers of a response. It returns an error if they make the response unusable.
	DecodeReply func(header http.Header) (Reply, error)
}
