package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// faultDuration is the virtual time for which a fault lasts. It is longer than membership.PauseGap and than the time after which
// peers regard a killed instance as failed.
const faultDuration = 10 * time.Second

var configurationSteps = []string{
	"apply before the announcement", "apply before the write", "apply after the write", "apply after the confirmation",
	"watch", "push to a peer", "adoption", "start of an instance",
}

// fault is one kind of fault. inject starts it; faults of instances affect the instance that is in the step.
type fault struct {
	name   string
	inject func(f *fleet, n *simulatedInstance)
	// impossible returns the reason why the fault cannot occur at a step, or "" if it can. It is nil if the fault can
	// occur at every step.
	impossible func(step string) string
}

// newStoreFault returns a fault of the store, only for the availability zone of the affected instance if zoneOnly is set.
func newStoreFault(name string, s standin.Fault, zoneOnly bool) fault {
	return fault{name: name, inject: func(f *fleet, n *simulatedInstance) {
		fault := s
		if zoneOnly {
			fault.AvailabilityZones = []zone.Zone{n.self.AvailabilityZone}
		}
		f.platform.SetFaults(append(f.platform.Faults(), fault)...)
	}}
}

// onlyBeforeWrite limits a fault of writes to the steps that a write follows.
func onlyBeforeWrite(f fault) fault {
	f.impossible = func(step string) string {
		if !strings.HasPrefix(step, "apply") || step == "apply after the confirmation" {
			return "no write follows this step"
		}

		return ""
	}

	return f
}

// impossibleTargetFault returns a fault of targets, which cannot affect a configuration. The entry documents why the matrix has
// no such row.
func impossibleTargetFault(name string) fault {
	return fault{name: name, impossible: func(string) string { return "targets do not take part in the spread of configurations" }}
}

// isolateZone cuts off the availability zone of n from the others.
func isolateZone(f *fleet, n *simulatedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = func(a, b *simulatedInstance) bool {
		return (a.self.AvailabilityZone == n.self.AvailabilityZone) != (b.self.AvailabilityZone == n.self.AvailabilityZone)
	}
}

var configurationFaults = []fault{
	{name: "entry instance killed", inject: func(_ *fleet, n *simulatedInstance) { n.kill() }},
	{name: "entry instance frozen", inject: func(_ *fleet, n *simulatedInstance) { n.freeze() }},
	{name: "entry instance restarted", inject: func(f *fleet, n *simulatedInstance) {
		n.kill()
		f.start(int(n.self.Peer.Addr().As4()[3])-1, n.self.Incarnation+1)
	}},
	{name: "peer cut off", inject: func(_ *fleet, n *simulatedInstance) { n.setIsolated(true) }},
	{name: "zone cut off from the others", inject: isolateZone},
	newStoreFault("zone cut off from the platform", standin.Fault{Down: true}, true),
	{name: "zone cut off from the others and the platform", inject: func(f *fleet, n *simulatedInstance) {
		isolateZone(f, n)
		newStoreFault("", standin.Fault{Down: true}, true).inject(f, n)
	}},
	newStoreFault("store down", standin.Fault{Down: true}, false),
	newStoreFault("store slow", standin.Fault{Slow: duration.Duration(3 * time.Second)}, false),
	newStoreFault("store overloaded", standin.Fault{Overload: 1}, false),
	onlyBeforeWrite(newStoreFault("write applied, reply lost", standin.Fault{LoseReply: 1}, false)),
	onlyBeforeWrite(newStoreFault("write delayed", standin.Fault{DelayWrite: 1, DelayAfter: duration.Duration(5 * time.Second)},
		false)),
	newStoreFault("watch silent", standin.Fault{SilentWatch: true}, false),
	{name: "list lagging", inject: func(f *fleet, n *simulatedInstance) {
		f.updateList(standin.Update{Lag: new(duration.Duration(time.Hour)), Remove: []string{n.self.Name}})
	}},
	newStoreFault("list frozen", standin.Fault{FreezeList: true}, false),
	{name: "two operators racing", inject: func(f *fleet, _ *simulatedInstance) { f.apply("rival", `"rival"`) }},
	{
		name:   "operator killed",
		inject: func(f *fleet, _ *simulatedInstance) { f.killOperator("second") },
		impossible: func(step string) string {
			if !strings.HasPrefix(step, "apply") {
				return "no operator takes part in the step"
			}

			return ""
		},
	},
	{name: "clock of one instance ahead", inject: func(_ *fleet, n *simulatedInstance) { n.clock.Advance(time.Hour) }},
	impossibleTargetFault("target draining"), impossibleTargetFault("target killed"),
	impossibleTargetFault("target leaving only on the list"), impossibleTargetFault("wrong report"),
}

