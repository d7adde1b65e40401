// Package target speaks HTTP to targets, the back-end processes that hold shards.
//
// A Query asks one shard of one index version. A target answers with a Reply that repeats what was asked, so that a
// late, doubled or misdirected reply is recognised, or with a Refusal that says that the query did not run. Every
// answer carries a Report of what the target holds and how loaded it believes itself to be.
//
//	POST /query   200 Reply, 503 or 409 Refusal
//	GET  /status  200 Report
//
// A failed attempt is a *Failure. Its Outcome says whether the query may have run: it is NotRun before the first byte
// was handed to a connection or when the target said so, and Unknown otherwise.
package target

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("target")

// Paths of the HTTP interface of a target.
const (
	QueryPath  = "/query"
	StatusPath = "/status"
)

// Bounds of what is accepted from outside.
const (
	MaxIDLength   = 128
	MaxReplyBytes = 4 << 20
	MaxHoldings   = 64
)
