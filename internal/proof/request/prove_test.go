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

// runAttempt is the type of Engine.Run.
type runAttempt = func(ctx context.Context, a attempt.Attempt) (target.Reply, error)

// withRunOverride wraps the function that runs attempts, to switch off a mechanism by changing the results that the engine sees.
func withRunOverride(change func(run runAttempt) runAttempt) func(*fanout.Engine) {
	return func(e *fanout.Engine) { e.Run = change(e.Run) }
}

// withoutClaim runs non-idempotent requests without a claim in the store.
func withoutClaim(e *fanout.Engine) {
	e.Claim = func(context.Context, string) (func(context.Context) error, error) {
		return func(context.Context) error { return nil }, nil
	}
}

// assumeNotRun reports each attempt of unknown outcome as not run. With the code Unreachable the engine retries the attempt, and
// with BadQuery it refuses the request.
func assumeNotRun(code target.Code) func(run runAttempt) runAttempt {
	return func(run runAttempt) runAttempt {
		return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
			reply, err := run(ctx, a)
			if err != nil && target.OutcomeOf(err) == target.Unknown {
				err = &target.Failure{Outcome: target.NotRun, Code: code}
			}

			return reply, err
		}
	}
}

// withoutReplyMatching accepts any reply as the reply to the attempt, whatever identifiers it carries.
func withoutReplyMatching(runAttempt) runAttempt {
	return func(ctx context.Context, a attempt.Attempt) (reply target.Reply, err error) {
		body, err := json.Marshal(a.Query)
		if err != nil {
			return reply, err
		}
		transport := &http.Transport{DisableKeepAlives: true}
		_, err = exchange(ctx, transport, a.Replica.Address, body, func(_ int, data []byte) error {
			return json.Unmarshal(data, &reply)
		})

		return matchIdentity(reply, a), err
	}
}

// withoutVersionPin queries the targets of shard 0 for the next version, which addNewerVersion adds to them. Only queries of the
// request that is judged are changed.
func withoutVersionPin(run runAttempt) runAttempt {
	return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		asked := a
		if a.Query.Shard == 0 && a.Query.RequestID == fullPage.RequestID {
			asked.Query.Version++
		}
		reply, err := run(ctx, asked)

		return matchIdentity(reply, a), err
	}
}

// withoutCoverageCheck counts each shard as answered, even if its attempt failed.
func withoutCoverageCheck(run runAttempt) runAttempt {
	return func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		reply, err := run(ctx, a)
		if err != nil {
			reply, err = target.Reply{}, nil
		}

		return matchIdentity(reply, a), err
	}
}

// matchIdentity sets the identifiers of r to those of the attempt, as if r were the reply to it.
func matchIdentity(r target.Reply, a attempt.Attempt) target.Reply {
	r.RequestID, r.AttemptID, r.Service = a.Query.RequestID, a.Query.AttemptID, a.Query.Service
	r.Version, r.Shard, r.Shards = a.Query.Version, a.Query.Shard, a.Query.Shards

	return r
}

var (
	oneRecord = caller.Request{RequestID: "record", Service: "OneRecord", Key: standin.Key(7), Limit: 1}
	fullPage  = caller.Request{RequestID: "page", Service: "FullPage", Text: "bowl", Limit: 20}
)

// underFault returns a function that injects a fault at the given targets and then sends one request.
func underFault(r caller.Request, fault func(*fleet, []int, requestStep), scope ...int) func(*fleet) []outcome {
	return func(f *fleet) []outcome {
		fault(f, scope, accepted)

		return []outcome{f.send(0, r)}
	}
}

// duplicateRequests sends the same request to both instances.
func duplicateRequests(f *fleet) []outcome {
	return []outcome{f.send(0, oneRecord), f.send(1, oneRecord)}
}

