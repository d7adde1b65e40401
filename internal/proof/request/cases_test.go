package request_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// long is a deadline that no case reaches.
const long = 20 * time.Second

var _ = Describe("Particular cases", func() {
	var f *fleet
	begin := func(options ...option) {
		var err error
		f, err = newFleet(seed, options...)
		DeferCleanup(f.stop)
		Expect(err).NotTo(HaveOccurred())
	}
	// on calls do the first time that a request reaches a step.
	on := func(at step, do func()) {
		var done atomic.Bool
		hook := func(s step) {
			if s == at && !done.Swap(true) {
				do()
			}
		}
		f.onStep.Store(&hook)
	}
	received := func() (n int) {
		for _, p := range f.targets {
			n += p.target.Journal().Received
		}

		return n
	}

	It("does not repeat a non-idempotent request that may have left on a pooled connection when that breaks", func() {
		begin()
		before := f.engines[0].Statistics().Attempts
		on(partlySent, func() {
			for _, p := range f.targets {
				p.target.CloseConnections()
			}
		})
		answer := f.send(0, oneRecord)
		Expect(answer.refusal).To(HaveField("Outcome", target.Unknown), "%s", &answer)
		Expect(f.engines[0].Statistics().Attempts-before).To(BeEquivalentTo(1), "the broken attempt is the only one")
		Expect(f.judge(false, answer)).To(Succeed())
	})

	It("sends each attempt once although net/http repeats requests on reused connections that were closed", func() {
		begin()
		var all []told
		before, attempts := received(), f.engines[0].Statistics().Attempts
		for i := range 20 {
			// Some closed connections are noticed before they are reused and some are not.
			for _, p := range f.targets {
				p.target.CloseConnections()
			}
			r := oneRecord
			r.RequestID, r.Key = fmt.Sprint("reused-", i), standin.Key(i)
			all = append(all, f.send(0, r))
		}
		Expect(f.judge(false, all...)).To(Succeed())
		Expect(received() - before).To(BeNumerically("<=", f.engines[0].Statistics().Attempts-attempts))
	})

	It("cancels the work of a caller that goes away at the targets", func() {
		begin(withDeadline(long))
		at(standin.Fault{SlowFraction: 1, SlowFactor: 1e6})(f, []int{0, 1, 2, 3}, accepted)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		on(unanswered, cancel)
		Expect(f.sendContext(ctx, 0, fullPage).err).To(MatchError(context.Canceled))
		Eventually(func() (cancelled int) {
			for _, p := range f.targets {
				for _, e := range p.target.Journal().Entries {
					if e.RequestID == fullPage.RequestID && !e.Cancelled.IsZero() {
						cancelled++
					}
				}
			}

			return cancelled
		}, long/2).Should(BeNumerically(">=", 1))
		Eventually(func() int { return f.targets[0].target.Report().InFlight + f.targets[1].target.Report().InFlight }, long/2).
			Should(BeZero(), "no work goes on")
	})

	It("neither merges nor counts the reply of a hedge that lost", func() {
		begin(withDeadline(long))
		engine := f.engines[0]
		// The delay of a hedge follows from these latencies, since the first requests are too few.
		for range 40 {
			engine.Hedge.Observe("QuickMatch", 2*time.Millisecond)
		}
		var all []told
		for i := range 30 {
			// The replica that was quick before is the slow one now, so that both the hedge and the first attempt lose.
			slow, quick := 1+i%2*2, 3-i%2*2
			at(standin.Fault{Late: duration.Duration(25 * time.Millisecond)})(f, []int{slow}, accepted)
			at(standin.Fault{Late: duration.Duration(6 * time.Millisecond)})(f, []int{quick}, accepted)
			all = append(all, f.send(0, caller.Request{
				RequestID: fmt.Sprint("hedged-", i), Service: "QuickMatch", Text: fmt.Sprint("bowl ", i), Limit: 20,
			}))
			Expect(all[i].answer).To(HaveField("Coverage", caller.Coverage{Asked: 2, Answered: 2, Whole: true}), "%s", &all[i])
		}
		Expect(f.judge(false, all...)).To(Succeed())
		statistics := engine.Statistics()
		Expect(statistics.HedgeWins).To(BeNumerically(">", 0), "%+v", statistics)
		Expect(statistics.Hedges).To(BeNumerically(">", statistics.HedgeWins), "some hedges must lose: %+v", statistics)
	})

	It("gives the whole answer of a snapshot that was withdrawn while the targets ran the request", func() {
		begin(withDeadline(long))
		all := []int{0, 1, 2, 3}
		at(standin.Fault{Late: duration.Duration(20 * time.Millisecond)})(f, all, accepted)
		// Every part is with its target before any of them replies.
		running := make(chan struct{}, len(all))
		hook := func(s step) {
			if s == unanswered {
				running <- struct{}{}
				if len(running) == shards {
					hold(2, shards)(f, all, s)
				}
			}
		}
		f.onStep.Store(&hook)
		answer := f.send(0, fullPage)
		Expect(answer.answer).NotTo(BeNil(), "%s", &answer)
		Expect(answer.answer.Snapshot).To(Equal(caller.Snapshot{Version: 1, Shards: shards}))
		Expect(answer.answer.Coverage.Whole).To(BeTrue())
		Expect(f.judge(false, answer)).To(Succeed())
	})

	DescribeTable("runs a second copy of a non-idempotent request at another instance never, whenever it arrives",
		func(at step) {
			begin()
			var copied told
			on(at, func() { copied = f.send(1, oneRecord) })
			first := f.send(0, oneRecord)
			codes := []caller.Code{}
			for _, t := range []told{first, copied} {
				if t.refusal != nil {
					codes = append(codes, t.refusal.Code)
				}
			}
			Expect(codes).To(Equal([]caller.Code{caller.Duplicate}), "%s; %s", &first, &copied)
			Expect(f.judge(false, first, copied)).To(Succeed())
		},
		Entry("before the claim", accepted), Entry("after the claim", pinned), Entry("while the first runs", unanswered),
		Entry("while the first answer is written", writing),
	)
})
