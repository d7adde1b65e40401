package event_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("Catalogue", func() {
	It("agrees with docs/EVENTS.md, so that every event is documented for operators", func() {
		page, err := os.ReadFile("../../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(event.Markdown()))
	})

	It("uses each number and each name only once, so that a log line identifies its event", func() {
		numbers := map[int]string{}
		names := map[string]int{}
		for _, e := range event.Catalogue() {
			Expect(numbers).NotTo(HaveKey(e.Number), e.Name)
			Expect(names).NotTo(HaveKey(e.Name), e.Name)
			numbers[e.Number] = e.Name
			names[e.Name] = e.Number
		}
	})
})
