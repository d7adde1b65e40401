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
	It("is the text of docs/EVENTS.md, so that operators read about every event", func() {
		page, err := os.ReadFile("../../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(event.Markdown()))
	})

	It("uses each number and name once, so that a line names one event", func() {
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
