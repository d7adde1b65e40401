package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

// reportEachSecond makes an instance report about a target once a second, as a node does, until the test ends.
func (i *followingInstance) reportEachSecond(reports ...ratelimit.Report) {
	done := make(chan struct{})
	DeferCleanup(func() { close(done) })
	go func() {
		for {
			i.fleet.ReportLimits(reports)
			select {
			case <-time.After(time.Second):
			case <-done:
				return
			}
		}
	}()
}

// sinceReport returns the time since the leader received the last report of an instance.
func (i *followingInstance) sinceReport() time.Duration {
	return time.Since(time.Unix(0, i.lastReport.Load()))
}

// expectLimit waits until all instances know a limit of a target. A demand is passed on only when it has changed by more than a few
// percent.
func (f *followingFleet) expectLimit(id string, perSecond, demand float64, timeout string) {
	GinkgoHelper()
	for _, i := range f.all() {
		Eventually(func() string {
			limit, ok := i.fleet.View().Limits[id]

			return fmt.Sprintf("%t %v %v", ok && !limit.Lifted, limit.PerSecond, limit.Demand > 0.8*demand && limit.Demand < 1.2*demand)
		}, timeout, "50ms").Should(Equal(fmt.Sprintf("true %v true", perSecond)), i.name)
	}
}

func reportOf(perSecond, demand float64, age time.Duration) ratelimit.Report {
	return ratelimit.Report{Target: "a", Started: time.UnixMilli(7), PerSecond: perSecond, Demand: demand, Age: age}
}

var _ = Describe("The rate limit of a target", func() {
	DescribeTable("that one instance knows is passed on to all others, with the demand of all",
		func(instances int) {
			f := newFollowingFleet(names(instances)...)
			leader := f.settle()
			reporting := 0
			for _, i := range f.all() {
				if i.name != leader && reporting < 2 {
					i.reportEachSecond(reportOf(20, 15, 0))
					reporting++
				}
			}
			f.expectLimit("a", 20, 30, "10s")
		},
		Entry("with 8 instances", 8),
		Entry("with 195 instances", 195),
	)

	It("that the leader knows is passed on", func() {
		f := newFollowingFleet(names(3)...)
		f.instances[f.settle()].reportEachSecond(reportOf(20, 15, 0))
		f.expectLimit("a", 20, 15, "5s")
	})

	It("is that of the instance with the last response, so that an old report does not bring back an earlier limit", func() {
		f := newFollowingFleet("a", "b", "c")
		f.settle()
		f.instances["a"].reportEachSecond(reportOf(20, 10, 5*time.Second))
		f.instances["b"].reportEachSecond(reportOf(9, 10, 100*time.Millisecond))
		f.instances["c"].reportEachSecond(reportOf(40, 10, time.Minute))
		f.expectLimit("a", 9, 30, "8s")
	})

	It("is known at once to an instance that starts later, before it has a response of the target", func() {
		f := newFollowingFleet(names(4)...)
		leader := f.settle()
		f.instances[leader].reportEachSecond(reportOf(20, 15, 0))
		f.expectLimit("a", 20, 15, "5s")
		f.start("late")
		f.settle()
		f.expectLimit("a", 20, 15, "2s")
	})

	It("is known to the next leader soon after the last one was killed", func() {
		f := newFollowingFleet(names(8)...)
		leader := f.settle()
		for _, i := range f.all() {
			if i.name != leader {
				i.reportEachSecond(reportOf(20, 3, 0))
			}
		}
		f.expectLimit("a", 20, 21, "8s")
		f.kill(leader)
		f.settle()
		f.expectLimit("a", 20, 21, "8s")
	})

	It("is never divided by the demand of a part of the fleet, because the next leader waits for the reports of all", func() {
		f := newFollowingFleet(names(12)...)
		leader := f.settle()
		for _, i := range f.all() {
			if i.name != leader {
				i.reportEachSecond(reportOf(20, 3, 0))
			}
		}
		f.expectLimit("a", 20, 33, "8s")
		f.kill(leader)
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, i := range f.all() {
				if demand := i.fleet.View().Limits["a"].Demand; demand != 0 {
					Expect(demand).To(BeNumerically(">", 0.8*33), i.name)
				}
			}
		}
	})

	It("does not count the demand of an instance that was cut off, which notices that before the others use its part", func() {
		f := newFollowingFleet("a", "b", "c")
		leader := f.settle()
		var cut *followingInstance
		for _, i := range f.all() {
			i.reportEachSecond(reportOf(20, 10, 0))
			if i.name != leader {
				cut = i
			}
		}
		f.expectLimit("a", 20, 30, "8s")
		Expect(cut.fleet.CutOff()).To(BeFalse())
		cut.isolated.Store(true)
		Eventually(func() float64 { return f.instances[leader].fleet.View().Limits["a"].Demand }, "8s", "20ms").
			Should(And(BeNumerically(">", 15), BeNumerically("<", 25)))
		Expect(cut.fleet.CutOff()).To(BeTrue())
	})

	It("is not used by an instance beyond its last report, although an update arrived between that report and a cut", func() {
		f := newFollowingFleet("a", "b", "c")
		leader := f.settle()
		var cut *followingInstance
		for _, i := range f.all() {
			i.reportEachSecond(reportOf(20, 10, 0))
			if i.name != leader {
				cut = i
			}
		}
		f.expectLimit("a", 20, 30, "8s")
		Eventually(cut.sinceReport, "4s", "1ms").Should(And(BeNumerically(">", 700*time.Millisecond), BeNumerically("<", 850*time.Millisecond)))
		f.instances[leader].fleet.Feed().SetConfiguration(&control.StoredConfiguration{Version: 2, Value: []byte("2")})
		Eventually(cut.configuration.Version, "1s", "1ms").Should(BeEquivalentTo(2))
		cut.isolated.Store(true)
		// The leader drops a report after 3.5 s.
		Eventually(cut.sinceReport, "4s", "1ms").Should(BeNumerically(">", 3450*time.Millisecond))
		Expect(cut.fleet.CutOff()).To(BeTrue())
	})

	It("ends for all instances when the last response says so, and is forgotten when nobody reports it any more", func() {
		f := newFollowingFleet(names(4)...)
		leader := f.settle()
		lifted := reportOf(0, 1, 0)
		lifted.Lifted = true
		f.instances[leader].fleet.ReportLimits([]ratelimit.Report{lifted})
		for _, i := range f.all() {
			Eventually(func() bool { return i.fleet.View().Limits["a"].Lifted }, "2s", "20ms").Should(BeTrue(), i.name)
		}
		for _, i := range f.all() {
			Eventually(func() int { return len(i.fleet.View().Limits) }, "8s", "50ms").Should(BeZero(), i.name)
		}
	})
})
