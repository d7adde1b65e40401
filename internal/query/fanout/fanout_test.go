package fanout_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/policy/budget"
	"github.com/hickorynotch/hickorynotch/internal/policy/hedge"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/fanout"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

func TestFanout(t *testing.T) {
	RegisterFailHandler(Fail)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "fanout")
}

// attemptFunc is a scripted attempt. n is the number of earlier attempts of the same shard and version.
type attemptFunc func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error)

// fixture is an engine with scripted targets. pins lists all versions in ascending order; version 7 is pinned first.
type fixture struct {
	engine   *fanout.Engine
	clock    *clockwork.FakeClock
	service  contract.Service
	request  caller.Request
	pins     []snapshot.Pin
	script   attemptFunc
	claimErr error

	mutex           sync.Mutex
	attempts        []attempt.Attempt
	withdrawn       []netip.AddrPort
	released        int
	releaseErr      error
	overloadSignals atomic.Int32
}

// pinOf returns a pin with two replicas of each shard.
func pinOf(version uint64, shards int) snapshot.Pin {
	pin := snapshot.Pin{Version: version, Replicas: make([][]contract.Replica, shards)}
	for i := range shards {
		for j := range 2 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(version), byte(j), byte(i)}), 80)
			pin.Replicas[i] = append(pin.Replicas[i], contract.Replica{Address: address})
		}
	}

	return pin
}

// newFixture returns a fixture with a FullPage service of 5 shards, one budget token for each first attempt, and a hedging delay
// of 10 ms.
func newFixture() *fixture {
	b := &fixture{clock: clockwork.NewFakeClock(), pins: []snapshot.Pin{pinOf(7, 5)}, script: reply}
	b.service = contract.Service{
		Class: contract.FullPage, Deadline: duration.Duration(170 * time.Millisecond), MinimumCoverage: 0.8, ExtraLoad: 1,
		Idempotent: true, PageSize: 100,
	}
	b.request = caller.Request{RequestID: "r1", Service: "catalogue", Key: "lot-1"}
	timers := timer.New(timer.WithClock(b.clock))
	var seed atomic.Uint64
	b.engine = &fanout.Engine{
		Service: func(name string) (contract.Service, bool) { return b.service, name == "catalogue" },
		Pin: func(_ string, _ contract.Service, newerThan uint64) (snapshot.Pin, bool) {
			for _, pin := range b.pins {
				if pin.Version > newerThan {
					return pin, true
				}
			}

			return snapshot.Pin{}, false
		},
		Choose: func(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool) {
			for _, r := range replicas {
				if !slices.Contains(tried, r.Address) {
					return r, true
				}
			}

			return contract.Replica{}, false
		},
		Run: b.runAttempt,
		Claim: func(context.Context, string) (func(context.Context) error, error) {
			return func(ctx context.Context) error { b.released++; return errors.Join(b.releaseErr, ctx.Err()) }, b.claimErr
		},
		Admit: func(context.Context, string, contract.Service) (func(bool), error) { return func(bool) {}, nil },
		Withdraw: func(address netip.AddrPort, _ uint64) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.withdrawn = append(b.withdrawn, address)
		},
		Overloaded: func(string) { b.overloadSignals.Add(1) },
		Random:     func() uint64 { return seed.Add(1) },
		Budget:     budget.New(budget.WithTimers(timers)), Hedge: hedge.New(hedge.WithTimers(timers)), Timers: timers,
		ReturnPath: 3 * time.Millisecond,
	}
	for range 30 {
		b.engine.Hedge.Observe("catalogue", 10*time.Millisecond)
	}

	return b
}

func (b *fixture) runAttempt(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
	b.mutex.Lock()
	n := 0
	for _, other := range b.attempts {
		if other.Query.Shard == a.Query.Shard && other.Query.Version == a.Query.Version {
			n++
		}
	}
	b.attempts = append(b.attempts, a)
	b.mutex.Unlock()

	return b.script(ctx, a, n)
}

// answer runs the request and returns its answer or refusal.
func (b *fixture) answer(ctx context.Context) (caller.Answer, *caller.Refusal) {
	answer, err := b.engine.Answer(ctx, b.request)
	var refusal *caller.Refusal
	if err != nil {
		Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	}

	return answer, refusal
}

