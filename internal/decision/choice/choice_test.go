package choice_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
)

func TestChoice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choice")
}

const ms = time.Millisecond

var place = choice.Place{
	AvailabilityZone: "Kochi", Region: "Kerala",
	Regions: map[string]string{"Kochi": "Kerala", "Thrissur": "Kerala", "Vitoria": "Euskadi"},
}

func replica(zone string, responseTime time.Duration) choice.Facts {
	return choice.Facts{AvailabilityZone: zone, Slots: 2, ResponseTime: responseTime, ReportAge: time.Hour}
}

var _ = DescribeTable("Choose",
	func(changeNear, changeFar func(*choice.Facts), expected int) {
		replicas := []choice.Facts{replica("Kochi", 20*ms), replica("Vitoria", 40*ms)}
		changeNear(&replicas[0])
		changeFar(&replicas[1])
		Expect(choice.Choose(replicas, place, nil).Index).To(Equal(expected))
	},
	Entry("selects the replica in the local zone if both are healthy, because traffic between regions has a price",
		func(*choice.Facts) {}, func(*choice.Facts) {}, 0),
	Entry("avoids a replica that has stopped answering, before its pause is over",
		func(f *choice.Facts) { f.InFlight, f.SinceResponse = 1, 80*ms }, func(*choice.Facts) {}, 1),
	Entry("does not mistake a request that was sent just now for a pause",
		func(f *choice.Facts) { f.InFlight, f.SinceResponse = 1, 10*ms }, func(*choice.Facts) {}, 0),
	Entry("avoids a replica that is several times slower",
		func(f *choice.Facts) { f.ResponseTime = 120 * ms }, func(*choice.Facts) {}, 1),
	Entry("selects a nearer replica again some time after it was slow",
		func(f *choice.Facts) { f.ResponseTime, f.ResponseTimeAge = 120*ms, 20*time.Second }, func(*choice.Facts) {}, 0),
	Entry("avoids a replica whose slots are occupied by requests of other instances",
		func(f *choice.Facts) { f.Reported, f.ReportAge = 8, 5*ms }, func(*choice.Facts) {}, 1),
	Entry("ignores an outdated load report",
		func(f *choice.Facts) { f.Reported, f.ReportAge = 8, time.Second }, func(*choice.Facts) {}, 0),
	Entry("avoids a replica that fails requests although its other figures are good",
		func(f *choice.Facts) { f.Failures = 0.4 }, func(*choice.Facts) {}, 1),
	Entry("selects a failing replica if the other one fails more often",
		func(f *choice.Facts) { f.Failures = 0.4 }, func(f *choice.Facts) { f.Failures = 0.9 }, 0),
	Entry("avoids a replica that reports a service time of four times the normal",
		func(f *choice.Facts) { f.Slowdown, f.ReportAge = 4, 5*ms }, func(*choice.Facts) {}, 1),
)

var _ = Describe("Choose", func() {
	It("returns no replica if all are skipped, so that no replica receives the request twice", func() {
		verdict := choice.Choose([]choice.Facts{replica("Kochi", ms)}, place, func(int) bool { return true })
		Expect(verdict.Index).To(Equal(-1))
		Expect(verdict.Reason).To(Equal("NoReplica"))
	})

	It("adds the round-trip time to the cost of a replica without samples, so that a distant one does not look fast", func() {
		replicas := []choice.Facts{replica("Kochi", 20*ms), replica("Vitoria", 0)}
		Expect(choice.Choose(replicas, place, nil).Index).To(Equal(0))
	})
})

var _ = Describe("AverageResponseTime", func() {
	start := time.Unix(0, 0)
	// after returns the average of a replica whose response time was 20 ms for some time, and then that of the samples.
	after := func(samples ...time.Duration) time.Duration {
		var average choice.AverageResponseTime
		for i := range 20 {
			average.Observe(20*ms, start.Add(time.Duration(i)*100*ms))
		}
		for i, s := range samples {
			average.Observe(s, start.Add(2*time.Second+time.Duration(i)*100*ms))
		}

		return average.Value()
	}

	It("grows so little after a single pause that requests do not move to another region, to which traffic has a price", func() {
		replicas := []choice.Facts{replica("Kochi", after(250*ms)), replica("Vitoria", 42*ms)}
		Expect(choice.Choose(replicas, place, nil).Index).To(Equal(0))
	})

	It("grows within a few samples, so that a replica that has become six times slower is avoided", func() {
		slow := 120 * ms
		replicas := []choice.Facts{replica("Kochi", after(slow, slow, slow, slow, slow)), replica("Vitoria", 42*ms)}
		Expect(choice.Choose(replicas, place, nil).Index).To(Equal(1))
	})
})
