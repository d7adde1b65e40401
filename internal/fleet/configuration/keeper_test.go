package configuration_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "configuration")
}

// record returns a raw record whose base is the quoted content.
func record(revision uint64, content string) []byte {
	raw, err := json.Marshal(configuration.Record{
		Applied:  configuration.Applied{Revision: revision, ApplyID: fmt.Sprint("apply", revision), Operator: "o", At: time.Unix(0, 0).UTC()},
		Base:     json.RawMessage(fmt.Sprintf("%q", content)),
		Overlays: map[zone.Zone]json.RawMessage{"Kochi": json.RawMessage(`"overlay"`)},
	})
	Expect(err).NotTo(HaveOccurred())

	return raw
}

// merge gives one service that is named after base and overlay, and refuses a base "bad".
func merge(base, overlay json.RawMessage) (contract.Configuration, error) {
	if string(base) == `"bad"` {
		return contract.Configuration{}, errors.New("Services.catalogue.Deadline: must be positive")
	}

	return contract.Configuration{Services: map[string]contract.Service{string(base) + string(overlay): {}}}, nil
}

var _ = Describe("Keeper", func() {
	DescribeTable("adopts only what is newer and good, and keeps the active configuration otherwise",
		func(offers [][]byte, revision uint64, content string, counts configuration.Offers) {
			var adopted []uint64
			k := configuration.NewKeeper("Kochi", merge, configuration.WithOnAdopt(func(a configuration.Active) {
				adopted = append(adopted, a.Revision)
			}))
			for _, raw := range offers {
				before := k.Revision()
				ok, _ := k.Offer(raw, "test")
				Expect(ok).To(Equal(k.Revision() != before))
				Expect(k.Revision()).To(BeNumerically(">=", before))
			}
			Expect(k.Ready()).To(Equal(revision != 0))
			active, _ := k.Current()
			Expect(active.Revision).To(Equal(revision))
			if revision != 0 {
				Expect(active.Configuration.Services).To(HaveKey(content))
				Expect(adopted[len(adopted)-1]).To(Equal(revision))
			}
			Expect(k.Offers()).To(Equal(counts))
		},
		Entry("nothing", nil, uint64(0), "", configuration.Offers{}),
		Entry("a first record, with the zone's overlay", [][]byte{record(4, "a")}, uint64(4), `"a""overlay"`, configuration.Offers{Adopted: 1}),
		Entry("a newer record", [][]byte{record(4, "a"), record(6, "b")}, uint64(6), `"b""overlay"`, configuration.Offers{Adopted: 2}),
		Entry("a stale record", [][]byte{record(4, "a"), record(3, "b")}, uint64(4), `"a""overlay"`, configuration.Offers{Adopted: 1, Older: 1}),
		Entry("the same record again", [][]byte{record(4, "a"), record(4, "a")}, uint64(4), `"a""overlay"`, configuration.Offers{Adopted: 1, Repeated: 1}),
		Entry("the same revision with other content", [][]byte{record(4, "a"), record(4, "b")}, uint64(4), `"a""overlay"`, configuration.Offers{Adopted: 1, Differed: 1}),
		Entry("a record that does not check", [][]byte{record(4, "a"), record(5, "bad")}, uint64(4), `"a""overlay"`, configuration.Offers{Adopted: 1, Rejected: 1}),
		Entry("a good record after a bad one", [][]byte{record(4, "bad"), record(5, "b")}, uint64(5), `"b""overlay"`, configuration.Offers{Adopted: 1, Rejected: 1}),
		Entry("a truncated record", [][]byte{record(4, "a")[:40]}, uint64(0), "", configuration.Offers{Rejected: 1}),
		Entry("a record over the store's bound", [][]byte{bytes.Repeat([]byte(" "), 1<<20+1)}, uint64(0), "", configuration.Offers{Rejected: 1}),
	)

	It("uses the base alone in a zone without an overlay", func() {
		k := configuration.NewKeeper("Thrissur", merge)
		Expect(k.Offer(record(1, "a"), "test")).To(BeTrue())
		active, _ := k.Current()
		Expect(active.Configuration.Services).To(HaveKey(`"a"`))
	})

	It("logs a record that stands in the store and is read again and again once", func() {
		var out bytes.Buffer
		k := configuration.NewKeeper("Kochi", merge, configuration.WithKeeperLog(event.New(&out, time.Now)))
		Expect(k.Offer(record(4, "a"), "Store")).To(BeTrue())
		for range 3 {
			_, err := k.Offer(record(5, "bad"), "Store")
			Expect(err).To(MatchError(ContainSubstring("Services.catalogue.Deadline")))
			_, err = k.Offer(record(4, "b"), "Store")
			Expect(err).To(MatchError(ContainSubstring("other content")))
		}
		Expect(strings.Count(out.String(), "ConfigurationRejected")).To(Equal(1))
		Expect(strings.Count(out.String(), "ConfigurationDiffers")).To(Equal(1))
		Expect(k.Refused(5)).To(BeTrue())
	})
})