// answerDuring runs the request and calls steps while it is in progress.
func (b *fixture) answerDuring(steps func(cancel func())) (caller.Answer, *caller.Refusal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var answer caller.Answer
	var refusal *caller.Refusal
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		answer, refusal = b.answer(ctx)
	}()
	steps(cancel)
	Eventually(done, "10s").Should(BeClosed())

	return answer, refusal
}

// waitForStraggler blocks until all attempts of the first round have reached a target and all but one have replied. At that point
// the engine has set a hedge timer in addition to those for the deadline and FirstUseful.
func (b *fixture) waitForStraggler(timers int) {
	Eventually(b.sent).Should(Equal(5))
	b.waitForTimers(timers)
}

// waitForTimers blocks until the engine has set n timers.
func (b *fixture) waitForTimers(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(b.clock.BlockUntilContext(ctx, n)).To(Succeed())
}

func (b *fixture) sent() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return len(b.attempts)
}

func reply(_ context.Context, a attempt.Attempt, _ int) (target.Reply, error) {
	return target.Reply{
		RequestID: a.Query.RequestID, AttemptID: a.Query.AttemptID, Service: a.Query.Service, Version: a.Query.Version,
		Shard: a.Query.Shard, Shards: a.Query.Shards,
		Hits: []target.Hit{{Key: fmt.Sprint(a.Query.Version, "/", a.Query.Shard), Score: float64(a.Query.Shard)}},
	}, nil
}

func fail(outcome target.Outcome, code target.Code) attemptFunc {
	return func(context.Context, attempt.Attempt, int) (target.Reply, error) {
		return target.Reply{}, &target.Failure{Outcome: outcome, Code: code}
	}
}

// breakReusedConnection fails as an attempt does when a connection that served earlier requests breaks.
func breakReusedConnection(context.Context, attempt.Attempt, int) (target.Reply, error) {
	return target.Reply{}, &target.Failure{Outcome: target.Unknown, Code: target.Broken, Reused: true}
}

// blockUntilCancelled fails with outcome when it is cancelled. It waits on a derived context, as HTTP clients do.
func blockUntilCancelled(outcome target.Outcome) attemptFunc {
	return func(ctx context.Context, _ attempt.Attempt, _ int) (target.Reply, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		<-ctx.Done()

		return target.Reply{}, &target.Failure{Outcome: outcome, Code: target.Cancelled}
	}
}

// changedReply returns a reply that was modified by change.
func changedReply(change func(*target.Reply)) attemptFunc {
	return func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
		r, err := reply(ctx, a, n)
		change(&r)

		return r, err
	}
}

// shard0 scripts the attempts of shard 0 of version 7 in order; the last function is repeated. All other attempts reply.
func shard0(runs ...attemptFunc) attemptFunc {
	return func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
		if a.Query.Shard != 0 || a.Query.Version != 7 {
			return reply(ctx, a, n)
		}

		return runs[min(n, len(runs)-1)](ctx, a, n)
	}
}

var versionUnavailable = fail(target.NotRun, target.VersionUnavailable)

