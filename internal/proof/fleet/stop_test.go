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

// clusterFault is a fault in a cluster. Unless its name says that it affects the stopping instance, a fault of one instance affects
// another one, mostly e1, which is in the same availability zone and owns some of the targets.
type clusterFault struct {
	name              string
	inject            func(c *cluster)
	impossibleBecause func(step string) string
	// listUnavailable says that instances cannot learn of a leaving target from the platform's list during the fault.
	listUnavailable bool
	// holdTime is the real time for which the targets hold back their queries, unless the instance exits earlier.
	holdTime time.Duration
}

func (f clusterFault) reasonImpossible(step string) string {
	if f.impossibleBecause == nil {
		return ""
	}

	return f.impossibleBecause(step)
}

func newClusterStoreFault(name string, listUnavailable bool, f standin.Fault) clusterFault {
	return clusterFault{name: name, listUnavailable: listUnavailable, inject: func(c *cluster) { c.platform.SetFaults(f) }}
}

// onlyBeforeClaim limits a fault of writes to the steps at which the instance still writes claims.
func onlyBeforeClaim(f clusterFault) clusterFault {
	f.impossibleBecause = func(step string) string {
		if step == "draining" || step == "closing" {
			return "no claim is written once new requests are refused"
		}

		return ""
	}

	return f
}

// isolateInstance cuts off e1 from its peers. To them it looks like an instance that was killed.
func isolateInstance(c *cluster) {
	c.entries[1].isolated.Store(true)
	c.closeIsolatedConnections()
}

// isolateZones cuts off the two availability zones from each other.
func isolateZones(c *cluster) {
	c.zonesIsolated.Store(true)
	c.closeIsolatedConnections()
}

var firstZone = []zone.Zone{"Kochi"}

var clusterFaults = []clusterFault{
	{name: "entry instance killed", inject: func(c *cluster) { isolateInstance(c); c.entries[1].stop() }},
	{name: "stopping instance frozen", inject: func(c *cluster) { c.entries[0].clock.Advance(30 * time.Second) }},
	{name: "other instance frozen", inject: func(c *cluster) { c.entries[1].frozen.Store(true) }},
	{name: "entry instance restarted", inject: func(c *cluster) {
		isolateInstance(c)
		c.entries[1].stop()
		c.start("e1", "Kochi", stopTimeout)
	}},
	{name: "peer cut off", inject: isolateInstance},
	{name: "all peers cut off", inject: func(c *cluster) {
		for _, e := range c.entries {
			e.isolated.Store(true)
		}
		c.closeIsolatedConnections()
	}},
	{name: "zone cut off from the other", inject: isolateZones},
	newClusterStoreFault("zone cut off from the platform", true, standin.Fault{AvailabilityZones: firstZone, Down: true}),
	{name: "zone cut off from the other and the platform", listUnavailable: true, inject: func(c *cluster) {
		isolateZones(c)
		c.platform.SetFaults(standin.Fault{AvailabilityZones: firstZone, Down: true})
	}},
	newClusterStoreFault("store down", true, standin.Fault{Down: true}),
	newClusterStoreFault("store slow", true, standin.Fault{Slow: duration.Duration(3 * time.Second)}),
	newClusterStoreFault("store overloaded", true, standin.Fault{Overload: 1}),
	onlyBeforeClaim(newClusterStoreFault("write applied, reply lost", false, standin.Fault{LoseReply: 1})),
	onlyBeforeClaim(newClusterStoreFault("write delayed", false,
		standin.Fault{DelayWrite: 1, DelayAfter: duration.Duration(time.Second)})),
	newClusterStoreFault("watch silent", false, standin.Fault{SilentWatch: true}),
	{name: "list lagging", listUnavailable: true, inject: func(c *cluster) {
		Expect(c.platform.UpdateList(standin.Update{Lag: new(duration.Duration(time.Hour))})).To(Succeed())
	}},
	newClusterStoreFault("list frozen", true, standin.Fault{FreezeList: true}),
	{name: "two operators racing", inject: func(c *cluster) {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			c.apply("rival", []byte(`{}`))
		}()
		c.apply("second", []byte(`{"AvailabilityZones":["Kochi"]}`))
		<-done
	}},
	{name: "clock of one instance ahead", inject: func(c *cluster) { c.entries[2].clock.Advance(time.Hour) }},
	{name: "target draining", inject: func(c *cluster) { Expect(c.targets[0].SetFault(backend.Fault{Drain: true})).To(Succeed()) }},
	{name: "target killed", inject: func(c *cluster) { c.targets[0].kill() }},
	{name: "target leaving only on the list", inject: func(c *cluster) { c.listAsLeaving(0) }},
	{name: "wrong report", inject: func(c *cluster) {
		// SetFault replaces the faults in force. If the target is draining, the new fault keeps it draining.
		Expect(c.targets[1].SetFault(backend.Fault{WrongReport: true, Drain: c.targets[1].Report().Draining})).To(Succeed())
	}},
}

