package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/bench/load"
	"github.com/hickorynotch/hickorynotch/internal/bench/report"
)

// The bounds of the performance goals. They follow from the needs of the deployments and must not be adjusted to measurements.
const (
	boundPageRatio = 1.3
	boundExtraLoad = 0.02
	boundWhole     = 0.999
	boundWorth     = 0.95
	boundShed      = 0.01
	boundAddedLoad = 0
)

// evaluateGoals compares the measurements of each policy with the bounds.
func (b *bench) evaluateGoals(ledger *load.Ledger, faults map[cellKey]load.Faults) (goals []report.Target) {
	add := func(name, policy string, value, bound float64, atLeast bool) {
		goals = append(goals, report.Target{Name: name, Policy: policy, Value: value, Bound: bound, AtLeast: atLeast})
	}
	for _, policy := range b.policies() {
		noFault, stragglers := b.cells[cellKey{phaseNoFault, "catalogue", policy}],
			b.cells[cellKey{phaseFewStragglers, "catalogue", policy}]
		if noFault != nil && stragglers != nil {
			add("full page: p99 with 1% stragglers / without", policy,
				ratio(stragglers.result.Quantile(99), noFault.result.Quantile(99)), boundPageRatio, false)
			add("full page: extra load with 1% stragglers", policy, stragglers.extraLoad(), boundExtraLoad, false)
			add("full page: whole answers with 1% stragglers", policy,
				float64(stragglers.result.Whole)/float64(max(stragglers.result.Sent+stragglers.result.Unsent, 1)), boundWhole, true)
		}
		if quick := b.cells[cellKey{phaseFewStragglers, "catalogue-quick", policy}]; quick != nil {
			add("quick match: p99 with 1% stragglers / FirstUseful", policy,
				ratio(quick.result.Quantile(99), quick.class.Contract.FirstAnswer()), 1, false)
		}
		var sum load.Faults
		for k, f := range faults {
			if k.policy == policy {
				sum.Doubled += f.Doubled
				sum.LostUntold += f.LostUntold
				sum.UnknownUntouched += f.UnknownUntouched
				sum.Untrue += f.Untrue
			}
		}
		add("all classes: answers with untrue coverage", policy, float64(sum.Untrue), 0, false)
		add("one record: doubled", policy, float64(sum.Doubled), 0, false)
		add("one record: lost without being told", policy, float64(sum.LostUntold), 0, false)
		add("one record: Unknown although no target was touched", policy, float64(sum.UnknownUntouched), 0, false)
		b.evaluateOverloadGoals(ledger, policy, add)
	}
	positions := make(map[string]int)
	for i, t := range goals {
		if _, ok := positions[t.Name]; !ok {
			positions[t.Name] = i
		}
	}
	// Groups the goals by name, so that the policies appear together.
	slices.SortStableFunc(goals, func(a, b report.Target) int { return cmp.Compare(positions[a.Name], positions[b.Name]) })

	return goals
}

// evaluateOverloadGoals compares the measurements of the overload phase with the bounds, if both this phase and the one with the
// baseline load were run, and adds a note on the slots in use.
func (b *bench) evaluateOverloadGoals(ledger *load.Ledger, policy string, add func(string, string, float64, float64, bool)) {
	names := []string{"catalogue", "catalogue-quick"}
	var cells, baseline []*cell
	for _, name := range names {
		if c := b.cells[cellKey{phaseOverload, name, policy}]; c != nil {
			cells = append(cells, c)
		}
		if c := b.cells[cellKey{phaseSlowTargets, name, policy}]; c != nil {
			baseline = append(baseline, c)
		}
	}
	if len(cells) != len(names) || len(baseline) != len(names) {
		return
	}
	worth, shed, sent := 0.0, 0.0, 0.0
	for i, c := range cells {
		worth += c.result.Worth
		shed += c.counters.Sent(names[i], "Shed")
		sent += c.counters.Sent(names[i])
	}
	meanSlots := 0.0
	for _, s := range cells[0].spans {
		meanSlots += ledger.Use(s.from, s.to, 0, len(b.catalogueAddresses())).Mean / float64(len(cells[0].spans))
	}
	b.notes = append(b.notes, fmt.Sprintf("2x overload, %s: slots in use at a target: mean %.2f of 2", policy, meanSlots))
	add("2x overload: worth answered / worth that capacity allows", policy,
		worth/b.achievableWorth(ledger, cells), boundWorth, true)
	add("2x overload: extra load above that without overload", policy,
		extraLoadOf(cells)-extraLoadOf(baseline), boundAddedLoad, false)
	add("2x overload: target requests shed", policy, shed/max(sent, 1), boundShed, false)
}

// achievableWorth returns the maximum worth of answers that the targets have capacity for in the slices of cells: requests with the
// highest worth per target request are counted first. The capacity is that of all slots at the mean service time in these slices.
func (b *bench) achievableWorth(ledger *load.Ledger, cells []*cell) float64 {
	var busy, length time.Duration
	n := 0
	for _, s := range cells[0].spans {
		mean, count := ledger.ServiceTime(s.from, s.to, len(b.catalogueAddresses()))
		busy += mean * time.Duration(count)
		n += count
		length += s.to.Sub(s.from)
	}
	if n == 0 {
		return math.NaN()
	}
	capacity := catalogueSlots * float64(length) / (float64(busy) / float64(n))
	ordered := slices.Clone(cells)
	slices.SortFunc(ordered, func(a, b *cell) int {
		return cmp.Compare(b.class.Contract.Worth/float64(b.class.Shards), a.class.Contract.Worth/float64(a.class.Shards))
	})
	worth := 0.0
	for _, c := range ordered {
		requests := min(float64(c.result.Sent+c.result.Unsent), capacity/float64(c.class.Shards))
		capacity -= requests * float64(c.class.Shards)
		worth += requests * c.class.Contract.Worth
	}

	return worth
}

// extraLoadOf returns the extra load of all cells together, as a fraction of the needed target requests.
func extraLoadOf(cells []*cell) float64 {
	sent, needed := 0.0, 0.0
	for _, c := range cells {
		sent += c.counters.Sent(c.class.Service)
		needed += float64(c.result.Needed)
	}

	return sent/max(needed, 1) - 1
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}