var _ = Describe("Engine.Answer for an idempotent request", func() {
	DescribeTable("retries a failed shard or reports it as missing",
		func(script attemptFunc, change func(*fixture), attempts, missing int, version uint64) {
			b := newFixture()
			b.script = script
			if change != nil {
				change(b)
			}
			answer, refusal := b.answer(context.Background())
			Expect(refusal).To(BeNil())
			// The attempts of a replaced round may not have reached the targets yet, so the count of the engine is compared.
			Expect(b.engine.Statistics().Attempts).To(Equal(uint64(attempts)))
			Expect(b.sent()).To(BeNumerically("<=", attempts))
			Expect(answer.Snapshot.Version).To(Equal(version))
			Expect(answer.Coverage.Missing).To(HaveLen(missing))
			Expect(answer.Coverage.Whole).To(Equal(missing == 0))
			Expect(answer.Coverage.Asked).To(Equal(answer.Snapshot.Shards))
			Expect(answer.Hits).To(HaveLen(answer.Coverage.Answered))
		},
		Entry("all shards reply", attemptFunc(reply), nil, 5, 0, uint64(7)),
		Entry("the first attempt is refused and the retry gets a reply",
			shard0(fail(target.NotRun, target.Shed), reply), nil, 6, 0, uint64(7)),
		Entry("the connection breaks and the retry gets a reply",
			shard0(fail(target.Unknown, target.Broken), reply), nil, 6, 0, uint64(7)),
		Entry("an error is not a *target.Failure and the retry gets a reply",
			shard0(func(context.Context, attempt.Attempt, int) (target.Reply, error) {
				return target.Reply{}, errors.New("unforeseen")
			}, reply), nil, 6, 0, uint64(7)),
		Entry("reused connections to both replicas break and a new connection gets a reply",
			shard0(breakReusedConnection, breakReusedConnection, reply), nil, 7, 0, uint64(7)),
		Entry("all connections break", shard0(breakReusedConnection), nil, 7, 1, uint64(7)),
		Entry("both replicas fail", shard0(fail(target.Unknown, target.Broken)), nil, 6, 1, uint64(7)),
		Entry("a bad query is not retried", shard0(fail(target.NotRun, target.BadQuery), reply), nil, 5, 1, uint64(7)),
		Entry("the service is overloaded and the budget covers no retry", shard0(fail(target.NotRun, target.Shed), reply),
			func(b *fixture) { b.engine.Budget.SetOverloaded("catalogue", true) }, 5, 1, uint64(7)),
		Entry("the reply belongs to another request",
			shard0(changedReply(func(r *target.Reply) { r.RequestID = "r2" }), reply), nil, 6, 0, uint64(7)),
		Entry("the reply belongs to another attempt",
			shard0(changedReply(func(r *target.Reply) { r.AttemptID = "a" }), reply), nil, 6, 0, uint64(7)),
		Entry("the reply belongs to another shard",
			shard0(changedReply(func(r *target.Reply) { r.Shard = 1 })), nil, 6, 1, uint64(7)),
		Entry("the reply belongs to another version",
			shard0(changedReply(func(r *target.Reply) { r.Version = 8 })), nil, 6, 1, uint64(7)),
		Entry("the reply has another number of shards",
			shard0(changedReply(func(r *target.Reply) { r.Shards = 6 })), nil, 6, 1, uint64(7)),
		Entry("the reply belongs to another service",
			shard0(changedReply(func(r *target.Reply) { r.Service = "audit" })), nil, 6, 1, uint64(7)),
		Entry("one replica does not have the version", shard0(versionUnavailable, reply), nil, 6, 0, uint64(7)),
		Entry("no replica has the version and there is no newer version", shard0(versionUnavailable), nil, 6, 1, uint64(7)),
		Entry("no replica has the version and the newer version has more shards", shard0(versionUnavailable),
			func(b *fixture) { b.pins = append(b.pins, pinOf(8, 6)) }, 12, 0, uint64(8)),
		Entry("the budget does not cover a restart", shard0(versionUnavailable),
			func(b *fixture) {
				b.service.ExtraLoad, b.pins = 0.2, append(b.pins, pinOf(8, 6))
				// The budget always covers one whole page. An earlier request has spent all of that except one token.
				b.engine.Budget.Earn("catalogue", 0.2, 5)
				b.engine.Budget.Spend("catalogue", 4)
			}, 6, 1, uint64(7)),
		Entry("a request restarts only once",
			attemptFunc(func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
				if a.Query.Shard == 0 && a.Query.Version < 9 {
					return versionUnavailable(ctx, a, n)
				}

				return reply(ctx, a, n)
			}), func(b *fixture) {
				b.pins = append(b.pins, pinOf(8, 5), pinOf(9, 5))
				b.engine.Budget.Earn("catalogue", 1, 100)
			}, 12, 1, uint64(8)),
		Entry("the newer version does not cover more", shard0(versionUnavailable), func(b *fixture) {
			b.pins = append(b.pins, pinOf(8, 5))
			b.pins[1].Replicas[3] = nil
		}, 6, 1, uint64(7)),
		Entry("a shard has no replica", attemptFunc(reply), func(b *fixture) { b.pins[0].Replicas[2] = nil }, 4, 1, uint64(7)),
	)

	It("withdraws a version that a target does not have, and signals overload when the queue of a target is full", func() {
		b := newFixture()
		b.script = shard0(versionUnavailable, fail(target.NotRun, target.QueueFull))
		answer, _ := b.answer(context.Background())
		Expect(answer.Coverage.Missing).To(Equal([]int{0}))
		Expect(b.withdrawn).To(Equal([]netip.AddrPort{b.pins[0].Replicas[0][0].Address}))
		Expect(b.overloadSignals.Load()).To(Equal(int32(1)))
	})

	It("hedges a straggler at another replica and counts the shard once", func() {
		b := newFixture()
		cancelled := make(chan struct{})
		b.script = shard0(func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
			defer close(cancelled)
			<-ctx.Done()

			return reply(ctx, a, n)
		}, reply)
		answer, refusal := b.answerDuring(func(func()) { b.waitForStraggler(2); b.clock.Advance(11 * time.Millisecond) })
		Expect(refusal).To(BeNil())
		Expect(answer.Coverage.Whole).To(BeTrue())
		Expect(answer.Hits).To(HaveLen(5))
		Expect(b.engine.Statistics()).To(Equal(fanout.Statistics{Attempts: 6, Hedges: 1, HedgeWins: 1}))
		Expect(b.attempts[5].Replica).To(Equal(b.pins[0].Replicas[0][1]))
		Eventually(cancelled).Should(BeClosed())
	})

	It("hedges again when the hedge is a straggler too, although all replicas of the shard were tried", func() {
		b := newFixture()
		b.script = shard0(blockUntilCancelled(target.Unknown), blockUntilCancelled(target.Unknown), reply)
		answer, refusal := b.answerDuring(func(func()) {
			b.waitForTimers(2)
			b.clock.Advance(11 * time.Millisecond)
			Eventually(b.sent).Should(Equal(6))
			b.waitForTimers(2)
			b.clock.Advance(11 * time.Millisecond)
		})
		Expect(refusal).To(BeNil())
		Expect(answer.Coverage.Whole).To(BeTrue())
		Expect(b.engine.Statistics()).To(Equal(fanout.Statistics{Attempts: 7, Hedges: 2, HedgeWins: 1}))
	})

	It("sends no hedge that the budget does not cover, and returns a partial answer at the deadline", func() {
		b := newFixture()
		b.script = shard0(blockUntilCancelled(target.Unknown))
		b.engine.Budget.SetOverloaded("catalogue", true)
		answer, refusal := b.answerDuring(func(func()) { b.waitForStraggler(2); b.clock.Advance(170 * time.Millisecond) })
		Expect(refusal).To(BeNil())
		Expect(answer.Coverage.Missing).To(Equal([]int{0}))
		Expect(b.sent()).To(Equal(5))
	})

	It("returns the answer of a QuickMatch query at FirstUseful and cancels the remaining attempts", func() {
		b := newFixture()
		cancelled := make(chan struct{})
		b.service.Class, b.service.FirstUseful, b.service.ExtraLoad = contract.QuickMatch, duration.Duration(40*time.Millisecond), 0
		b.script = shard0(func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
			defer close(cancelled)

			return blockUntilCancelled(target.Unknown)(ctx, a, n)
		})
		answer, refusal := b.answerDuring(func(func()) { b.waitForStraggler(3); b.clock.Advance(40 * time.Millisecond) })
		Expect(refusal).To(BeNil())
		Expect(answer.Coverage).To(Equal(caller.Coverage{Asked: 5, Answered: 4, Missing: []int{0}}))
		Eventually(cancelled).Should(BeClosed())
	})

	DescribeTable("refuses with the correct outcome and code",
		func(outcome target.Outcome, code caller.Code, script attemptFunc, change func(*fixture)) {
			b := newFixture()
			b.script = script
			change(b)
			_, refusal := b.answer(context.Background())
			Expect(refusal).To(HaveValue(And(HaveField("Outcome", outcome), HaveField("Code", code))))
		},
		Entry("the service is unknown", target.NotRun, caller.UnknownService, nil, func(b *fixture) { b.request.Service = "x" }),
		Entry("the request is not valid", target.NotRun, caller.BadRequest, nil, func(b *fixture) { b.request.Limit = -1 }),
		Entry("the timeout leaves no time for a target", target.NotRun, caller.TooLate, nil,
			func(b *fixture) { b.request.Timeout = duration.Duration(5 * time.Millisecond) }),
		Entry("admission leaves no time for a target", target.NotRun, caller.TooLate, nil, func(b *fixture) {
			b.engine.Admit = func(context.Context, string, contract.Service) (func(bool), error) {
				b.clock.Advance(166 * time.Millisecond)

				return func(bool) {}, nil
			}
		}),
		Entry("the request is not admitted", target.NotRun, caller.Overloaded, nil, func(b *fixture) {
			b.engine.Admit = func(context.Context, string, contract.Service) (func(bool), error) { return nil, errors.New("full") }
		}),
		Entry("there is no index version", target.NotRun, caller.NoTarget, nil, func(b *fixture) { b.pins = nil }),
		Entry("no replica can be reached",
			target.NotRun, caller.NoTarget, fail(target.NotRun, target.Unreachable), func(*fixture) {}),
		Entry("the queues of all targets are full",
			target.NotRun, caller.Overloaded, fail(target.NotRun, target.QueueFull), func(*fixture) {}),
		Entry("the coverage is too low", target.Unknown, caller.InsufficientCoverage, shard0(fail(target.NotRun, target.Shed)),
			func(b *fixture) { b.service.MinimumCoverage = 0.9 }),
	)

	It("merges the best hits by score and key without duplicates, even if replies are not sorted", func() {
		b := newFixture()
		b.request.Limit = 4
		b.script = func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
			r, err := reply(ctx, a, n)
			r.Hits = append(r.Hits, target.Hit{Key: "same", Score: 9}, target.Hit{Key: fmt.Sprint("k", 4-a.Query.Shard), Score: 9})

			return r, err
		}
		answer, _ := b.answer(context.Background())
		Expect(answer.Hits).To(HaveExactElements(HaveField("Key", "k0"), HaveField("Key", "k1"), HaveField("Key", "k2"), HaveField("Key", "k3")))
		b.request.Limit = 7
		answer, _ = b.answer(context.Background())
		Expect(answer.Hits[5:]).To(HaveExactElements(HaveField("Key", "same"), HaveField("Key", "7/4")))
	})
})

