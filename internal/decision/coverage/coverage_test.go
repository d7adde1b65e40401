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

var _ = DescribeTable("Decide for 20 shards, a minimum of 18 and an objective of 200 ms",
	func(parts, failed int, elapsed time.Duration, reason string) {
		verdict := coverage.Decide(coverage.Facts{
			Shards: 20, Parts: parts, Failed: failed, Minimum: 18, Elapsed: elapsed, Objective: 200 * ms, ReturnPath: 20 * ms,
		})
		Expect(verdict.Reason).To(Equal(reason))
		Expect(verdict.Return).To(Equal(reason == "Whole" || reason == "NothingOutstanding" || reason == "ObjectiveReached"))
		Expect(verdict.Fail).To(Equal(reason == "CoverageOutOfReach"))
	},
	Entry("answers immediately when all shards have answered", 20, 0, 10*ms, "Whole"),
	Entry("waits for the last shard while the answer can still meet the objective", 19, 0, 100*ms, "WithinObjective"),
	Entry("answers without the last shard rather than late", 19, 0, 181*ms, "ObjectiveReached"),
	Entry("does not wait for shards that cannot answer any more", 19, 1, 100*ms, "NothingOutstanding"),
	Entry("never answers with less than the minimum coverage", 17, 0, 300*ms, "BelowMinimum"),
	Entry("fails as soon as the minimum cannot be reached, and not only at the deadline", 10, 3, 20*ms, "CoverageOutOfReach"),
)

var _ = Describe("Decide", func() {
	It("returns the time until the answer is due, so that the answer is not late if no other shard answers", func() {
		verdict := coverage.Decide(coverage.Facts{
			Shards: 20, Parts: 19, Minimum: 18, Elapsed: 100 * ms, Objective: 200 * ms, ReturnPath: 20 * ms,
		})
		Expect(verdict.Wait).To(Equal(80 * ms))
	})
})
