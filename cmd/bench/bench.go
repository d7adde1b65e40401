package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/bench/load"
	"github.com/hickorynotch/hickorynotch/internal/bench/report"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

const (
	// serviceTime is the median service time of the stand-in targets that scripts/bench starts. Service times are log-normal with
	// a standard deviation of the logarithm of 0.3, so that their mean is meanFactor times the median. The overload phases use
	// both constants only for their request rates. The capacity with which the results are compared is computed from the
	// journals of the targets.
	serviceTime = 4 * time.Millisecond
	meanFactor  = 1.046
	// catalogueSlots is the number of queries that the catalogue's targets can run concurrently: 40 replicas with 2 slots each.
	catalogueSlots = 80
)

// cellKey identifies a cell of the report.
type cellKey struct{ phase, class, policy string }

// cell is the measurement for one phase, class and policy, summed over all slices.
type cell struct {
	result   *load.Result
	counters load.Counters
	// spans are the start and end times of the slices.
	spans []span
	class load.Class
}

type span struct{ from, to time.Time }

// bench is the state of one run.
type bench struct {
	timers    *timer.Service
	generator *load.Generator
	control   *load.Control
	seed      uint64
	fleets    fleetFlags
	services  map[string]map[string]contract.Service // by deployment and name

	mutex          sync.Mutex
	cells          map[cellKey]*cell
	order          []cellKey                 // keys of cells in the order of their first slices
	policyCounters map[string]*load.Counters // sums over all slices, by policy
	version        uint64                    // newest index version of the catalogue's targets
	notes          []string                  // remarks for the report
}

// run runs all groups and returns the report.
func (b *bench) run(ctx context.Context, plan string, groups []group) (*report.Report, error) {
	b.cells, b.policyCounters, b.version = make(map[cellKey]*cell), make(map[string]*load.Counters), 1
	policies := b.policies()
	slice := 0
	for _, g := range groups {
		for round := range g.rounds {
			for _, p := range g.phases {
				// The order of policies rotates, so that no policy always runs first after a change of faults.
				for i := range policies {
					policy := policies[(i+round)%len(policies)]
					if err := b.runSlice(ctx, p, policy, round, slice); err != nil {
						return nil, err
					}
					slice++
				}
			}
		}
	}

	return b.report(ctx, plan)
}

// policies returns the names of the policies in the order of the flags.
func (b *bench) policies() (names []string) {
	for _, f := range b.fleets {
		if !slices.Contains(names, f.policy) {
			names = append(names, f.policy)
		}
	}

	return names
}

// runSlice sets the faults of p, sends load to the instances of one policy, and clears the faults.
func (b *bench) runSlice(ctx context.Context, p phase, policy string, round, sliceIndex int) error {
	// All policies of a round have the same arrivals and faults. The draining phase is an exception: a target that has reported
	// draining receives no requests afterwards, so each slice draws its own target.
	seed := b.seed ^ uint64(round+1)<<32
	source := rand.New(rand.NewPCG(seed, 1))
	if p.name == phaseReplicaDrains {
		source = rand.New(rand.NewPCG(seed, uint64(sliceIndex)))
	}
	all := b.targetAddresses()
	if p.faults != nil {
		if err := b.control.SetFaults(ctx, p.faults(source, b.faultCandidates(p))); err != nil {
			return err
		}
	}
	var changed chan error
	if p.name == phaseVersionChange {
		changed = make(chan error, 1)
		go func() { changed <- b.changeVersion(ctx, p.slice) }()
	}
	var running sync.WaitGroup
	failures := make(chan error, len(b.fleets))
	for _, f := range b.fleets {
		if f.policy != policy {
			continue
		}
		classes := b.classes(f, p)
		if len(classes) == 0 {
			continue
		}
		running.Go(func() {
			failures <- b.loadFleet(ctx, f, p, classes, seed, sliceIndex)
		})
	}
	running.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	if changed != nil {
		if err := <-changed; err != nil {
			return err
		}
	}
	if p.faults == nil {
		return nil
	}

	return b.control.SetFaults(ctx, noFaults(all))
}

