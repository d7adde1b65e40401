package pattern_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
)

func TestPattern(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pattern")
}

const folder = "../../../patterns"

var _ = Describe("Load", func() {
	It("accepts every pattern in the repository, so that each file that the documentation names can be replayed", func() {
		files, err := filepath.Glob(folder + "/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			p, err := pattern.Load(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Name + ".yaml").To(Equal(filepath.Base(file)))
		}
	})

	DescribeTable("rejects an invalid file and names the file and the field, so that no replay runs with an unintended load",
		func(old, changed string, faults ...string) {
			valid, err := os.ReadFile(folder + "/pauses.yaml")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(valid)).To(ContainSubstring(old))
			path := filepath.Join(GinkgoT().TempDir(), "changed.yaml")
			Expect(os.WriteFile(path, []byte(strings.Replace(string(valid), old, changed, 1)), 0o600)).To(Succeed())
			_, err = pattern.Load(path)
			Expect(err).To(HaveOccurred())
			for _, fault := range append(faults, "changed.yaml") {
				Expect(err.Error()).To(ContainSubstring(fault))
			}
		},
		Entry("rejects an unknown field", "Slots: 2", "Slot: 2", "Slot"),
		Entry("rejects a duration without a unit", "Work: 20ms", "Work: 20", "Work"),
		Entry("rejects a rate that is not positive", "ASecond: 30", "ASecond: 0", "Queries.ASecond: must be positive"),
		Entry("rejects a zone that is not listed in Zones", "[Kochi, Thrissur]", "[Kochi, Paris]",
			`Targets.AvailabilityZones[1]: "Paris" is not one of Zones`),
		Entry("rejects a pause that is longer than the pause interval", "PauseLength: 250ms", "PauseLength: 7s",
			"Targets.PauseLength: 7s is not below PauseEvery"),
		Entry("rejects a partition that ends before it begins and cuts off no instance", "Targets:",
			"Partitions:\n  - {From: 5s, To: 4s, Fraction: 0}\nTargets:", "Partitions[0].To: must be after From", "Partitions[0].Fraction: must be positive"),
		Entry("rejects a deadline below the objective", "Deadline: 2s", "Deadline: 100ms",
			"Queries.Deadline: 100ms is below the Objective of 200ms"),
	)
})
