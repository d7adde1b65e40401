// Package report prints the figures of a bench run: a table for people, and one line of JSON for programs.
//
//	r := report.Report{Seed: 7, Rows: rows, Targets: targets}
//	r.WriteTable(os.Stdout)
//	r.WriteJSON(os.Stdout)
//
// A target compares a figure with a bound that is fixed before the run, and is met or missed.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
)

// Row is what one policy did for one class in one phase.
type Row struct {
	Phase, Class, Policy string
	Sent                 int
	Unsent               int `json:",omitempty"`
	P50, P99, P999       duration.Duration
	// Whole is the share of the requests that got a whole answer, and Coverage the mean coverage of answers.
	Whole, Coverage float64
	// ExtraLoad is the number of target requests beyond the needed ones, as a share of those.
	ExtraLoad float64
	// Shed is the share of target requests that targets shed.
	Shed     float64
	Worth    float64
	Doubled  int
	Refusals map[string]int `json:",omitempty"`
}

// Target is a figure with its bound.
type Target struct {
	Name, Policy string
	Value        float64
	// Bound is the largest value that meets the target, or the smallest if AtLeast is true.
	Bound   float64
	AtLeast bool `json:",omitempty"`
}

// Met reports whether t is met. A value that is not a number, because nothing was measured, misses every target.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Value >= t.Bound
	}

	return t.Value <= t.Bound
}

// Report is the result of a run.
type Report struct {
	Header  []string
	Seed    uint64
	Rows    []Row
	Targets []Target
	// Processor is the processor time of the instances for each target request, by policy.
	Processor map[string]duration.Duration `json:",omitempty"`
	Notes     []string                     `json:",omitempty"`
}

// WriteTable writes r for people.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	for _, line := range r.Header {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintf(&text, "Seed %d.\n\n", r.Seed)
	fmt.Fprintln(&text, "phase\tclass\tpolicy\tsent\tp50\tp99\tp99.9\twhole\tcoverage\textra load\tshed\tworth\tdoubled\trefusals")
	for _, row := range r.Rows {
		fmt.Fprintf(&text, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%.2f%%\t%.4f\t%.2f%%\t%.2f%%\t%.0f\t%d\t%s\n",
			row.Phase, row.Class, row.Policy, row.Sent, milliseconds(row.P50), milliseconds(row.P99), milliseconds(row.P999),
			100*row.Whole, row.Coverage, 100*row.ExtraLoad, 100*row.Shed, row.Worth, row.Doubled, refusals(row))
	}
	fmt.Fprintln(&text)
	if len(r.Targets) > 0 {
		fmt.Fprintln(&text, "target\tpolicy\tvalue\tbound\tresult")
	}
	for _, t := range r.Targets {
		sign, result := "<=", "missed"
		if t.AtLeast {
			sign = ">="
		}
		if t.Met() {
			result = "met"
		}
		fmt.Fprintf(&text, "%s\t%s\t%.4f\t%s %g\t%s\n", t.Name, t.Policy, t.Value, sign, t.Bound, result)
	}
	if len(r.Processor) > 0 {
		fmt.Fprintln(&text)
	}
	for _, policy := range slices.Sorted(maps.Keys(r.Processor)) {
		fmt.Fprintf(&text, "processor time of instances for each target request, %s: %s\n", policy, r.Processor[policy].Std())
	}
	for _, note := range r.Notes {
		fmt.Fprintln(&text, note)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}

	return table.Flush()
}

// WriteJSON writes r as one line.
func (r *Report) WriteJSON(w io.Writer) error {
	type target struct {
		Target
		// Value shadows that of Target. It is null when nothing was measured, because JSON has no such numbers.
		Value *float64
		Met   bool
	}
	type plain Report
	body := struct {
		*plain
		Targets []target
	}{plain: (*plain)(r)}
	for _, t := range r.Targets {
		line := target{Target: t, Met: t.Met()}
		if !math.IsNaN(t.Value) && !math.IsInf(t.Value, 0) {
			line.Value = &t.Value
		}
		body.Targets = append(body.Targets, line)
	}

	return json.NewEncoder(w).Encode(body)
}

func milliseconds(d duration.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
}

func refusals(row Row) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(row.Refusals)) {
		parts = append(parts, fmt.Sprintf("%s:%d", code, row.Refusals[code]))
	}
	if row.Unsent > 0 {
		parts = append(parts, fmt.Sprintf("unsent:%d", row.Unsent))
	}

	return strings.Join(parts, " ")
}