func (n *simulatedInstance) setIsolated(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
}

// runConfigurationCell injects the faults when the second revision reaches a step, ends them after faultDuration, and returns the
// violations.
func runConfigurationCell(step string, faults ...fault) []string {
	f := newSettledFleet(9, unmodified)

	var once sync.Once
	var affected *simulatedInstance
	injected := make(chan struct{})
	f.mu.Lock()
	f.onStep = func(at string, n *simulatedInstance) {
		if at != step {
			return
		}
		once.Do(func() {
			affected = n
			if n.ctx == nil {
				// An operator is in the step, so faults of instances affect a random one. The seed depends on the length of the
				// step's name.
				affected = f.instances()[rand.New(rand.NewPCG(seed(), uint64(len(step)))).IntN(9)]
			}
			for _, fault := range faults {
				fault.inject(f, affected)
			}
			close(injected)
		})
	}
	f.mu.Unlock()
	f.apply("second", `"two"`)
	if step == "start of an instance" {
		Expect(f.advanceUntil(time.Minute, f.appliesDone)).To(BeTrue())
		f.start(9, 1)
	}
	Expect(f.advanceUntil(time.Minute, func() bool {
		select {
		case <-injected:
			return true
		default:
			return false
		}
	})).To(BeTrue(), "the second revision must reach the step")
	f.advanceUntil(faultDuration, func() bool { return false })

	f.platform.SetFaults()
	f.mu.Lock()
	f.partitioned, f.onStep = func(*simulatedInstance, *simulatedInstance) bool { return false }, nil
	f.mu.Unlock()
	affected.setIsolated(false)
	affected.resume()
	if !f.advanceUntil(2*time.Minute, f.appliesDone) {
		return []string{"an apply has no outcome 2 minutes after the faults have ended"}
	}
	accepted := decode(f.storedRecord())
	f.advanceUntil(2*time.Minute, func() bool { return len(f.violations(accepted)) == 0 })

	return f.violations(accepted)
}

var _ = Describe("Configuration", func() {
	impossible := func(step string, faults ...fault) string {
		for _, fault := range faults {
			if fault.impossible != nil && fault.impossible(step) != "" {
				return fault.impossible(step)
			}
		}

		return ""
	}
	var single, pairs []any
	for _, step := range configurationSteps {
		for _, fault := range configurationFaults {
			// Faults that cannot occur at a step have no entry; the fault gives the reason.
			if impossible(step, fault) == "" {
				single = append(single, Entry(fmt.Sprintf("%s: %s", step, fault.name), step, fault))
			}
		}
	}
	DescribeTable("stays accepted and never reverts under one fault", append([]any{func(step string, f fault) {
		Expect(runConfigurationCell(step, f)).To(BeEmpty())
	}}, single...)...)

	random := rand.New(rand.NewPCG(seed(), 0))
	for len(pairs) < 24 {
		step := configurationSteps[random.IntN(len(configurationSteps))]
		a, b := configurationFaults[random.IntN(len(configurationFaults))], configurationFaults[random.IntN(len(configurationFaults))]
		if a.name != b.name && impossible(step, a, b) == "" {
			pairs = append(pairs, Entry(fmt.Sprintf("%s: %s and %s, seed %d", step, a.name, b.name, seed()), step, []fault{a, b}))
		}
	}
	DescribeTable("stays accepted and never reverts under two faults", slices.Concat([]any{func(step string, faults []fault) {
		Expect(runConfigurationCell(step, faults...)).To(BeEmpty())
	}}, pairs)...)
})
