package load

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("Audit", func() {
	now := time.Now()
	ran := target.Entry{RequestID: "a", Started: now, Finished: now.Add(time.Millisecond)}
	cancelled := target.Entry{RequestID: "a", Started: now, Cancelled: now.Add(time.Millisecond)}
	record := Record{RequestID: "a", OneShard: true}

	// Guards against an audit that passes whatever the instances do.
	DescribeTable("compares what a caller was told with the journals",
		func(journal target.Journal, change func(*Record), want Faults) {
			r := record
			change(&r)
			Expect(NewLedger([]target.Journal{journal}).Audit([]Record{r})).To(Equal(want))
		},
		Entry("an answer of a request that ran", target.Journal{Entries: []target.Entry{ran}},
			func(r *Record) { r.Answered = true }, Faults{}),
		Entry("an answer of a request that ran twice", target.Journal{Entries: []target.Entry{ran, cancelled}},
			func(r *Record) { r.Answered = true }, Faults{Doubled: 1}),
		Entry("an answer of a request that did not run", target.Journal{},
			func(r *Record) { r.Answered = true }, Faults{LostUntold: 1, Untrue: 1}),
		Entry("NotRun of a request that ran", target.Journal{Entries: []target.Entry{cancelled}},
			func(r *Record) { r.Outcome = wire.NotRun }, Faults{LostUntold: 1}),
		Entry("Unknown without a target", target.Journal{},
			func(r *Record) { r.Outcome = wire.Unknown }, Faults{UnknownUntouched: 1}),
		Entry("Unknown with a target that read the query", target.Journal{Arrived: []string{"a"}},
			func(r *Record) { r.Outcome = wire.Unknown }, Faults{}),
		Entry("a covered shard that no target finished", target.Journal{Entries: []target.Entry{ran}},
			func(r *Record) { r.Answered, r.Idempotent, r.OneShard, r.Shards = true, true, false, 3 }, Faults{Untrue: 1}),
		Entry("a coverage that contradicts itself", target.Journal{Entries: []target.Entry{ran}},
			func(r *Record) { r.Answered, r.Idempotent, r.Malformed = true, true, true }, Faults{Untrue: 1}),
	)
})

var _ = Describe("Counters", func() {
	It("reads the instruments of an instance", func() {
		c := NewCounters()
		c.parse("# HELP x\n" +
			`hickorynotch_target_duration_seconds_count{otel_scope_name="h",result="Shed",service="catalogue"} 3` + "\n" +
			`hickorynotch_target_duration_seconds_count{result="Whole",service="catalogue"} 4` + "\n" +
			`hickorynotch_target_hedges{otel_scope_name="h"} 2` + "\n")
		Expect(c.Sent("catalogue")).To(Equal(7.0))
		Expect(c.Sent("catalogue", "Shed")).To(Equal(3.0))
		Expect(c.Hedges).To(Equal(2.0))
	})

	It("reads a process status whose name has spaces and brackets", func() {
		Expect(parseStat("7 (a ) b) S 1 1 1 0 -1 4194560 1 0 0 0 12 30 0 0 20 0")).To(Equal(420 * time.Millisecond))
		_, err := parseStat("7 (a) S 1")
		Expect(err).To(HaveOccurred())
	})
})
