package days_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
)

func TestDays(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "days")
}

// The kinds of planned work and of faults that the users' bench knows. Faults are grouped by the part of the system they affect.
var (
	plannedKinds = []string{
		"release", "scale_out", "scale_in", "roll_term", "add_nodes", "hup", "config_change", "config_storm", "big_config", "reshard",
	}
	faultKinds = map[string][]string{
		"store":    {"platform_down", "platform_slow", "platform_lost", "platform_compact", "core_cut"},
		"machines": {"node_kill", "node_freeze", "herd_kill", "node_slow", "clock_step", "after_ack_kill"},
		"targets":  {"srv_crash", "srv_slow", "srv_grey", "answer_lost", "garble", "replace_with_reuse"},
		"links":    {"node_cut", "reset_conns"},
		"callers":  {"give_up", "burst", "retry_abuse"},
	}
)

type event struct {
	Kind string  `toml:"kind"`
	At   float64 `toml:"at"`
}

type benchDay struct {
	Name   string  `toml:"name"`
	Plan   []event `toml:"plan"`
	Faults []event `toml:"faults"`
}

// readDays reads all files in deploy/days.
func readDays() (all []benchDay) {
	paths, err := filepath.Glob("../../../deploy/days/*.toml")
	Expect(err).NotTo(HaveOccurred())
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		var d benchDay
		Expect(toml.Unmarshal(data, &d)).To(Succeed(), path)
		all = append(all, d)
	}

	return all
}

var _ = Describe("The days in deploy/days", func() {
	It("contain each kind of planned work and of fault at least twice, so that no kind is covered by random search alone", func() {
		counts := make(map[string]int)
		for _, d := range readDays() {
			for _, e := range append(d.Plan, d.Faults...) {
				counts[e.Kind]++
			}
		}
		for _, kind := range plannedKinds {
			Expect(counts[kind]).To(BeNumerically(">=", 2), kind)
		}
		for _, kinds := range faultKinds {
			for _, kind := range kinds {
				Expect(counts[kind]).To(BeNumerically(">=", 2), kind)
			}
		}
	})

	It("combine each kind of planned work with a fault of each part of the system", func() {
		pairs := make(map[[2]string]bool)
		partOf := make(map[string]string)
		for part, kinds := range faultKinds {
			for _, kind := range kinds {
				partOf[kind] = part
			}
		}
		for _, d := range readDays() {
			for _, p := range d.Plan {
				for _, f := range d.Faults {
					pairs[[2]string{p.Kind, partOf[f.Kind]}] = true
				}
			}
		}
		for _, p := range plannedKinds {
			for part := range faultKinds {
				Expect(pairs).To(HaveKey([2]string{p, part}))
			}
		}
	})
})
