package request_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/fanout"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// runner is the type of Engine.Run.
type runner = func(ctx context.Context, a attempt.Attempt) (target.Reply, error)

// withRun switches a mechanism off by changing what the engine learns of its attempts.
func withRun(change func(run runner) runner) func(*fanout.Engine) {
	return func(e *fanout.Engine) { e.Run = change(e.Run) }
}

// withoutClaim runs requests without asking the store.
func withoutClaim(e *fanout.Engine) {
	e.Claim = func(context.Context, string) (func(context.Context) error, error) {
		return func(context.Context) error { return nil }, nil
	}
}

// assumeNotRun turns each unknown outcome into one that did not run. With the code Unreachable the attempt is sent again, and
// with BadQuery the request is refused.
func assumeNotRun(code target.Code) func(run runner) runner {
	return func(run runner) runner {
		return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
			reply, err := run(ctx, a)
			if err != nil && target.OutcomeOf(err) == target.Unknown {
				err = &target.Failure{Outcome: target.NotRun, Code: code}
			}

			return reply, err
		}
	}
}

// withoutMatching takes any reply that comes for the one that was asked for.
func withoutMatching(runner) runner {
	return func(ctx context.Context, a attempt.Attempt) (reply target.Reply, err error) {
		body, err := json.Marshal(a.Query)
		if err != nil {
			return reply, err
		}
		transport := &http.Transport{DisableKeepAlives: true}
		_, err = exchange(ctx, transport, a.Replica.Address, body, func(_ int, data []byte) error {
			return json.Unmarshal(data, &reply)
		})

		return identify(reply, a), err
	}
}

// withoutPin asks the targets of shard 0 for a newer version, which they hold by the time of the judged request.
func withoutPin(run runner) runner {
	return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		asked := a
		if a.Query.Shard == 0 && a.Query.RequestID == fullPage.RequestID {
			asked.Query.Version++
		}
		reply, err := run(ctx, asked)

		return identify(reply, a), err
	}
}

// withoutCoverage counts each part of a request as answered.
func withoutCoverage(run runner) runner {
	return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		reply, err := run(ctx, a)
		if err != nil {
			reply, err = target.Reply{}, nil
		}

		return identify(reply, a), err
	}
}

// identify makes r look like the reply to a.
func identify(r target.Reply, a attempt.Attempt) target.Reply {
	r.RequestID, r.AttemptID, r.Service = a.Query.RequestID, a.Query.AttemptID, a.Query.Service
	r.Version, r.Shard, r.Shards = a.Query.Version, a.Query.Shard, a.Query.Shards

	return r
}

var (
	oneRecord = caller.Request{RequestID: "record", Service: "OneRecord", Key: standin.Key(7), Limit: 1}
	fullPage  = caller.Request{RequestID: "page", Service: "FullPage", Text: "bowl", Limit: 20}
)

// under sends one request while a fault is on at the given targets.
func under(r caller.Request, fault func(*fleet, []int, step), scope ...int) func(*fleet) []told {
	return func(f *fleet) []told {
		fault(f, scope, accepted)

		return []told{f.send(0, r)}
	}
}

// copies sends the same request to both instances.
func copies(f *fleet) []told {
	return []told{f.send(0, oneRecord), f.send(1, oneRecord)}
}

// roll adds a newer version to the targets of shard 0, as in the middle of a rollout.
func roll(f *fleet, _ []int, _ step) {
	for _, i := range []int{0, 2} {
		f.targets[i].target.SetHoldings(target.Holding{Version: 1, Shards: shards}, target.Holding{Version: 2, Shards: shards})
	}
}

var proofs = []struct {
	guarantee          int
	promise, mechanism string
	// Each part of the mechanism is switched off by itself.
	parts []part
}{
	{1, "non-idempotent requests run at most once", "claim and point of no return", []part{
		{withoutClaim, copies},
		{withRun(assumeNotRun(target.Unreachable)), under(oneRecord, at(standin.Fault{ResetAfterRun: true}), 0, 1, 2, 3)},
	}},
	{2, "a request refused as not run did not run", "outcome of attempts", []part{
		{withRun(assumeNotRun(target.BadQuery)), under(oneRecord, at(standin.Fault{ResetAfterRun: true}), 0, 1, 2, 3)},
		{withRun(assumeNotRun(target.BadQuery)), under(fullPage, at(standin.Fault{Truncate: true}), 0, 1, 2, 3)},
	}},
	{3, "each caller gets its own whole answer", "identity matching of replies", []part{
		{withRun(withoutMatching), under(fullPage, at(standin.Fault{Misdirect: true}), 0, 1, 2, 3)},
		{withRun(withoutMatching), under(oneRecord, at(standin.Fault{Misdirect: true}), 0, 1, 2, 3)},
	}},
	{4, "every answer comes from one snapshot", "pin and version check", []part{
		{withRun(withoutPin), under(fullPage, roll)},
	}},
	{5, "coverage is stated truthfully", "coverage from merged replies", []part{
		{withRun(withoutCoverage), under(fullPage, kill, 1, 3)},
		{withRun(withoutCoverage), under(fullPage, at(standin.Fault{Truncate: true}), 1, 3)},
	}},
}

// part is a part of a mechanism with the requests that need it.
type part struct {
	off      func(*fanout.Engine)
	requests func(*fleet) []told
}

// judged runs the requests in a new fleet.
func (p part) judged(options ...option) error {
	f, err := newFleet(seed, options...)
	defer f.stop()
	if err != nil {
		return errors.Join(errStart, err)
	}

	return f.judge(false, p.requests(f)...)
}

var errStart = errors.New("the fleet did not start")

// TestProve guards against a judge or a scenario that would not notice the loss of a mechanism. Scripts/prove reads its lines.
func TestProve(t *testing.T) {
	fmt.Printf("PROOF_SEED=%d\n", seed)
	for _, proof := range proofs {
		t.Run(proof.promise, func(t *testing.T) {
			g := NewWithT(t)
			fails, passes := true, true
			for _, part := range proof.parts {
				without, with := part.judged(withEngine(part.off)), part.judged()
				t.Logf("without: %v", without)
				t.Logf("with: %v", with)
				g.Expect(errors.Is(without, errStart)).To(BeFalse())
				fails = fails && without != nil && strings.Contains(without.Error(), fmt.Sprintf("guarantee %d,", proof.guarantee))
				passes = passes && with == nil
			}
			fmt.Printf("PROOF promise=%q mechanism=%q fails-without=%t passes-with=%t cells=%d\n",
				proof.promise, proof.mechanism, fails, passes, possibleCells())
			g.Expect(fails).To(BeTrue(), "the judge must notice the loss of the mechanism")
			g.Expect(passes).To(BeTrue(), "the mechanism must keep the promise")
		})
	}
}
