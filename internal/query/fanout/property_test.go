package fanout_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// attemptPlan scripts one attempt, which waits for the duration wait and then ends with result. If stopsOnCancel is true,
// cancellation ends the wait.
type attemptPlan struct {
	wait          time.Duration
	stopsOnCancel bool
	result        attemptFunc
}

// runCounter counts the attempts that may have run, by version and shard, as the targets see them.
type runCounter struct {
	mutex sync.Mutex
	ran   map[[2]int]int
}

func (counter *runCounter) add(a attempt.Attempt, n int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.ran[[2]int{int(a.Query.Version), a.Query.Shard}] += n
}

var results = []attemptFunc{
	reply, reply, reply, reply,
	fail(target.NotRun, target.Shed), fail(target.NotRun, target.QueueFull),
	versionUnavailable, versionUnavailable, versionUnavailable,
	fail(target.Unknown, target.Broken), fail(target.Unknown, target.Stalled),
	changedReply(func(r *target.Reply) { r.AttemptID += "x" }), changedReply(func(r *target.Reply) { r.Shard++ }),
	changedReply(func(r *target.Reply) { r.Version++ }),
	func(context.Context, attempt.Attempt, int) (target.Reply, error) {
		return target.Reply{}, errors.New("unforeseen")
	},
}

// TestProperties checks the guarantees of the engine with random orders of replies and failures, which the tables of this package
// do not cover. rapid prints the seed of a failure.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		b.pins[0] = pinOf(7, shards)
		if rapid.Bool().Draw(t, "newer") {
			b.pins = append(b.pins, pinOf(8, rapid.IntRange(1, 8).Draw(t, "newer shards")))
		}
		b.service.Class = rapid.SampledFrom([]contract.Class{contract.FullPage, contract.QuickMatch, contract.OneRecord}).Draw(t, "class")
		b.service.FirstUseful = duration.Duration(40 * time.Millisecond)
		b.service.Idempotent = rapid.Bool().Draw(t, "idempotent")
		b.service.MinimumCoverage = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")
		b.engine.Budget.Earn("catalogue", 1, rapid.SampledFrom([]int{0, 3, 100}).Draw(t, "tokens"))
		plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attemptPlan {
			return attemptPlan{
				wait:          time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 20, 60, 300}).Draw(t, "wait")) * time.Millisecond,
				stopsOnCancel: rapid.Bool().Draw(t, "stops on cancel"),
				result:        rapid.SampledFrom(results).Draw(t, "result"),
			}
		}), 48, 48).Draw(t, "plans")
		callerGoneAfter := time.Duration(rapid.SampledFrom([]int{30, 1000, 1000, 1000}).Draw(t, "caller gone")) * time.Millisecond

		counter := &runCounter{ran: map[[2]int]int{}}
		b.script = func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
			counter.add(a, 1)
			plan := plans[(int(a.Query.Version-7)*24+a.Query.Shard*3+n)%len(plans)]
			var cancelled <-chan struct{}
			if plan.stopsOnCancel {
				cancelled = ctx.Done()
			}
			if plan.wait > 0 {
				select {
				case <-b.clock.After(plan.wait):
				case <-cancelled:
				}
			}
			r, err := plan.result(ctx, a, n)
			if err != nil && target.OutcomeOf(err) == target.NotRun {
				counter.add(a, -1)
			}

			return r, err
		}
		answer, refusal := answerWithClock(t, b, callerGoneAfter)
		checkGuarantees(t, b, counter, answer, refusal)
	})
}

// answerWithClock runs the request while it advances the clock, and cancels the request after callerGoneAfter.
func answerWithClock(t *rapid.T, b *fixture, callerGoneAfter time.Duration) (answer caller.Answer, refusal *caller.Refusal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.clock.AfterFunc(callerGoneAfter, cancel)
	done := make(chan struct{})
	var err error
	go func() {
		defer close(done)
		answer, err = b.engine.Answer(ctx, b.request)
	}()
	started := b.clock.Now()
	for running := true; running; {
		if b.clock.Since(started) > time.Hour {
			t.Fatalf("the request did not end within an hour of simulated time")
		}
		select {
		case <-done:
			running = false
		default:
			b.clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
	if err != nil && !errors.As(err, &refusal) {
		t.Fatalf("the error is not a *caller.Refusal: %v", err)
	}

	return answer, refusal
}

func checkGuarantees(t *rapid.T, b *fixture, counter *runCounter, answer caller.Answer, refusal *caller.Refusal) {
	counter.mutex.Lock()
	ran := maps.Clone(counter.ran)
	counter.mutex.Unlock()
	versions, total := map[int]bool{}, 0
	for versionAndShard, n := range ran {
		if n > 0 {
			versions[versionAndShard[0]] = true
		}
		total += n
		if !b.service.Idempotent && (n > 1 || len(versions) > 1) {
			t.Fatalf("a non-idempotent request ran more than once: %v", ran)
		}
	}
	released := 0
	if refusal != nil && refusal.Outcome == target.NotRun {
		if total > 0 {
			t.Fatalf("the request was refused with NotRun but may have run: %v, runs %v", refusal, ran)
		}
		if !b.service.Idempotent {
			released = 1
		}
	}
	if b.released != released {
		t.Fatalf("claim released %d times, want %d", b.released, released)
	}
	if refusal != nil {
		return
	}

	merged := map[string]bool{}
	for _, hit := range answer.Hits {
		merged[hit.Key] = true
		if !strings.HasPrefix(hit.Key, fmt.Sprint(answer.Snapshot.Version, "/")) {
			t.Fatalf("hit %s does not belong to version %d of the answer", hit.Key, answer.Snapshot.Version)
		}
	}
	c := answer.Coverage
	if len(merged) != len(answer.Hits) || len(merged) != c.Answered || c.Asked != c.Answered+len(c.Missing) || c.Whole != (len(c.Missing) == 0) {
		t.Fatalf("coverage %+v does not match the hits %v", c, answer.Hits)
	}
	for _, shard := range c.Missing {
		if merged[fmt.Sprint(answer.Snapshot.Version, "/", shard)] {
			t.Fatalf("hits of the missing shard %d are in the answer", shard)
		}
	}
	if c.Fraction() < b.service.MinimumCoverage {
		t.Fatalf("coverage %v below %v", c.Fraction(), b.service.MinimumCoverage)
	}
}
