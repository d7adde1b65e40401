package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	backend "github.com/hickorynotch/hickorynotch/internal/standin/target"
)

const (
	// reportTimeout is the virtual time after which a target that reports its drain must get no new queries: the time of two status
	// polls, plus that of a third for replies to queries that began earlier.
	reportTimeout = 3 * time.Second
	// listTimeout is the same for a target that leaves on the platform's list. It adds the lag of the stand-in's list and the time
	// between two reads of the list.
	listTimeout = reportTimeout + 6*time.Second
)

// sendPages sends requests for pages to each running instance, one at a time, for a virtual duration.
func (c *cluster) sendPages(duration time.Duration) {
	for ; duration > 0; duration -= 2 * tick {
		var waiting []<-chan reply
		for _, e := range c.entries {
			if !e.frozen.Load() && !e.hasExited() {
				waiting = append(waiting, c.send(e, "page"))
			}
		}
		for _, pending := range waiting {
			Expect(c.advanceUntil(5*time.Minute, func() bool {
				select {
				case <-pending:
					return true
				default:
					return false
				}
			})).To(BeTrue(), "each page must be answered or refused")
		}
		c.advance()
		c.advance()
	}
}

// runLeaveCell makes target 1 leave under faults, announced by its report or on the platform's list, and returns the violations
// that its journal shows.
func runLeaveCell(announcement string, beforeStart func(*cluster), faults ...clusterFault) (violations []string) {
	c := newCluster(stopTimeout, beforeStart)
	leaving := c.targets[1]
	c.sendPages(time.Second)
	if leaving.Journal().Received == 0 {
		return []string{"the target got no queries before it left"}
	}
	timeout := reportTimeout
	if announcement == "on the list" {
		c.listAsLeaving(1)
		timeout = listTimeout
	} else {
		Expect(leaving.SetFault(backend.Fault{Drain: true})).To(Succeed())
	}
	for _, fault := range faults {
		fault.inject(c)
	}
	c.sendPages(timeout)
	before := leaving.Journal()
	c.sendPages(2 * time.Second)
	for _, e := range c.entries {
		if e.frozen.Swap(false) {
			// The instance resumes with old reports and an old list, so the timeout begins again.
			e.clock.Advance(timeout + 2*time.Second)
			c.sendPages(timeout)
			before = leaving.Journal()
		}
	}
	c.sendPages(time.Second)
	after := leaving.Journal()
	if n := len(after.Entries) - len(before.Entries); n > 0 {
		violations = append(violations, fmt.Sprintf("%d queries ran after the timeout", n))
	}
	if n := after.Received - before.Received; n > 0 {
		violations = append(violations, fmt.Sprintf("%d queries were sent after the timeout", n))
	}

	return violations
}

var _ = Describe("Leaving target", func() {
	// impossible returns the reason why the faults cannot be combined with the announcement, or "".
	impossible := func(announcement string, faults ...clusterFault) string {
		for _, f := range faults {
			if announcement == "on the list" && f.listUnavailable {
				return "no instance can read the current list during the fault"
			}
			if strings.HasPrefix(f.name, "stopping") {
				return "no instance stops"
			}
		}

		return ""
	}
	announcements := []string{"by its report", "on the list"}
	var cells []any
	for _, announcement := range announcements {
		for _, fault := range clusterFaults {
			// Combinations that cannot occur have no entry; impossible gives the reason.
			if impossible(announcement, fault) == "" {
				cells = append(cells, Entry(fmt.Sprintf("%s: %s", announcement, fault.name), announcement, fault))
			}
		}
	}
	random := rand.New(rand.NewPCG(seed(), 2))
	for drawn := 0; drawn < 6; {
		announcement := announcements[random.IntN(len(announcements))]
		a, b := clusterFaults[random.IntN(len(clusterFaults))], clusterFaults[random.IntN(len(clusterFaults))]
		if a.name != b.name && impossible(announcement, a, b) == "" {
			drawn++
			cells = append(cells,
				Entry(fmt.Sprintf("%s: %s and %s, seed %d", announcement, a.name, b.name, seed()), announcement, a, b))
		}
	}
	DescribeTable("gets no new queries after the timeout", append([]any{func(announcement string, faults ...clusterFault) {
		Expect(runLeaveCell(announcement, nil, faults...)).To(BeEmpty())
	}}, cells...)...)
})
