// Package coverage decides when a scatter-gather query stops waiting for the last shards and is answered with the partial results
// (parts) that have arrived.
//
// It is designed for queries in which one of many shards is late or has no replica. The worth of an answer is the square of the
// fraction of shards that it covers, and drops to a small fraction after the latency objective. One missing shard of 20
// costs a tenth of the worth, but a late answer costs nine tenths. A query therefore waits for the last shards until the objective
// and no longer:
//
//	verdict := coverage.Decide(coverage.Facts{Shards: 20, Parts: 19, Minimum: 18, Elapsed: e, Objective: o})
//	if verdict.Return {
//		// answer with the 19 parts
//	}
package coverage

import "time"

// Facts is the state of a scatter-gather query.
type Facts struct {
	// Shards is the number of shards that the query was sent to. Parts is the number of shards that have answered, and Failed the
	// number of those that cannot answer any more.
	Shards int
	Parts  int
	Failed int
	// Minimum is the smallest number of shards that an answer must cover.
	Minimum int
	// Elapsed is the time since the caller's first attempt at the request, as far as it is known.
	Elapsed time.Duration
	// Objective is the latency objective, counted like Elapsed from the caller's first attempt. ReturnPath is the time that the
	// answer takes to reach the caller.
	Objective  time.Duration
	ReturnPath time.Duration
}

// Verdict says whether the query ends now and, if not, when Decide must be called again.
type Verdict struct {
	// Return is set if the query must be answered with the parts received so far. Fail is set if the minimum cannot be
	// reached any more.
	Return bool
	Fail   bool
	// Wait is the time after which the verdict changes even if no other shard answers. Zero means that it changes only when
	// another shard answers or fails.
	Wait   time.Duration
	Reason string
}

// Decide reports whether the query is answered, fails or continues to wait.
func Decide(f Facts) Verdict {
	switch answerBy := f.Objective - f.ReturnPath; {
	case f.Parts == f.Shards:
		return Verdict{Return: true, Reason: "Whole"}
	case f.Shards-f.Failed < f.Minimum:
		return Verdict{Fail: true, Reason: "CoverageOutOfReach"}
	case f.Parts+f.Failed == f.Shards:
		return Verdict{Return: true, Reason: "NothingOutstanding"}
	case f.Parts < f.Minimum:
		return Verdict{Reason: "BelowMinimum"}
	case f.Elapsed >= answerBy:
		return Verdict{Return: true, Reason: "ObjectiveReached"}
	default:
		return Verdict{Wait: answerBy - f.Elapsed, Reason: "WithinObjective"}
	}
}
