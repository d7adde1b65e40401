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

// The kinds that the bench lists, by what they concern.
var (
	planned = []string{
		"release", "scale_out", "scale_in", "roll_term", "add_nodes", "hup", "config_change", "config_storm", "big_config", "reshard",
	}
	troubles = map[string][]string{
		"store":    {"platform_down", "platform_slow", "platform_lost", "platform_compact", "core_cut"},
		"machines": {"node_kill", "node_freeze", "herd_kill", "node_slow", "clock_step", "after_ack_kill"},
		"targets":  {"srv_crash", "srv_slow", "srv_grey", "answer_lost", "garble", "replace_with_reuse"},
		"links":    {"node_cut", "reset_conns"},
		"callers":  {"give_up", "burst", "retry_abuse"},
	}
)

type entry struct {
	Kind string  `toml:"kind"`
	At   float64 `toml:"at"`
}

type day struct {
	Name   string  `toml:"name"`
	Plan   []entry `toml:"plan"`
	Faults []entry `toml:"faults"`
}

func days() (all []day) {
	paths, err := filepath.Glob("../../../deploy/days/*.toml")
	Expect(err).NotTo(HaveOccurred())
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		var d day
		Expect(toml.Unmarshal(data, &d)).To(Succeed(), path)
		all = append(all, d)
	}

	return all
}

var _ = Describe("The days in deploy/days", func() {
	It("hold each kind of trouble twice, so that none is left to the luck of a hunt", func() {
		counts := make(map[string]int)
		for _, d := range days() {
			for _, e := range append(d.Plan, d.Faults...) {
				counts[e.Kind]++
			}
		}
		for _, kind := range planned {
			Expect(counts[kind]).To(BeNumerically(">=", 2), kind)
		}
		for _, kinds := range troubles {
			for _, kind := range kinds {
				Expect(counts[kind]).To(BeNumerically(">=", 2), kind)
			}
		}
	})

	It("hold each planned work beside a trouble of each part of the system", func() {
		pairs := make(map[[2]string]bool)
		group := make(map[string]string)
		for name, kinds := range troubles {
			for _, kind := range kinds {
				group[kind] = name
			}
		}
		for _, d := range days() {
			for _, p := range d.Plan {
				for _, f := range d.Faults {
					pairs[[2]string{p.Kind, group[f.Kind]}] = true
				}
			}
		}
		for _, p := range planned {
			for name := range troubles {
				Expect(pairs).To(HaveKey([2]string{p, name}))
			}
		}
	})
})
