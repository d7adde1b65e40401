package target

import (
	"net/http"
	"time"
)

// Load is what a target reports of its work, that of all instances together.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the target's machine, relative to the usual time; 1 is as usual.
	Slowdown float64
}

// Reply is what the headers of a target's response say.
type Reply struct {
	// Stamp proves which request the body answers. It is passed on to the caller unread.
	Stamp string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// RequestID is the ID of the request that the response answers; empty if the target did not say.
	RequestID string
	// Load is nil if the target did not report it.
	Load *Load
	// IdleTimeout is the time after which the target closes an idle connection; zero if it did not say.
	IdleTimeout time.Duration
	// Fault names headers that could not be read and count as absent. The response itself is sound.
	Fault error
}

// Codec translates between the fields of this package and the headers that targets use.
type Codec struct {
	// AppendAttempt appends the header lines of one attempt: the time that remains and the ID of the target that is meant.
	AppendAttempt func(head []byte, remaining time.Duration, targetID string) []byte
	// DecodeReply reads the headers of a response. It returns an error if they do not allow the response to be used.
	DecodeReply func(header http.Header) (Reply, error)
}
