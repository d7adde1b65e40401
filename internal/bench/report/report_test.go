package report_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/bench/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

var _ = Describe("Target", func() {
	// Guards against a missed target that is printed as met, also when nothing was measured.
	DescribeTable("is met or missed",
		func(value, bound float64, atLeast, want bool) {
			Expect(report.Target{Value: value, Bound: bound, AtLeast: atLeast}.Met()).To(Equal(want))
		},
		Entry("at the upper bound", 1.3, 1.3, false, true),
		Entry("above the upper bound", 1.31, 1.3, false, false),
		Entry("at the lower bound", 0.95, 0.95, true, true),
		Entry("below the lower bound", 0.94, 0.95, true, false),
		Entry("no value with an upper bound", math.NaN(), 1.0, false, false),
		Entry("no value with a lower bound", math.NaN(), 1.0, true, false),
	)
})

var _ = Describe("Report", func() {
	It("writes one line of JSON that says which targets are met", func() {
		var text strings.Builder
		r := report.Report{Seed: 7, Targets: []report.Target{{Name: "worth", Value: 1, Bound: 0.95, AtLeast: true}, {Value: math.Inf(1)}}}
		Expect(r.WriteJSON(&text)).To(Succeed())
		Expect(strings.Count(text.String(), "\n")).To(Equal(1))
		var back struct{ Targets []struct{ Met bool } }
		Expect(json.Unmarshal([]byte(text.String()), &back)).To(Succeed())
		Expect(back.Targets[0].Met).To(BeTrue())
		Expect(back.Targets[1].Met).To(BeFalse())
	})
})
