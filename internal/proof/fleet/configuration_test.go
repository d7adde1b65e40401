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

// outage is the virtual time for which a fault lasts, above membership.PauseGap and the time after which a killed
// instance is failed.
const outage = 10 * time.Second

var configurationSteps = []string{
	"apply before the announcement", "apply before the write", "apply after the write", "apply after the confirmation",
	"watch", "passing on", "taking into force", "start of an instance",
}

// fault is one kind of fault. begin starts it at the instance that is in the step.
type fault struct {
	name  string
	begin func(f *fleet, n *node)
	// never gives the reason why the fault cannot meet a step.
	never func(step string) string
}

func store(name string, s standin.Fault, zoned bool) fault {
	return fault{name: name, begin: func(f *fleet, n *node) {
		fault := s
		if zoned {
			fault.AvailabilityZones = []zone.Zone{n.self.AvailabilityZone}
		}
		f.platform.SetFaults(append(f.platform.Faults(), fault)...)
	}}
}

func beforeWrite(f fault) fault {
	f.never = func(step string) string {
		if !strings.HasPrefix(step, "apply") || step == "apply after the confirmation" {
			return "no write follows this step"
		}

		return ""
	}

	return f
}

func noTarget(name string) fault {
	return fault{name: name, never: func(string) string { return "a target takes no part in a configuration" }}
}

func separate(f *fleet, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = func(a, b *node) bool {
		return (a.self.AvailabilityZone == n.self.AvailabilityZone) != (b.self.AvailabilityZone == n.self.AvailabilityZone)
	}
}

var configurationFaults = []fault{
	{name: "entry instance killed", begin: func(_ *fleet, n *node) { n.kill() }},
	{name: "entry instance frozen", begin: func(_ *fleet, n *node) { n.freeze() }},
	{name: "entry instance restarted", begin: func(f *fleet, n *node) {
		n.kill()
		f.start(int(n.self.Peer.Addr().As4()[3])-1, n.self.Incarnation+1)
	}},
	{name: "peer cut off", begin: func(_ *fleet, n *node) { n.setCut(true) }},
	{name: "zone cut off from the others", begin: separate},
	store("zone cut off from the platform", standin.Fault{Down: true}, true),
	{name: "zone cut off from both", begin: func(f *fleet, n *node) {
		separate(f, n)
		store("", standin.Fault{Down: true}, true).begin(f, n)
	}},
	store("store down", standin.Fault{Down: true}, false),
	store("store slow", standin.Fault{Slow: duration.Duration(3 * time.Second)}, false),
	store("store overloaded", standin.Fault{Overload: 1}, false),
	beforeWrite(store("write taken, reply lost", standin.Fault{LoseReply: 1}, false)),
	beforeWrite(store("write delayed", standin.Fault{DelayWrite: 1, DelayAfter: duration.Duration(5 * time.Second)}, false)),
	store("watch silent", standin.Fault{SilentWatch: true}, false),
	{name: "list lagging", begin: func(f *fleet, n *node) {
		f.list(standin.Update{Lag: new(duration.Duration(time.Hour)), Remove: []string{n.self.Name}})
	}},
	store("list frozen", standin.Fault{FreezeList: true}, false),
	{name: "two operators racing", begin: func(f *fleet, _ *node) { f.apply("rival", `"rival"`) }},
	{name: "operator killed", begin: func(f *fleet, _ *node) { f.kill("second") }, never: func(step string) string {
		if !strings.HasPrefix(step, "apply") {
			return "no operator takes part in the step"
		}

		return ""
	}},
	{name: "clock of one instance off", begin: func(_ *fleet, n *node) { n.clock.Advance(time.Hour) }},
	noTarget("target draining"), noTarget("target killed"), noTarget("target leaving only on the list"), noTarget("wrong report"),
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// cell runs the faults at a step of the second revision and returns what the judge found wrong.
func cell(step string, faults ...fault) []string {
	f := newFleetAt(9, unchanged)

	var met sync.Once
	var victim *node
	fired := make(chan struct{})
	f.mu.Lock()
	f.hook = func(at string, n *node) {
		if at != step {
			return
		}
		met.Do(func() {
			victim = n
			if n.ctx == nil {
				// The faults of instances meet one at random while an operator is in the step.
				victim = f.all()[rand.New(rand.NewPCG(seed(), uint64(len(step)))).IntN(9)]
			}
			for _, fault := range faults {
				fault.begin(f, victim)
			}
			close(fired)
		})
	}
	f.mu.Unlock()
	f.apply("second", `"two"`)
	if step == "start of an instance" {
		Expect(f.pass(time.Minute, f.settledAll)).To(BeTrue())
		f.start(9, 1)
	}
	Expect(f.pass(time.Minute, func() bool {
		select {
		case <-fired:
			return true
		default:
			return false
		}
	})).To(BeTrue(), "the step is reached")
	f.pass(outage, func() bool { return false })

	f.platform.SetFaults()
	f.mu.Lock()
	f.apart, f.hook = func(*node, *node) bool { return false }, nil
	f.mu.Unlock()
	victim.setCut(false)
	victim.resume()
	if !f.pass(2*time.Minute, f.settledAll) {
		return []string{"an apply has no outcome after the faults have ended"}
	}
	accepted := decode(f.record())
	f.pass(2*time.Minute, func() bool { return len(f.judge(accepted)) == 0 })

	return f.judge(accepted)
}

var _ = Describe("Configuration", func() {
	impossible := func(step string, faults ...fault) string {
		for _, fault := range faults {
			if fault.never != nil && fault.never(step) != "" {
				return fault.never(step)
			}
		}

		return ""
	}
	var single, pairs []any
	for _, step := range configurationSteps {
		for _, fault := range configurationFaults {
			// A cell that cannot occur has its reason at the fault and no entry.
			if impossible(step, fault) == "" {
				single = append(single, Entry(fmt.Sprintf("%s: %s", step, fault.name), step, fault))
			}
		}
	}
	DescribeTable("stays accepted and never reverts under one fault", append([]any{func(step string, f fault) {
		Expect(cell(step, f)).To(BeEmpty())
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
		Expect(cell(step, faults...)).To(BeEmpty())
	}}, pairs)...)
})
