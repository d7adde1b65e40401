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
)

// checkCommand merges configuration files and validates the result. It needs no connection to a platform.
type checkCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	files       configurationFiles
}

func newCheckCommand() *checkCommand {
	return &checkCommand{out: os.Stdout, errors: os.Stderr}
}

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "validate a base file with its overlays and print the result"
}
func (*checkCommand) Usage() string {
	return `check -base FILE [-overlay FILE | -overlay ZONE=FILE ...]:
  Merge the overlays into the base file, validate the result for each availability
  zone and print it as YAML. If a result is invalid, print all errors instead.
`
}

func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.files.setFlags(c.settings, flags)
}

func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	files, ok := c.files.load(c.errors)
	if !ok {
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