var _ = Describe("Engine.Answer for a non-idempotent request", func() {
	newNonIdempotent := func() *fixture {
		b := newFixture()
		b.service.Class, b.service.Idempotent = contract.OneRecord, false

		return b
	}

	DescribeTable("runs the request at most once and releases the claim only if the request did not run",
		func(script attemptFunc, change func(*fixture), attempts, released int, want *caller.Refusal) {
			b := newNonIdempotent()
			b.script = script
			if change != nil {
				change(b)
			}
			answer, refusal := b.answer(context.Background())
			Expect(b.sent()).To(Equal(attempts))
			Expect(b.released).To(Equal(released))
			if want == nil {
				Expect(refusal).To(BeNil())
				Expect(answer.Coverage).To(Equal(caller.Coverage{Asked: 1, Answered: 1, Whole: true}))
				Expect(b.attempts[0].Query.Shard).To(Equal(int(xxhash.Sum64String("lot-1") % 5)))

				return
			}
			Expect(refusal).NotTo(BeNil())
			Expect(*refusal).To(And(HaveField("Outcome", want.Outcome), HaveField("Code", want.Code), HaveField("NewRequestID", want.NewRequestID)))
		},
		Entry("the target replies", attemptFunc(reply), nil, 1, 0, nil),
		Entry("the RequestID is empty",
			nil, func(b *fixture) { b.request.RequestID = "" }, 0, 0, &caller.Refusal{Outcome: target.NotRun, Code: caller.BadRequest}),
		Entry("the RequestID was generated by this instance", nil, func(b *fixture) { b.request.Generated = true }, 0, 0,
			&caller.Refusal{Outcome: target.NotRun, Code: caller.BadRequest}),
		Entry("the claim is unavailable", nil, func(b *fixture) {
			b.claimErr = &caller.Refusal{Outcome: target.NotRun, Code: caller.ClaimUnavailable}
		}, 0, 0, &caller.Refusal{Outcome: target.NotRun, Code: caller.ClaimUnavailable}),
		Entry("the outcome of the claim is unknown", nil, func(b *fixture) { b.claimErr = errors.New("timeout") }, 0, 0,
			&caller.Refusal{Outcome: target.NotRun, Code: caller.ClaimUnavailable, NewRequestID: true}),
		Entry("the request is a duplicate",
			nil, func(b *fixture) { b.claimErr = &caller.Refusal{Outcome: target.NotRun, Code: caller.Duplicate} }, 0, 0,
			&caller.Refusal{Outcome: target.Unknown, Code: caller.Duplicate}),
		Entry("there is no target",
			nil, func(b *fixture) { b.pins = nil }, 0, 1, &caller.Refusal{Outcome: target.NotRun, Code: caller.NoTarget}),
		Entry("the first attempt is refused and the retry gets a reply",
			attemptFunc(func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
				return []attemptFunc{fail(target.NotRun, target.Shed), reply}[n](ctx, a, n)
			}), nil, 2, 0, nil),
		Entry("all replicas refuse",
			fail(target.NotRun, target.Draining), nil, 2, 1, &caller.Refusal{Outcome: target.NotRun, Code: caller.NoTarget}),
		Entry("all replicas refuse and the claim is not released",
			fail(target.NotRun, target.Draining), func(b *fixture) { b.releaseErr = errors.New("down") }, 2, 1,
			&caller.Refusal{Outcome: target.NotRun, Code: caller.NoTarget, NewRequestID: true}),
		Entry("the connection breaks",
			fail(target.Unknown, target.Broken), nil, 1, 0, &caller.Refusal{Outcome: target.Unknown, Code: caller.Lost}),
		Entry("the reply does not match the attempt",
			changedReply(func(r *target.Reply) { r.AttemptID = "a" }), nil, 1, 0, &caller.Refusal{Outcome: target.Unknown, Code: caller.Lost}),
		Entry("the version is unavailable and the connection of the attempt for the newer version breaks",
			attemptFunc(func(ctx context.Context, a attempt.Attempt, n int) (target.Reply, error) {
				if a.Query.Version == 7 {
					return versionUnavailable(ctx, a, n)
				}

				return fail(target.Unknown, target.Broken)(ctx, a, n)
			}), func(b *fixture) { b.pins = append(b.pins, pinOf(8, 6)); b.engine.Budget.Earn("catalogue", 1, 10) }, 3, 0,
			&caller.Refusal{Outcome: target.Unknown, Code: caller.Lost}),
		Entry("the service needs no claim",
			fail(target.NotRun, target.Shed), func(b *fixture) { b.service.Claim = contract.ClaimNone }, 2, 0,
			&caller.Refusal{Outcome: target.NotRun, Code: caller.Overloaded}),
	)

	DescribeTable("reports the correct outcome of a request that was cancelled or timed out",
		func(outcome target.Outcome, code caller.Code, released int, callerGone bool) {
			b := newNonIdempotent()
			b.script = blockUntilCancelled(outcome)
			_, refusal := b.answerDuring(func(cancel func()) {
				Eventually(b.sent).Should(Equal(1))
				if callerGone {
					cancel()
				} else {
					b.clock.Advance(167 * time.Millisecond)
				}
			})
			Expect(*refusal).To(And(HaveField("Outcome", outcome), HaveField("Code", code)))
			Expect(b.released).To(Equal(released))
			Expect(b.sent()).To(Equal(1))
		},
		Entry("the caller disconnects and the attempt has not run", target.NotRun, caller.TooLate, 1, true),
		Entry("the caller disconnects and the outcome is unknown", target.Unknown, caller.Lost, 0, true),
		Entry("the deadline passes and the attempt has not run", target.NotRun, caller.TooLate, 1, false),
		Entry("the deadline passes and the outcome is unknown", target.Unknown, caller.Lost, 0, false),
	)

	It("refuses with Unknown when a cancelled attempt does not return in time", func() {
		b := newNonIdempotent()
		hold := make(chan struct{})
		defer close(hold)
		b.script = func(context.Context, attempt.Attempt, int) (target.Reply, error) {
			<-hold

			return target.Reply{}, &target.Failure{Outcome: target.NotRun}
		}
		_, refusal := b.answerDuring(func(func()) {
			Eventually(b.sent).Should(Equal(1))
			b.clock.Advance(167 * time.Millisecond)
			b.waitForTimers(1)
			b.clock.Advance(2 * time.Millisecond)
		})
		Expect(refusal.Outcome).To(Equal(target.Unknown))
	})
})
