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

// judge compares what the callers of one run were told with what the targets ran. A nil error means that the guarantees 1
// to 5 held. Broken connections are accepted only from an instance that was killed.
func judge(all []told, journals []standin.Journal, killed bool) error {
	var faults []error
	fault := func(t *told, guarantee int, format string, args ...any) {
		faults = append(faults, fmt.Errorf("guarantee %d, %s: %s", guarantee, t, fmt.Sprintf(format, args...)))
	}
	for i := range all {
		t := &all[i]
		ran := entries(journals, t.request.RequestID)
		if t.request.Service == "OneRecord" && len(ran) > 1 {
			fault(t, 1, "ran %d times: %+v", len(ran), ran)
		}
		switch {
		case t.err != nil && !killed:
			fault(t, 3, "no answer and no refusal: %v", t.err)
		case t.err != nil:
		case t.refusal != nil:
			judgeRefusal(t, ran, fault)
		default:
			judgeAnswer(t, ran, fault)
		}
	}

	return errors.Join(faults...)
}

// entries returns what ran of a request at any target.
func entries(journals []standin.Journal, requestID string) (ran []standin.Entry) {
	for _, j := range journals {
		for _, e := range j.Entries {
			if e.RequestID == requestID {
				ran = append(ran, e)
			}
		}
	}

	return ran
}

func judgeRefusal(t *told, ran []standin.Entry, fault func(*told, int, string, ...any)) {
	r := t.refusal
	if r.Outcome != target.NotRun && r.Outcome != target.Unknown || r.Code == "" || r.RequestID != t.request.RequestID {
		fault(t, 3, "is not a typed refusal of this request")
	}
	if r.Outcome == target.NotRun && len(ran) > 0 {
		fault(t, 2, "refused as not run, but ran: %+v", ran)
	}
	// A load balancer repeats requests on these statuses.
	if r.Outcome != target.NotRun && (t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests) {
		fault(t, 2, "status %d for an unknown outcome", t.status)
	}
}

func judgeAnswer(t *told, ran []standin.Entry, fault func(*told, int, string, ...any)) {
	a := t.answer
	if a.RequestID != t.request.RequestID || a.Service != t.request.Service {
		fault(t, 3, "is the answer to another request")
	}
	asked := make([]int, a.Snapshot.Shards)
	for i := range asked {
		asked[i] = i
	}
	if t.request.Key != "" {
		asked = []int{target.ShardOf(t.request.Key, a.Snapshot.Shards)}
	}
	c := a.Coverage
	covered := slices.DeleteFunc(slices.Clone(asked), func(s int) bool { return slices.Contains(c.Missing, s) })
	if len(asked) == 0 || c.Asked != len(asked) || c.Answered != len(covered) || len(covered)+len(c.Missing) != len(asked) ||
		c.Whole != (len(covered) == len(asked)) {
		fault(t, 5, "the coverage is inconsistent")
	}
	var want []target.Hit
	for _, shard := range covered {
		if !slices.ContainsFunc(ran, func(e standin.Entry) bool {
			return e.Version == a.Snapshot.Version && e.Shard == shard && e.Shards == a.Snapshot.Shards
		}) {
			fault(t, 5, "shard %d is counted as answered, but did not run for version %d: %+v", shard, a.Snapshot.Version, ran)
		}
		if t.request.Key != "" {
			want = append(want, standin.Record(a.Snapshot.Version, t.request.Key))
		} else {
			want = append(want, standin.Hits(a.Snapshot.Version, shard, a.Snapshot.Shards, t.request.Text, t.request.Limit)...)
		}
	}
	slices.SortFunc(want, func(x, y target.Hit) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.Key, y.Key))
	})
	if best := want[:min(len(want), t.request.Limit)]; !slices.Equal(a.Hits, best) {
		fault(t, violated(a.Hits, want, a.Snapshot.Version), "the hits are not those of the covered shards of version %d, want %+v",
			a.Snapshot.Version, best)
	}
}

// violated returns the guarantee that wrong hits violate: 4 if some come from another version, 5 if all come from the covered
// shards but some are absent, and otherwise 3.
func violated(hits, covered []target.Hit, version uint64) int {
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