// listAsLeaving marks target i as leaving on the platform's list.
func (c *cluster) listAsLeaving(i int) {
	Expect(c.platform.UpdateList(standin.Update{Entries: []platform.Listed{{
		Name: fmt.Sprint("t", i), Kind: platform.Target, Address: c.targets[i].address, AvailabilityZone: zones[i/2],
		State: platform.Leaving,
	}}})).To(Succeed())
}

// runStopCell stops e0 while requests are in flight, injects the faults at a step of the stop, and returns the violations.
func runStopCell(timeout time.Duration, step string, faults ...clusterFault) (violations []string) {
	c := newCluster(timeout, nil)
	stopping := c.entries[0]
	for _, r := range c.targets {
		r.closeGate()
	}
	var replies []<-chan reply
	for _, service := range []string{"page", "record", "page"} {
		replies = append(replies, c.send(stopping, service))
	}
	otherReply := c.send(c.entries[1], "page")
	// The targets hold 7 queries: those of three pages with two shards each, and that of one record.
	polls := 0
	Eventually(func() (held int64) {
		for _, r := range c.targets {
			held += r.heldQueries.Load()
		}
		if held < 7 {
			c.advance()
			// A request may end before its queries are held. It is checked like the others, and another one is sent.
			if polls++; polls%50 == 0 {
				replies = append(replies, c.send(stopping, "page"))
			}
		}

		return held
	}, realTimeout, "20ms").Should(BeNumerically(">=", 7))

	stopping.stop()
	Eventually(stopping.Ready, realTimeout).ShouldNot(Succeed())
	inFlight := len(replies)
	if step == "waiting" {
		Eventually(func() string { return c.memberState(stopping, stopping.name) }, realTimeout).ShouldNot(Equal("Alive"))
	}
	if step == "draining" || step == "closing" {
		Expect(c.advanceUntil(time.Minute, func() bool { return c.refusesRequests(stopping) })).
			To(BeTrue(), "the instance must begin to drain")
	}
	for _, fault := range faults {
		fault.inject(c)
	}
	if step == "readiness off" || step == "waiting" {
		// These requests arrive after the stop began. They may be refused as not run, but their connections must not break.
		replies = append(replies, c.send(stopping, "page"), c.send(stopping, "record"))
	}
	if step != "closing" {
		c.advanceUntil(4*time.Second, stopping.hasExited)
	}
	select {
	case <-stopping.done:
	case <-time.After(faults[0].holdTime):
	}
	for _, r := range c.targets {
		r.openGate()
	}
	for i, pending := range replies {
		var r reply
		if !c.advanceUntil(5*time.Minute, func() bool {
			select {
			case r = <-pending:
				return true
			default:
				return false
			}
		}) {
			violations = append(violations, "a request in flight was not answered")

			continue
		}
		if i >= inFlight && r.err == nil && r.body.Code == "NotReady" && r.body.Outcome == "NotRun" {
			// A draining instance refuses requests without reading them, so the refusal has no RequestID.
			continue
		}
		if r.err != nil || r.body.RequestID != r.id || (r.status != http.StatusOK && r.body.Outcome == "") {
			violations = append(violations, fmt.Sprintf("request %s in flight was interrupted: %+v", r.id, r))
		}
		if faults[0].name == "no fault" && !r.body.Coverage.Whole {
			violations = append(violations,
				fmt.Sprintf("request %s has incomplete coverage although there was no fault: %+v", r.id, r))
		}
	}
	if !c.advanceUntil(5*time.Minute, stopping.hasExited) || stopping.err != nil {
		violations = append(violations, fmt.Sprintf("the instance did not exit, or exited with an error: %v", stopping.err))
	}
	<-otherReply

	return violations
}

// memberState returns the state of the member with this name in the member list of an instance.
func (c *cluster) memberState(of *realInstance, name string) string {
	for _, m := range of.Status().Members {
		if m.Name == name {
			return m.State
		}
	}

	return ""
}

// refusesRequests reports whether an instance refuses requests because it is stopping.
func (c *cluster) refusesRequests(p *realInstance) bool {
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
		cells = append(cells, Entry(step+": no fault", step, clusterFault{name: "no fault", inject: func(*cluster) {}}))
		for _, fault := range clusterFaults {
			// Faults that cannot occur at a step have no entry; the fault gives the reason.
			if fault.reasonImpossible(step) == "" {
				cells = append(cells, Entry(fmt.Sprintf("%s: %s", step, fault.name), step, fault))
			}
		}
	}
	random := rand.New(rand.NewPCG(seed(), 1))
	for drawn := 0; drawn < 10; {
		step := stopSteps[random.IntN(len(stopSteps))]
		a, b := clusterFaults[random.IntN(len(clusterFaults))], clusterFaults[random.IntN(len(clusterFaults))]
		if a.name != b.name && a.reasonImpossible(step) == "" && b.reasonImpossible(step) == "" {
			drawn++
			cells = append(cells, Entry(fmt.Sprintf("%s: %s and %s, seed %d", step, a.name, b.name, seed()), step, a, b))
		}
	}
	DescribeTable("answers every request in flight under one or two faults", append([]any{func(
		step string, faults ...clusterFault,
	) {
		Expect(runStopCell(stopTimeout, step, faults...)).To(BeEmpty())
	}}, cells...)...)
})
