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
	// reportBound is the virtual time after which a target that reports its drain gets no new work: two status polls and
	// one for the reply of a query that began before.
	reportBound = 3 * time.Second
	// listBound adds the lag of the stand-in's list and the time between two reads of it.
	listBound = reportBound + 6*time.Second
)

// pageload sends a page to each instance that takes one, for a virtual time.
func (c *cluster) pageload(d time.Duration) {
	for ; d > 0; d -= 2 * tick {
		var waiting []<-chan reply
		for _, e := range c.entries {
			if !e.frozen.Load() && !e.ended() {
				waiting = append(waiting, c.send(e, "page"))
			}
		}
		for _, answered := range waiting {
			Expect(c.pass(5*time.Minute, func() bool {
				select {
				case <-answered:
					return true
				default:
					return false
				}
			})).To(BeTrue(), "a page is answered or refused")
		}
		c.step()
		c.step()
	}
}

// leaveCell makes target 1 leave under faults and returns what the judge found in its journal.
func leaveCell(way string, prepare func(*cluster), faults ...clusterFault) (wrong []string) {
	c := newCluster(stopTimeout, prepare)
	leaving := c.targets[1]
	c.pageload(time.Second)
	if leaving.Journal().Received == 0 {
		return []string{"the target had no work before it left"}
	}
	bound := reportBound
	if way == "on the list" {
		c.leave(1)
		bound = listBound
	} else {
		Expect(leaving.SetFault(backend.Fault{Drain: true})).To(Succeed())
	}
	for _, fault := range faults {
		fault.begin(c)
	}
	c.pageload(bound)
	before := leaving.Journal()
	c.pageload(2 * time.Second)
	for _, e := range c.entries {
		if e.frozen.Swap(false) {
			// It wakes with old reports and an old list, and the bound begins again.
			e.clock.Advance(bound + 2*time.Second)
			c.pageload(bound)
			before = leaving.Journal()
		}
	}
	c.pageload(time.Second)
	after := leaving.Journal()
	if n := len(after.Entries) - len(before.Entries); n > 0 {
		wrong = append(wrong, fmt.Sprintf("%d queries ran after the bound", n))
	}
	if n := after.Received - before.Received; n > 0 {
		wrong = append(wrong, fmt.Sprintf("%d queries were sent after the bound", n))
	}

	return wrong
}

var _ = Describe("Leaving target", func() {
	impossible := func(way string, faults ...clusterFault) string {
		for _, f := range faults {
			if way == "on the list" && f.hidesList {
				return "no instance can learn from the list meanwhile"
			}
			if strings.HasPrefix(f.name, "stopping") {
				return "no instance stops"
			}
		}

		return ""
	}
	ways := []string{"by its report", "on the list"}
	var cells []any
	for _, way := range ways {
		for _, fault := range clusterFaults {
			// A cell that cannot occur has its reason above and no entry.
			if impossible(way, fault) == "" {
				cells = append(cells, Entry(fmt.Sprintf("%s: %s", way, fault.name), way, fault))
			}
		}
	}
	random := rand.New(rand.NewPCG(seed(), 2))
	for drawn := 0; drawn < 6; {
		way := ways[random.IntN(len(ways))]
		a, b := clusterFaults[random.IntN(len(clusterFaults))], clusterFaults[random.IntN(len(clusterFaults))]
		if a.name != b.name && impossible(way, a, b) == "" {
			drawn++
			cells = append(cells, Entry(fmt.Sprintf("%s: %s and %s, seed %d", way, a.name, b.name, seed()), way, a, b))
		}
	}
	DescribeTable("gets no new work after the bound", append([]any{func(way string, faults ...clusterFault) {
		Expect(leaveCell(way, nil, faults...)).To(BeEmpty())
	}}, cells...)...)
})
