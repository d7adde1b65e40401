package coverage_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/coverage"
)

func TestCoverage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coverage")
}

const ms = time.Millisecond

var _ = DescribeTable("Decide, for 20 shards of which 18 are needed and an objective of 200 ms",
	func(parts, failed int, elapsed time.Duration, reason string) {
		verdict := coverage.Decide(coverage.Facts{
			Shards: 20, Parts: parts, Failed: failed, Minimum: 18, Elapsed: elapsed, Objective: 200 * ms, ReturnPath: 20 * ms,
		})
		Expect(verdict.Reason).To(Equal(reason))
		Expect(verdict.Return).To(Equal(reason == "Whole" || reason == "NothingOutstanding" || reason == "ObjectiveReached"))
		Expect(verdict.Fail).To(Equal(reason == "CoverageOutOfReach"))
	},
	Entry("answers at once with all parts", 20, 0, 10*ms, "Whole"),
	Entry("waits for the last part while it can come in time", 19, 0, 100*ms, "WithinObjective"),
	Entry("answers without the last part rather than late", 19, 0, 181*ms, "ObjectiveReached"),
	Entry("does not wait for parts that cannot come", 19, 1, 100*ms, "NothingOutstanding"),
	Entry("never answers with too few parts", 17, 0, 300*ms, "BelowMinimum"),
	Entry("fails as soon as too few parts can come, not at the deadline", 10, 3, 20*ms, "CoverageOutOfReach"),
)

var _ = Describe("Decide", func() {
	It("asks to be called at the objective, so that an answer is not late for want of an event", func() {
		verdict := coverage.Decide(coverage.Facts{
			Shards: 20, Parts: 19, Minimum: 18, Elapsed: 100 * ms, Objective: 200 * ms, ReturnPath: 20 * ms,
		})
		Expect(verdict.Wait).To(Equal(80 * ms))
	})
})
