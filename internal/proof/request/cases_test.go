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

// longDeadline is a deadline that no test reaches.
const longDeadline = 20 * time.Second

var _ = Describe("Single scenarios", func() {
	var f *fleet
	begin := func(options ...option) {
		var err error
		f, err = newFleet(seed, options...)
		DeferCleanup(f.stop)
		Expect(err).NotTo(HaveOccurred())
	}
	// on calls do when a request first reaches a step.
	on := func(at requestStep, do func()) {
		var done atomic.Bool
		hook := func(s requestStep) {
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

	It("does not retry a non-idempotent request when its pooled connection breaks after part of the request was sent", func() {
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

	It("sends each attempt at most once, although net/http retries requests on reused connections that were closed", func() {
		begin()
		var all []outcome
		before, attempts := received(), f.engines[0].Statistics().Attempts
		for i := range 20 {
			// The instance notices only some of the closed connections before it reuses them.
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

	It("cancels the queries at the targets when the caller disconnects", func() {
		begin(withDeadline(longDeadline))
		setFault(standin.Fault{SlowFraction: 1, SlowFactor: 1e6})(f, []int{0, 1, 2, 3}, accepted)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		on(awaitingReply, cancel)
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
		}, longDeadline/2).Should(BeNumerically(">=", 1))
		Eventually(func() int {
			return f.targets[0].target.Report().InFlight + f.targets[1].target.Report().InFlight
		}, longDeadline/2).Should(BeZero(), "no query is in flight any more")
	})

	It("neither merges nor counts the slower reply of a hedged query", func() {
		begin(withDeadline(longDeadline))
		engine := f.engines[0]
		// The hedge delay derives from observed latencies. The requests that the fleet sends at its start are too few for it.
		for range 40 {
			engine.Hedge.Observe("QuickMatch", 2*time.Millisecond)
		}
		var all []outcome
		for i := range 30 {
			// The two replicas alternate between slow and quick, so that sometimes the hedge loses and sometimes the first attempt.
			slow, quick := 1+i%2*2, 3-i%2*2
			setFault(standin.Fault{Late: duration.Duration(25 * time.Millisecond)})(f, []int{slow}, accepted)
			setFault(standin.Fault{Late: duration.Duration(6 * time.Millisecond)})(f, []int{quick}, accepted)
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

	It("answers in full from a snapshot that is withdrawn while the targets run the queries", func() {
		begin(withDeadline(longDeadline))
		all := []int{0, 1, 2, 3}
		setFault(standin.Fault{Late: duration.Duration(20 * time.Millisecond)})(f, all, accepted)
		// The snapshot is withdrawn once all shards run their query, and before any of them replies.
		running := make(chan struct{}, len(all))
		hook := func(s requestStep) {
			if s == awaitingReply {
				running <- struct{}{}
				if len(running) == shards {
					replaceHoldings(2, shards)(f, all, s)
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

	DescribeTable("runs only one of two copies of a non-idempotent request at different instances, whenever the second arrives",
		func(at requestStep) {
			begin()
			var copied outcome
			on(at, func() { copied = f.send(1, oneRecord) })
			first := f.send(0, oneRecord)
			codes := []caller.Code{}
			for _, t := range []outcome{first, copied} {
				if t.refusal != nil {
					codes = append(codes, t.refusal.Code)
				}
			}
			Expect(codes).To(Equal([]caller.Code{caller.Duplicate}), "%s; %s", &first, &copied)
			Expect(f.judge(false, first, copied)).To(Succeed())
		},
		Entry("before the first copy is claimed", accepted), Entry("after the first copy is claimed", pinned),
		Entry("while the first copy runs", awaitingReply),
		Entry("while the answer to the first copy is written", writingAnswer),
	)
})
