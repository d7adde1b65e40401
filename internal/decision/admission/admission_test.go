package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var _ = Describe("Decide", func() {
	It("bounds the requests in flight under a burst of callers that repeat at once", func() {
		limit, inFlight, refused := admission.Limit(0.192), 0, 0
		for range 10 * limit {
			if admission.Decide(admission.Facts{InFlight: inFlight, Limit: limit}).Admit {
				inFlight++
			} else {
				refused++
			}
		}
		Expect(inFlight).To(Equal(limit))
		Expect(refused).To(Equal(9 * limit))
	})

	It("refuses requests of a lower rank first", func() {
		facts := admission.Facts{InFlight: 95, Limit: 100, Priority: 2}
		Expect(admission.Decide(facts).Admit).To(BeFalse())
		facts.Priority = 0
		Expect(admission.Decide(facts).Admit).To(BeTrue())
	})
})

var _ = Describe("Retry", func() {
	It("stays within the third of the time that callers wait", func() {
		for _, random := range []float64{0, 0.5, 1} {
			left := 2 * time.Second
			Expect(admission.Retry(admission.Refusal{Left: left}, random)).To(BeNumerically("<=", left/3))
		}
	})

	It("spreads the callers, so that they do not return together", func() {
		r := admission.Refusal{Left: 2 * time.Second}
		Expect(admission.Retry(r, 1)).To(BeNumerically(">", 2*admission.Retry(r, 0)))
	})

	It("lets a request come back sooner that busy targets refused than one whose targets are away", func() {
		busy, away := admission.Refusal{Left: time.Second, Shed: true}, admission.Refusal{Left: time.Second}
		Expect(admission.Retry(busy, 0.5)).To(BeNumerically("<", admission.Retry(away, 0.5)))
	})

	It("never tells a caller to come back at once", func() {
		Expect(admission.Retry(admission.Refusal{Left: time.Millisecond}, 0)).To(BeNumerically(">", 0))
	})
})