// loadFleet runs the load of one slice against one fleet and adds the results and counters to the cells.
func (b *bench) loadFleet(ctx context.Context, f fleet, p phase, classes []load.Class, seed uint64, sliceIndex int) error {
	before, err := b.control.Read(ctx, f.instances)
	if err != nil {
		return err
	}
	s := load.Slice{
		Classes: classes, Length: p.slice, Seed: seed, Prefix: fmt.Sprintf("%s-%s-%d", f.policy, f.deployment, sliceIndex),
	}
	for _, i := range f.instances {
		s.Callers = append(s.Callers, i.Caller)
	}
	from := b.timers.Now()
	results := b.generator.Run(ctx, s)
	to := b.timers.Now()
	after, err := b.control.Read(ctx, f.instances)
	if err != nil {
		return err
	}
	after.Add(before, -1)

	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.policyCounters[f.policy] == nil {
		empty := load.NewCounters()
		b.policyCounters[f.policy] = &empty
	}
	b.policyCounters[f.policy].Add(after, 1)
	for i, class := range classes {
		k := cellKey{p.name, class.Service, f.policy}
		c := b.cells[k]
		if c == nil {
			c = &cell{result: load.NewResult(), counters: load.NewCounters(), class: class}
			b.cells[k] = c
			b.order = append(b.order, k)
		}
		c.result.Add(results[i])
		c.counters.Add(after, 1)
		c.spans = append(c.spans, span{from, to})
	}

	return nil
}

// classes returns the request classes of a phase for a fleet, with their rates.
func (b *bench) classes(f fleet, p phase) (classes []load.Class) {
	services := b.services[f.deployment]
	arrivalRates := rates[f.deployment]
	if p.capacity > 0 {
		if _, ok := services["catalogue"]; !ok {
			return nil
		}
		pageRate := catalogueSlots / (serviceTime.Seconds() * slowFactor * meanFactor) / float64(shardCounts["catalogue"])
		arrivalRates = map[string]float64{"catalogue": p.capacity * pageRate / 2, "catalogue-quick": p.capacity * pageRate / 2}
	}
	for _, name := range slices.Sorted(maps.Keys(arrivalRates)) {
		s, ok := services[name]
		if !ok {
			continue
		}
		classes = append(classes, load.Class{
			Service: name, Contract: s, Shards: shardsPerRequest(name, s.Class == contract.OneRecord), Rate: arrivalRates[name],
		})
	}

	return classes
}

// changeVersion adds the next index version to the catalogue's targets after one third of a slice, and withdraws the previous
// version after two thirds.
func (b *bench) changeVersion(ctx context.Context, length time.Duration) error {
	addresses := b.catalogueAddresses()
	next := b.version + 1
	for _, step := range []func() error{
		func() error { return b.control.SetFaults(ctx, addVersion(addresses, next)) },
		func() error { return b.control.SetFaults(ctx, withdrawVersion(addresses, next-1)) },
	} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.timers.After(length / 3):
		}
		if err := step(); err != nil {
			return err
		}
	}
	b.version = next

	return nil
}

// targetAddresses returns the addresses of all targets, those of the catalogue first.
func (b *bench) targetAddresses() []netip.AddrPort {
	addresses := b.catalogueAddresses()
	for _, deployment := range slices.Sorted(maps.Keys(b.services)) {
		services := b.services[deployment]
		for _, name := range slices.Sorted(maps.Keys(services)) {
			for _, r := range services[name].Replicas {
				if !slices.Contains(addresses, r.Address) {
					addresses = append(addresses, r.Address)
				}
			}
		}
	}

	return addresses
}

// faultCandidates returns the targets to which the faults of p may apply: all targets in the phases with stragglers, and otherwise
// those of the catalogue, where single faulty targets are chosen and overload is measured.
func (b *bench) faultCandidates(p phase) []netip.AddrPort {
	switch p.name {
	case phaseFewStragglers, phaseManyStragglers:
		return b.targetAddresses()
	default:
		return b.catalogueAddresses()
	}
}

func (b *bench) catalogueAddresses() (addresses []netip.AddrPort) {
	for _, deployment := range slices.Sorted(maps.Keys(b.services)) {
		for _, r := range b.services[deployment]["catalogue"].Replicas {
			addresses = append(addresses, r.Address)
		}
	}

	return addresses
}

