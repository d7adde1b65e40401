package request_test

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// judgeOutcomes compares the outcomes that the callers of one run saw with the journals of the targets. A nil error means that the
// guarantees 1 to 5 held. Broken connections are accepted only if the instance was killed.
func judgeOutcomes(all []outcome, journals []standin.Journal, killed bool) error {
	var violations []error
	report := func(o *outcome, guarantee int, format string, args ...any) {
		violations = append(violations, fmt.Errorf("guarantee %d, %s: %s", guarantee, o, fmt.Sprintf(format, args...)))
	}
	for i := range all {
		o := &all[i]
		runs := journalEntries(journals, o.request.RequestID)
		if o.request.Service == "OneRecord" && len(runs) > 1 {
			report(o, 1, "ran %d times: %+v", len(runs), runs)
		}
		switch {
		case o.err != nil && !killed:
			report(o, 3, "neither answered nor refused: %v", o.err)
		case o.err != nil:
		case o.refusal != nil:
			judgeRefusal(o, runs, report)
		default:
			judgeAnswer(o, runs, report)
		}
	}

	return errors.Join(violations...)
}

// journalEntries returns the journal entries of a request from all targets. Each entry is a query that ran.
func journalEntries(journals []standin.Journal, requestID string) (runs []standin.Entry) {
	for _, j := range journals {
		for _, e := range j.Entries {
			if e.RequestID == requestID {
				runs = append(runs, e)
			}
		}
	}

	return runs
}

// judgeRefusal reports a refusal that is not typed, that is not of this request, or that denies a run which the journals show.
func judgeRefusal(o *outcome, runs []standin.Entry, report func(*outcome, int, string, ...any)) {
	r := o.refusal
	if r.Outcome != target.NotRun && r.Outcome != target.Unknown || r.Code == "" || r.RequestID != o.request.RequestID {
		report(o, 3, "the response is not a typed refusal of this request")
	}
	if r.Outcome == target.NotRun && len(runs) > 0 {
		report(o, 2, "refused as not run, but ran: %+v", runs)
	}
	// Load balancers retry requests on these statuses.
	if r.Outcome != target.NotRun && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) {
		report(o, 2, "status %d, on which load balancers retry, for an unknown outcome", o.status)
	}
}

// judgeAnswer reports an answer that is not to this request, whose coverage does not match the journals, or whose hits are not the
// best ones of the answered shards.
func judgeAnswer(o *outcome, runs []standin.Entry, report func(*outcome, int, string, ...any)) {
	a := o.answer
	if a.RequestID != o.request.RequestID || a.Service != o.request.Service {
		report(o, 3, "the response answers another request")
	}
	askedShards := make([]int, a.Snapshot.Shards)
	for i := range askedShards {
		askedShards[i] = i
	}
	if o.request.Key != "" {
		askedShards = []int{target.ShardOf(o.request.Key, a.Snapshot.Shards)}
	}
	c := a.Coverage
	answeredShards := slices.DeleteFunc(slices.Clone(askedShards), func(s int) bool { return slices.Contains(c.Missing, s) })
	if len(askedShards) == 0 || c.Asked != len(askedShards) || c.Answered != len(answeredShards) ||
		len(answeredShards)+len(c.Missing) != len(askedShards) || c.Whole != (len(answeredShards) == len(askedShards)) {
		report(o, 5, "the coverage is inconsistent")
	}
	var candidates []target.Hit
	for _, shard := range answeredShards {
		if !slices.ContainsFunc(runs, func(e standin.Entry) bool {
			return e.Version == a.Snapshot.Version && e.Shard == shard && e.Shards == a.Snapshot.Shards
		}) {
			report(o, 5, "shard %d is counted as answered, but did not run for version %d: %+v", shard, a.Snapshot.Version, runs)
		}
		if o.request.Key != "" {
			candidates = append(candidates, standin.Record(a.Snapshot.Version, o.request.Key))
		} else {
			candidates = append(candidates,
				standin.Hits(a.Snapshot.Version, shard, a.Snapshot.Shards, o.request.Text, o.request.Limit)...)
		}
	}
	slices.SortFunc(candidates, func(x, y target.Hit) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.Key, y.Key))
	})
	if want := candidates[:min(len(candidates), o.request.Limit)]; !slices.Equal(a.Hits, want) {
		report(o, violatedGuarantee(a.Hits, candidates, a.Snapshot.Version),
			"the hits are not the best ones of the answered shards of version %d, want %+v", a.Snapshot.Version, want)
	}
}

// violatedGuarantee returns the guarantee that wrong hits violate: 4 if a hit comes from another version, 3 if a hit does not
// belong to the covered shards, and otherwise 5, because hits of these shards are absent.
func violatedGuarantee(hits, covered []target.Hit, version uint64) int {
	for _, h := range hits {
		switch {
		case h.Body != standin.Record(version, h.Key).Body:
			return 4
		case !slices.Contains(covered, h):
			return 3
		}
	}

	return 5
}
