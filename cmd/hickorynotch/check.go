package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/google/subcommands"
	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// checkCommand merges and checks configuration files without a platform.
type checkCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	base        *string
	overlays    []string
}

func newCheckCommand() *checkCommand {
	return &checkCommand{out: os.Stdout, errors: os.Stderr}
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a base file with overlays and print the result" }
func (*checkCommand) Usage() string {
	return `check -base FILE [-overlay FILE | -overlay ZONE=FILE ...]:
  Merge the overlays over the base file, check the result for every availability
  zone and print it as YAML. Print all faults otherwise.
`
}

func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.base = c.settings.String("base", "", "base file, YAML or JSON", setting.Required())
	flags.Func("overlay", "overlay file, whose name is the zone, or ZONE=FILE; may be repeated", func(text string) error {
		c.overlays = append(c.overlays, text)

		return nil
	})
}

func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	files, err := contract.Load(*c.base, c.overlays...)
	if err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}
	for _, z := range slices.Sorted(maps.Keys(files.Merged)) {
		text, err := yaml.Marshal(files.Merged[z])
		if err != nil {
			_, _ = fmt.Fprintln(c.errors, err)

			return subcommands.ExitFailure
		}
		_, _ = fmt.Fprintf(c.out, "---\n# %s\n%s", z, text)
	}

	return subcommands.ExitSuccess
}
