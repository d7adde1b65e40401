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

// The bounds of the targets. They are set by what the deployments need and never by what was measured.
const (
	boundPageRatio   = 1.3
	boundExtraLoad   = 0.02
	boundWhole       = 0.999
	boundWorth       = 0.95
	boundShed        = 0.01
	boundOverloadAdd = 0
)

// targets compares the figures of each policy with the bounds.
func (b *bench) targets(ledger *load.Ledger, faults map[key]load.Faults) (targets []report.Target) {
	add := func(name, policy string, value, bound float64, atLeast bool) {
		targets = append(targets, report.Target{Name: name, Policy: policy, Value: value, Bound: bound, AtLeast: atLeast})
	}
	for _, policy := range b.policies() {
		base, page := b.cells[key{quiet, "catalogue", policy}], b.cells[key{stragglers, "catalogue", policy}]
		if base != nil && page != nil {
			add("full page: p99 with 1% stragglers / without", policy, ratio(page.result.Quantile(99), base.result.Quantile(99)),
				boundPageRatio, false)
			add("full page: extra load with 1% stragglers", policy, page.extraLoad(), boundExtraLoad, false)
			add("full page: whole answers with 1% stragglers", policy,
				float64(page.result.Whole)/float64(max(page.result.Sent+page.result.Unsent, 1)), boundWhole, true)
		}
		if quick := b.cells[key{stragglers, "catalogue-quick", policy}]; quick != nil {
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
		b.overloadTargets(ledger, policy, add)
	}
	places := make(map[string]int)
	for i, t := range targets {
		if _, ok := places[t.Name]; !ok {
			places[t.Name] = i
		}
	}
	// The policies of one target stand together.
	slices.SortStableFunc(targets, func(a, b report.Target) int { return cmp.Compare(places[a.Name], places[b.Name]) })

	return targets
}

func (b *bench) overloadTargets(ledger *load.Ledger, policy string, add func(string, string, float64, float64, bool)) {
	names := []string{"catalogue", "catalogue-quick"}
	var cells, spare []*cell
	for _, name := range names {
		if c := b.cells[key{overload, name, policy}]; c != nil {
			cells = append(cells, c)
		}
		if c := b.cells[key{slow, name, policy}]; c != nil {
			spare = append(spare, c)
		}
	}
	if len(cells) != len(names) || len(spare) != len(names) {
		return
	}
	worth, shed, sent := 0.0, 0.0, 0.0
	for i, c := range cells {
		worth += c.result.Worth
		shed += c.counters.Sent(names[i], "Shed")
		sent += c.counters.Sent(names[i])
	}
	use := 0.0
	for _, s := range cells[0].spans {
		use += ledger.Use(s.from, s.to, 0, len(b.catalogue())).Mean / float64(len(cells[0].spans))
	}
	b.notes = append(b.notes, fmt.Sprintf("2x overload, %s: slots in use at a target: mean %.2f of 2", policy, use))
	add("2x overload: worth answered / worth that capacity allows", policy, worth/b.allowedWorth(ledger, cells), boundWorth, true)
	add("2x overload: extra load above that without overload", policy, extra(cells)-extra(spare), boundOverloadAdd, false)
	add("2x overload: target requests shed", policy, shed/max(sent, 1), boundShed, false)
}

// allowedWorth returns the worth of what the targets could run in the slices of cells, those of highest worth for each target
// request first. The capacity is that of all slots at the mean service time in these slices.
func (b *bench) allowedWorth(ledger *load.Ledger, cells []*cell) float64 {
	var busy, length time.Duration
	n := 0
	for _, s := range cells[0].spans {
		mean, count := ledger.ServiceTime(s.from, s.to, len(b.catalogue()))
		busy += mean * time.Duration(count)
		n += count
		length += s.to.Sub(s.from)
	}
	if n == 0 {
		return math.NaN()
	}
	capacity := catalogueQueries * float64(length) / (float64(busy) / float64(n))
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

func extra(cells []*cell) float64 {
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
