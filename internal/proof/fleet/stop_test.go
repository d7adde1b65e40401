package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	backend "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

var stopSteps = []string{"readiness off", "waiting", "draining", "closing"}

// clusterFault is a fault among real instances. It meets the instance that stops only where it says so; others meet e1 of
// the same zone, which owns some of the targets.
type clusterFault struct {
	name  string
	begin func(c *cluster)
	never func(step string) string
	// hidesList says that the platform's list cannot tell of a leaving target meanwhile.
	hidesList bool
	// hold is the real time for which the targets keep their queries, unless the instance ends before.
	hold time.Duration
}

func (f clusterFault) impossible(step string) string {
	if f.never == nil {
		return ""
	}

	return f.never(step)
}

func storeFault(name string, hidesList bool, f standin.Fault) clusterFault {
	return clusterFault{name: name, hidesList: hidesList, begin: func(c *cluster) { c.platform.SetFaults(f) }}
}

func beforeClaim(f clusterFault) clusterFault {
	f.never = func(step string) string {
		if step == "draining" || step == "closing" {
			return "no claim is written once new requests are refused"
		}

		return ""
	}

	return f
}

// cutOff makes the instance unreachable for its peers, as they see one that is killed.
func cutOff(c *cluster) {
	c.entries[1].cut.Store(true)
	c.sever()
}

func splitZones(c *cluster) {
	c.split.Store(true)
	c.sever()
}

var kochi = []zone.Zone{"Kochi"}

var clusterFaults = []clusterFault{
	{name: "entry instance killed", begin: func(c *cluster) { cutOff(c); c.entries[1].stop() }},
	{name: "stopping instance frozen", begin: func(c *cluster) { c.entries[0].clock.Advance(30 * time.Second) }},
	{name: "other instance frozen", begin: func(c *cluster) { c.entries[1].frozen.Store(true) }},
	{name: "entry instance restarted", begin: func(c *cluster) {
		cutOff(c)
		c.entries[1].stop()
		c.start("e1", "Kochi", stopTimeout)
	}},
	{name: "peer cut off", begin: cutOff},
	{name: "all peers cut off", begin: func(c *cluster) {
		for _, e := range c.entries {
			e.cut.Store(true)
		}
		c.sever()
	}},
	{name: "zone cut off from another", begin: splitZones},
	storeFault("zone cut off from the platform", true, standin.Fault{AvailabilityZones: kochi, Down: true}),
	{name: "zone cut off from both", hidesList: true, begin: func(c *cluster) {
		splitZones(c)
		c.platform.SetFaults(standin.Fault{AvailabilityZones: kochi, Down: true})
	}},
	storeFault("store down", true, standin.Fault{Down: true}),
	storeFault("store slow", true, standin.Fault{Slow: duration.Duration(3 * time.Second)}),
	storeFault("store overloaded", true, standin.Fault{Overload: 1}),
	beforeClaim(storeFault("write taken, reply lost", false, standin.Fault{LoseReply: 1})),
	beforeClaim(storeFault("write delayed", false, standin.Fault{DelayWrite: 1, DelayAfter: duration.Duration(time.Second)})),
	storeFault("watch silent", false, standin.Fault{SilentWatch: true}),
	{name: "list lagging", hidesList: true, begin: func(c *cluster) {
		Expect(c.platform.UpdateList(standin.Update{Lag: new(duration.Duration(time.Hour))})).To(Succeed())
	}},
	storeFault("list frozen", true, standin.Fault{FreezeList: true}),
	{name: "two operators racing", begin: func(c *cluster) {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			c.apply("rival", []byte(`{}`))
		}()
		c.apply("second", []byte(`{"AvailabilityZones":["Kochi"]}`))
		<-done
	}},
	{name: "clock of one instance off", begin: func(c *cluster) { c.entries[2].clock.Advance(time.Hour) }},
	{name: "target draining", begin: func(c *cluster) { Expect(c.targets[0].SetFault(backend.Fault{Drain: true})).To(Succeed()) }},
	{name: "target killed", begin: func(c *cluster) { c.targets[0].kill() }},
	{name: "target leaving only on the list", begin: func(c *cluster) { c.leave(0) }},
	{name: "wrong report", begin: func(c *cluster) {
		// A target that drains goes on to do so.
		Expect(c.targets[1].SetFault(backend.Fault{WrongReport: true, Drain: c.targets[1].Report().Draining})).To(Succeed())
	}},
}

// leave makes the platform's list name a target as leaving.
func (c *cluster) leave(i int) {
	Expect(c.platform.UpdateList(standin.Update{Entries: []platform.Listed{{
		Name: fmt.Sprint("t", i), Kind: platform.Target, Address: c.targets[i].address, AvailabilityZone: zones[i/2], State: platform.Leaving,
	}}})).To(Succeed())
}

