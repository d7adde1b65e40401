// Package caller speaks HTTP to callers, the customers' programs that send queries.
//
// A caller posts a Request and gets an Answer, which states its snapshot and coverage, or a Refusal, which states
// whether the request may have run.
//
//	POST /query    200 Answer, other codes Refusal
//	GET  /healthz  200 while the process lives
//	GET  /readyz   200 while the balancer may send requests, 503 otherwise
package caller

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("caller")

// Paths of the HTTP interface for callers and the balancer.
const (
	QueryPath  = "/query"
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// Bounds of a request and of an answer.
const (
	MaxRequestBytes = 64 << 10
	MaxHeadBytes    = 16 << 10
	HeadTimeout     = 5 * time.Second
	MaxIDLength     = 128
	MaxLimit        = 1000
	// MaxAnswerBytes is what a Client accepts: the largest reply of a target, twice.
	MaxAnswerBytes = 8 << 20
)