// addNewerVersion adds a newer version to the targets of shard 0, as in the middle of a rollout.
func addNewerVersion(f *fleet, _ []int, _ requestStep) {
	for _, i := range []int{0, 2} {
		f.targets[i].target.SetHoldings(target.Holding{Version: 1, Shards: shards}, target.Holding{Version: 2, Shards: shards})
	}
}

var proofs = []struct {
	guarantee          int
	promise, mechanism string
	// Each part of the mechanism is switched off on its own.
	parts []mechanismPart
}{
	{1, "non-idempotent requests run at most once", "claim and point of no return", []mechanismPart{
		{withoutClaim, duplicateRequests},
		{
			withRunOverride(assumeNotRun(target.Unreachable)),
			underFault(oneRecord, setFault(standin.Fault{ResetAfterRun: true}), 0, 1, 2, 3),
		},
	}},
	{2, "a request refused as not run did not run", "outcome of attempts", []mechanismPart{
		{
			withRunOverride(assumeNotRun(target.BadQuery)),
			underFault(oneRecord, setFault(standin.Fault{ResetAfterRun: true}), 0, 1, 2, 3),
		},
		{withRunOverride(assumeNotRun(target.BadQuery)), underFault(fullPage, setFault(standin.Fault{Truncate: true}), 0, 1, 2, 3)},
	}},
	{3, "each caller gets its own whole answer", "identity matching of replies", []mechanismPart{
		{withRunOverride(withoutReplyMatching), underFault(fullPage, setFault(standin.Fault{Misdirect: true}), 0, 1, 2, 3)},
		{withRunOverride(withoutReplyMatching), underFault(oneRecord, setFault(standin.Fault{Misdirect: true}), 0, 1, 2, 3)},
	}},
	{4, "every answer comes from one snapshot", "pin and version check", []mechanismPart{
		{withRunOverride(withoutVersionPin), underFault(fullPage, addNewerVersion)},
	}},
	{5, "coverage is stated truthfully", "coverage from merged replies", []mechanismPart{
		{withRunOverride(withoutCoverageCheck), underFault(fullPage, killTargets, 1, 3)},
		{withRunOverride(withoutCoverageCheck), underFault(fullPage, setFault(standin.Fault{Truncate: true}), 1, 3)},
	}},
}

// mechanismPart is a part of a mechanism, and a scenario whose requests depend on it.
type mechanismPart struct {
	disable  func(*fanout.Engine)
	requests func(*fleet) []outcome
}

// run sends the requests in a new fleet and judges their outcomes.
func (p mechanismPart) run(options ...option) error {
	f, err := newFleet(seed, options...)
	defer f.stop()
	if err != nil {
		return errors.Join(errStart, err)
	}

	return f.judge(false, p.requests(f)...)
}

var errStart = errors.New("the fleet did not start")

// TestProve checks that each scenario fails without its mechanism and passes with it. It guards against tests that would not notice
// that a mechanism is missing. The script scripts/prove reads the lines that it prints.
func TestProve(t *testing.T) {
	fmt.Printf("PROOF_SEED=%d\n", seed)
	for _, proof := range proofs {
		t.Run(proof.promise, func(t *testing.T) {
			g := NewWithT(t)
			fails, passes := true, true
			for _, part := range proof.parts {
				without, with := part.run(withEngine(part.disable)), part.run()
				t.Logf("without: %v", without)
				t.Logf("with: %v", with)
				g.Expect(errors.Is(without, errStart)).To(BeFalse())
				fails = fails && without != nil && strings.Contains(without.Error(), fmt.Sprintf("guarantee %d,", proof.guarantee))
				passes = passes && with == nil
			}
			fmt.Printf("PROOF promise=%q mechanism=%q fails-without=%t passes-with=%t cells=%d\n",
				proof.promise, proof.mechanism, fails, passes, possibleCells())
			g.Expect(fails).To(BeTrue(), "without the mechanism the scenario must violate the guarantee")
			g.Expect(passes).To(BeTrue(), "with the mechanism the guarantee must hold")
		})
	}
}
