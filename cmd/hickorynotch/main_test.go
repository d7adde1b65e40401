package main

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

// run executes a subcommand and returns its exit status.
func run(command subcommands.Command, arguments ...string) subcommands.ExitStatus {
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	Expect(flags.Parse(arguments)).To(Succeed())

	return command.Execute(context.Background(), flags)
}

var _ = Describe("check", func() {
	DescribeTable("accepts the files in examples, so that configurations copied from them are valid",
		func(base string, overlays []string, services map[string]int) {
			arguments := []string{"-base", filepath.Join("../../examples", base)}
			for _, overlay := range overlays {
				arguments = append(arguments, "-overlay", filepath.Join("../../examples", overlay))
			}
			var out, errors bytes.Buffer
			status := run(&checkCommand{out: &out, errors: &errors}, arguments...)
			Expect(errors.String()).To(BeEmpty())
			Expect(status).To(Equal(subcommands.ExitSuccess))
			found := map[string]int{}
			for _, document := range strings.Split(out.String(), "---\n# ")[1:] {
				z, text, _ := strings.Cut(document, "\n")
				var c contract.Configuration
				Expect(yaml.UnmarshalStrict([]byte(text), &c)).To(Succeed())
				found[z] = len(c.Services)
			}
			Expect(found).To(Equal(services))
		},
		Entry("chattimala", "chattimala/base.yaml", []string{"chattimala/kochi.yaml", "chattimala/kozhikode.yaml"},
			map[string]int{"Kochi": 6, "Thrissur": 6, "Kozhikode": 6}),
		Entry("asociacion", "asociacion/base.yaml", []string{"asociacion/pamplona.yaml", "asociacion/vitoria.yaml"},
			map[string]int{"Pamplona": 5, "Logroño": 5, "Vitoria": 4}),
		Entry("merger", "chattimala/base.yaml", []string{"merger/kochi.yaml", "chattimala/kozhikode.yaml"},
			map[string]int{"Kochi": 11, "Thrissur": 6, "Kozhikode": 6}),
	)

	It("prints each error with its file and field path and exits with a failure", func() {
		path := filepath.Join(GinkgoT().TempDir(), "base.yaml")
		Expect(os.WriteFile(path, []byte("{AvailabilityZones: [Kochi], Services: {}, Site: 1}"), 0o600)).To(Succeed())
		var errors bytes.Buffer
		Expect(run(&checkCommand{errors: &errors}, "-base", path)).To(Equal(subcommands.ExitFailure))
		Expect(errors.String()).To(Equal("contract: " + path + ": Site: unknown field\n" + path + ": Services: must have at least one service\n"))
	})

	It("reports a missing flag and an unexpected argument as incorrect usage", func() {
		var errors bytes.Buffer
		Expect(run(&checkCommand{errors: &errors}, "base.yaml")).To(Equal(subcommands.ExitUsageError))
		Expect(errors.String()).To(Equal("setting: -base: must be set (environment: HICKORYNOTCH_BASE)\nunexpected argument \"base.yaml\"\n"))
	})
})

var _ = Describe("query", func() {
	DescribeTable("returns a different exit status for each outcome",
		func(whole bool, refusal *caller.Refusal, status subcommands.ExitStatus, printed string) {
			server := httptest.NewServer(caller.NewHandler(func(_ context.Context, r caller.Request) (caller.Answer, error) {
				if refusal != nil {
					return caller.Answer{}, refusal
				}

				return caller.Answer{RequestID: r.RequestID, Service: r.Service, Coverage: caller.Coverage{Asked: 2, Whole: whole}}, nil
			}))
			DeferCleanup(server.Close)
			var out bytes.Buffer
			entry := server.Listener.Addr().String()
			Expect(run(&queryCommand{out: &out, errors: &out}, "-entry", entry, "-service", "a", "-id", "r1")).To(Equal(status))
			Expect(out.String()).To(ContainSubstring(printed))
		},
		Entry("a complete answer", true, nil, subcommands.ExitSuccess, "Whole: true"),
		Entry("a partial answer", false, nil, exitQueryPartial, "Asked: 2\n  Whole: false"),
		Entry("a refusal of a request that did not run", false,
			&caller.Refusal{Outcome: target.NotRun, Code: caller.Overloaded}, exitQueryNotRun, "Code: Overloaded"),
		Entry("a refusal of a request that may have run", false,
			&caller.Refusal{Outcome: target.Unknown, Code: caller.Duplicate}, exitQueryUnknown, "Outcome: Unknown"),
	)

	It("reports a lost connection as an unknown outcome, and invalid flags as incorrect usage", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(server.Close)
		var out bytes.Buffer
		Expect(run(&queryCommand{errors: &out}, "-entry", server.Listener.Addr().String(), "-service", "a")).To(Equal(exitQueryUnknown))
		Expect(run(&queryCommand{errors: &out}, "-entry", "here", "-timeout", "2m")).To(Equal(subcommands.ExitUsageError))
		Expect(out.String()).To(HaveSuffix(`setting: -entry: "here" is not an address such as 127.0.0.1:7000
-service: must be set (environment: HICKORYNOTCH_SERVICE)
-timeout: 2m0s is not within 0s to 1m0s
`))
	})
})