// stopCell stops e0 while requests are in flight, meets it with the faults at a step, and returns what the judge found.
func stopCell(timeout time.Duration, step string, faults ...clusterFault) (wrong []string) {
	c := newCluster(timeout, nil)
	stopping := c.entries[0]
	for _, r := range c.targets {
		r.close()
	}
	var replies []<-chan reply
	for _, service := range []string{"page", "record", "page"} {
		replies = append(replies, c.send(stopping, service))
	}
	others := c.send(c.entries[1], "page")
	// Three pages of two shards and one record are at the targets.
	polls := 0
	Eventually(func() (held int64) {
		for _, r := range c.targets {
			held += r.held.Load()
		}
		if held < 7 {
			c.step()
			// A request that ended before it was held is judged like the others, and another one takes its place.
			if polls++; polls%50 == 0 {
				replies = append(replies, c.send(stopping, "page"))
			}
		}

		return held
	}, never, "20ms").Should(BeNumerically(">=", 7))

	stopping.stop()
	Eventually(stopping.Ready, never).ShouldNot(Succeed())
	inFlight := len(replies)
	if step == "waiting" {
		Eventually(func() string { return c.stateOf(stopping, stopping.name) }, never).ShouldNot(Equal("Alive"))
	}
	if step == "draining" || step == "closing" {
		Expect(c.pass(time.Minute, func() bool { return c.refuses(stopping) })).To(BeTrue(), "the drain begins")
	}
	for _, fault := range faults {
		fault.begin(c)
	}
	if step == "readiness off" || step == "waiting" {
		// These arrive after the stop began. They may be refused as not run, but not be broken off.
		replies = append(replies, c.send(stopping, "page"), c.send(stopping, "record"))
	}
	if step != "closing" {
		c.pass(4*time.Second, stopping.ended)
	}
	select {
	case <-stopping.done:
	case <-time.After(faults[0].hold):
	}
	for _, r := range c.targets {
		r.open()
	}
	for i, answered := range replies {
		var r reply
		if !c.pass(5*time.Minute, func() bool {
			select {
			case r = <-answered:
				return true
			default:
				return false
			}
		}) {
			wrong = append(wrong, "a request in flight got no answer")

			continue
		}
		if i >= inFlight && r.err == nil && r.body.Code == "NotReady" && r.body.Outcome == "NotRun" {
			// A draining instance refuses without reading, so this refusal carries no RequestID.
			continue
		}
		if r.err != nil || r.body.RequestID != r.id || (r.status != http.StatusOK && r.body.Outcome == "") {
			wrong = append(wrong, fmt.Sprintf("request %s in flight was interrupted: %+v", r.id, r))
		}
		if faults[0].name == "none" && !r.body.Coverage.Whole {
			wrong = append(wrong, fmt.Sprintf("request %s was not answered whole without a fault: %+v", r.id, r))
		}
	}
	if !c.pass(5*time.Minute, stopping.ended) || stopping.err != nil {
		wrong = append(wrong, fmt.Sprintf("the stop did not end well: %v", stopping.err))
	}
	<-others

	return wrong
}

func (c *cluster) stateOf(of *process, name string) string {
	for _, m := range of.Status().Members {
		if m.Name == name {
			return m.State
		}
	}

	return ""
}

// refuses reports whether an instance refuses a request as stopping.
func (c *cluster) refuses(p *process) bool {
	response, err := c.get("http://" + p.Addresses().Caller.String() + "/query")
	if err != nil {
		return true
	}
	defer response.Body.Close()

	return response.StatusCode == http.StatusServiceUnavailable
}

var _ = Describe("Stop", func() {
	var cells []any
	for _, step := range stopSteps {
		cells = append(cells, Entry(step+": none", step, clusterFault{name: "none", begin: func(*cluster) {}}))
		for _, fault := range clusterFaults {
			// A cell that cannot occur has its reason at the fault and no entry.
			if fault.impossible(step) == "" {
				cells = append(cells, Entry(fmt.Sprintf("%s: %s", step, fault.name), step, fault))
			}
		}
	}
	random := rand.New(rand.NewPCG(seed(), 1))
	for drawn := 0; drawn < 10; {
		step := stopSteps[random.IntN(len(stopSteps))]
		a, b := clusterFaults[random.IntN(len(clusterFaults))], clusterFaults[random.IntN(len(clusterFaults))]
		if a.name != b.name && a.impossible(step) == "" && b.impossible(step) == "" {
			drawn++
			cells = append(cells, Entry(fmt.Sprintf("%s: %s and %s, seed %d", step, a.name, b.name, seed()), step, a, b))
		}
	}
	DescribeTable("answers every request in flight under one fault and under two", append([]any{func(step string, faults ...clusterFault) {
		Expect(stopCell(stopTimeout, step, faults...)).To(BeEmpty())
	}}, cells...)...)
})
