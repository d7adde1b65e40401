package control_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// expectBlocked waits until all instances block a query.
func (f *followingFleet) expectBlocked(query suspect.Fingerprint, timeout string) {
	GinkgoHelper()
	for _, i := range f.all() {
		Eventually(func() quarantine.Mode { return i.suspects.Verdict(query, time.Now()).Mode }, timeout, "10ms").
			Should(Equal(quarantine.Blocked), i.name)
	}
}

// expectStored waits until the store has the record of a query.
func (f *followingFleet) expectStored(query suspect.Fingerprint) {
	GinkgoHelper()
	Eventually(func() int {
		entries, _, err := f.store.KeyValueStore().List(context.Background(), "hickorynotch/suspects/"+query.String())
		Expect(err).NotTo(HaveOccurred())

		return len(entries)
	}, "3s", "20ms").Should(Equal(1))
}

var _ = Describe("A query that crashes targets", func() {
	query := suspect.NewFingerprint([]byte("GET /a"))
	crashAt := func(i *followingInstance, n int) {
		i.suspects.RecordCrash(query, suspect.Crash{Process: fmt.Sprintf("p%d", n), Alone: true}, time.Now())
	}

	blockForMinutes := func(i *followingInstance) {
		for n := range 3 {
			crashAt(i, n)
		}
		crash := suspect.Crash{Process: "p3", Alone: true}
		Expect(i.suspects.RecordCrash(query, crash, time.Now().Add(10*time.Second)).Left).To(BeNumerically(">=", time.Minute))
	}

	DescribeTable("is not tried by each instance: what several have seen is known to all", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		f.settle()
		all := f.all()
		for n := range 3 {
			crashAt(all[n], n)
		}
		f.expectBlocked(query, "1s")
	},
		Entry("8 instances", 8),
		Entry("195 instances", 195),
	)

	It("is not forgotten when the leader is lost, nor by instances that start later", func() {
		f := newFollowingFleet(names(6)...)
		leader := f.settle()
		blockForMinutes(f.instances[leader])
		f.expectBlocked(query, "1s")
		f.kill(leader)
		f.start("late")
		f.expectBlocked(query, "8s")
	})

	It("is not forgotten when all instances are restarted at once, and the store has come back from an older copy before", func() {
		f := newFollowingFleet(names(5)...)
		leader := f.settle()
		empty := f.store.Copy()
		blockForMinutes(f.instances[leader])
		f.expectBlocked(query, "1s")
		f.expectStored(query)
		f.store.Restore(empty)
		f.expectStored(query)
		for _, i := range f.all() {
			f.kill(i.name)
		}
		f.start("new")
		f.expectBlocked(query, "5s")
	})

	It("is tried again within seconds after it was blocked by coincidence, although all instances were restarted", func() {
		f := newFollowingFleet(names(5)...)
		leader := f.settle()
		for n := range 3 {
			crashAt(f.instances[leader], n)
		}
		f.expectBlocked(query, "1s")
		f.expectStored(query)
		for _, i := range f.all() {
			f.kill(i.name)
		}
		f.start("new")
		f.expectBlocked(query, "5s")
		Eventually(func() bool {
			verdict := f.instances["new"].suspects.Verdict(query, time.Now())

			return verdict.Mode == quarantine.Careful && f.instances["new"].fleet.IsResponsible(query.String(), verdict.TrialInstances())
		}, "10s", "10ms").Should(BeTrue())
	})

	It("is not forgotten when all instances are restarted at once before it is blocked", func() {
		f := newFollowingFleet(names(5)...)
		leader := f.settle()
		for n := range 3 {
			f.instances[leader].suspects.RecordCrash(query, suspect.Crash{Process: fmt.Sprintf("p%d", n)}, time.Now())
		}
		f.expectStored(query)
		for _, i := range f.all() {
			f.kill(i.name)
		}
		f.start("new")
		Eventually(func() quarantine.Mode { return f.instances["new"].suspects.Verdict(query, time.Now()).Mode }, "5s", "10ms").
			Should(Equal(quarantine.Careful))
	})

	It("is not refused for minutes when all targets of a service end at once with it, over a restart of all instances", func() {
		f := newFollowingFleet(names(5)...)
		f.settle()
		for k, i := range f.all() {
			i.suspects.RecordCrash(query, suspect.Crash{Process: fmt.Sprintf("p%d", k)}, time.Now())
		}
		f.expectStored(query)
		for _, i := range f.all() {
			f.kill(i.name)
		}
		f.start("new")
		Eventually(func() quarantine.Mode { return f.instances["new"].suspects.Verdict(query, time.Now()).Mode }, "5s", "10ms").
			Should(Equal(quarantine.Careful))
		Consistently(func() quarantine.Mode { return f.instances["new"].suspects.Verdict(query, time.Now()).Mode }, "500ms", "10ms").
			Should(Equal(quarantine.Careful))
	})

	It("is known to all once a leader is followed, if it was seen while there was none", func() {
		f := newFollowingFleet(names(6)...)
		f.kill(f.settle())
		time.Sleep(100 * time.Millisecond)
		for n := range 3 {
			crashAt(f.all()[n], n)
		}
		f.expectBlocked(query, "5s")
	})

	DescribeTable("is known to all before the lease of a lost leader has ended", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		f.kill(f.settle())
		observer := f.all()[0]
		for n := range 3 {
			crashAt(observer, n)
		}
		f.expectBlocked(query, "1s")
	},
		Entry("8 instances", 8),
		Entry("195 instances", 195),
	)

	DescribeTable("is tried by one instance of the fleet, and by none without contact to the leader", func(instances int) {
		f := newFollowingFleet(names(instances)...)
		leader := f.settle()
		responsible := func(key string) (names []string) {
			for _, i := range f.all() {
				if i.fleet.IsResponsible(key, 1) {
					names = append(names, i.name)
				}
			}

			return names
		}
		for k := range 20 {
			Eventually(func() []string { return responsible(fmt.Sprint(k)) }, "2s", "10ms").Should(HaveLen(1))
		}
		for _, i := range f.all() {
			i.silenced.Store(i.name != leader)
		}
		for k := range 20 {
			Eventually(func() []string { return responsible(fmt.Sprint(k)) }, "3s", "10ms").
				Should(Or(BeEmpty(), Equal([]string{leader})))
		}
	},
		Entry("8 instances", 8),
		Entry("195 instances", 195),
	)
})