// report reads the journals of the targets and computes the report.
func (b *bench) report(ctx context.Context, plan string) (*report.Report, error) {
	addresses := b.targetAddresses()
	journals, err := b.control.Journals(ctx, addresses)
	if err != nil {
		return nil, err
	}
	ledger := load.NewLedger(journals)
	r := &report.Report{
		Header: []string{
			"Both deployments on loopback, scaled to a shared machine: " + fmt.Sprint(rates) + " requests a second.",
			fmt.Sprintf("Targets take %s (median). The overload phases make them %d times as slow instead of raising the load to what "+
				"would saturate the machine.", serviceTime, slowFactor),
			"Policies run in alternation against the same targets. Latencies are those of answered requests, from the scheduled arrival.",
		},
		Seed:      b.seed,
		Processor: make(map[string]duration.Duration),
	}
	faults := make(map[cellKey]load.Faults)
	for _, k := range b.order {
		c := b.cells[k]
		faults[k] = ledger.Audit(c.result.Records)
		r.Rows = append(r.Rows, newRow(k, c, faults[k]))
	}
	for policy, c := range b.policyCounters {
		sent := 0.0
		for service := range c.Attempts {
			sent += c.Sent(service)
		}
		r.Processor[policy] = duration.Duration(float64(c.Processor) / max(sent, 1))
	}
	if ledger.Dropped > 0 {
		r.Notes = append(r.Notes, fmt.Sprintf("The journals dropped %d entries; counts of runs are not complete.", ledger.Dropped))
	}
	if plan == "limits" {
		r.Notes = append(r.Notes, b.usageNotes(ledger, journals)...)
	} else {
		r.Targets = b.evaluateGoals(ledger, faults)
		r.Notes = append(r.Notes, b.notes...)
	}

	return r, nil
}

// usageNotes describes, for each deployment, the connections that the catalogue's targets accepted from instances and the slots in
// use at them.
func (b *bench) usageNotes(ledger *load.Ledger, journals []target.Journal) (notes []string) {
	first := 0
	for _, deployment := range slices.Sorted(maps.Keys(b.services)) {
		replicas := b.services[deployment]["catalogue"].Replicas
		end := first + len(replicas)
		connections, open := 0, 0
		for i, replica := range replicas {
			n := journals[first+i].Connections - b.control.Calls(replica.Address)
			connections += n
			open = max(open, journals[first+i].MostOpen)
		}
		notes = append(notes, fmt.Sprintf(
			"%s: connections accepted by a target since the start: mean %.1f; most open at a time, including one of the bench: %d",
			deployment, float64(connections)/float64(max(len(replicas), 1)), open))
		for _, phase := range []string{phaseSlowTargets, phaseAtCapacity} {
			// In the plan limits, each deployment has one policy, which has the same name.
			c := b.cells[cellKey{phase, "catalogue", deployment}]
			if c == nil {
				continue
			}
			mean, peak := 0.0, 0
			for _, s := range c.spans {
				u := ledger.Use(s.from, s.to, first, end)
				mean += u.Mean / float64(len(c.spans))
				peak = max(peak, u.Peak)
			}
			notes = append(notes, fmt.Sprintf("%s, %s: slots in use at a target: mean %.2f, peak %d",
				deployment, phase, mean, peak))
		}
		first = end
	}

	return notes
}

func newRow(k cellKey, c *cell, f load.Faults) report.Row {
	sent := c.counters.Sent(k.class)

	return report.Row{
		Phase: k.phase, Class: k.class, Policy: k.policy,
		Sent: c.result.Sent, Unsent: c.result.Unsent,
		P50:       duration.Duration(c.result.Quantile(50)),
		P99:       duration.Duration(c.result.Quantile(99)),
		P999:      duration.Duration(c.result.Quantile(99.9)),
		Whole:     float64(c.result.Whole) / float64(max(c.result.Sent+c.result.Unsent, 1)),
		Coverage:  c.result.Coverage / float64(max(c.result.Answers(), 1)),
		ExtraLoad: c.extraLoad(),
		Shed:      c.counters.Sent(k.class, "Shed") / max(sent, 1),
		Worth:     c.result.Worth,
		Doubled:   f.Doubled,
		Refusals:  c.result.Refusals,
	}
}

// extraLoad returns the number of target requests beyond the needed ones, as a fraction of the needed ones.
func (c *cell) extraLoad() float64 {
	return c.counters.Sent(c.class.Service)/float64(max(c.result.Needed, 1)) - 1
}
