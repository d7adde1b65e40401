// Package coverage decides when a gathered query stops waiting for its last shards.
//
// It answers a load in which one shard of many is late or has no replica. The worth of an answer grows with the square of its
// share of the shards and falls to a fraction once the latency objective has passed. A missing shard of 20 costs a tenth of the
// worth and lateness nine tenths, so the last shards are awaited until the objective and no longer:
//
//	verdict := coverage.Decide(coverage.Facts{Shards: 20, Parts: 19, Minimum: 18, Elapsed: e, Objective: o})
//	if verdict.Return {
//		// answer with the 19 parts
//	}
package coverage

import "time"

// Facts is the state of a gathered query.
type Facts struct {
	// Shards is the number of shards, Parts those that have answered, Failed those that cannot answer any more.
	Shards int
	Parts  int
	Failed int
	// Minimum is the smallest number of parts that makes an answer.
	Minimum int
	// Elapsed is the time since the caller sent the request for the first time, as far as it is known.
	Elapsed time.Duration
	// Objective is the time within which an answer has its full worth. ReturnPath is what the answer needs to the caller.
	Objective  time.Duration
	ReturnPath time.Duration
}

// Verdict says whether the query ends now, and otherwise when to decide again.
type Verdict struct {
	// Return is set if the parts at hand are the answer, Fail if no answer is possible any more.
	Return bool
	Fail   bool
	// Wait is the time after which the verdict changes without another part; zero if it does not.
	Wait   time.Duration
	Reason string
}

// Decide returns what to do with the parts at hand.
func Decide(f Facts) Verdict {
	switch cut := f.Objective - f.ReturnPath; {
	case f.Parts == f.Shards:
		return Verdict{Return: true, Reason: "Whole"}
	case f.Shards-f.Failed < f.Minimum:
		return Verdict{Fail: true, Reason: "CoverageOutOfReach"}
	case f.Parts+f.Failed == f.Shards:
		return Verdict{Return: true, Reason: "NothingOutstanding"}
	case f.Parts < f.Minimum:
		return Verdict{Reason: "BelowMinimum"}
	case f.Elapsed >= cut:
		return Verdict{Return: true, Reason: "ObjectiveReached"}
	default:
		return Verdict{Wait: cut - f.Elapsed, Reason: "WithinObjective"}
	}
}
