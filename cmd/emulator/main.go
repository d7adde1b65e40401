// Command emulator replays load patterns against the decisions of the query tier, and compares them with one mechanism off.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
	"github.com/hickorynotch/hickorynotch/internal/emulator/plot"
	"github.com/hickorynotch/hickorynotch/internal/emulator/replay"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&replayCommand{out: os.Stdout, errors: os.Stderr}, "")
	subcommands.Register(&compareCommand{out: os.Stdout, errors: os.Stderr}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// policyFlag returns the setting that names a mechanism to switch off.
func policyFlag(settings *setting.Set, options ...setting.Option) *string {
	var name *string
	check := setting.Check(func() error {
		if *name == "" || slices.Contains(replay.Mechanisms(), replay.Mechanism(*name)) {
			return nil
		}

		return fmt.Errorf("%q is not one of %v", *name, replay.Mechanisms())
	})
	name = settings.String("without", "", "mechanism to switch off", append(options, check)...)

	return name
}

// prepare checks the settings and loads the pattern, and reports the faults of both.
func prepare(faults io.Writer, settings *setting.Set, flags *flag.FlagSet, path *string) (*pattern.Pattern, bool) {
	err := settings.Resolve(os.LookupEnv)
	if err == nil && flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	var p *pattern.Pattern
	if err == nil {
		p, err = pattern.Load(*path)
	}
	if err != nil {
		_, _ = fmt.Fprintln(faults, err)
	}

	return p, err == nil
}

// replayCommand plays one pattern once.
type replayCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	pattern     *string
	without     *string
	seed        *int
	plot        *string
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "play a load pattern once" }
func (*replayCommand) Usage() string {
	return `replay -pattern FILE [-without MECHANISM] [-seed N] [-plot FILE]:
  Play a load pattern and print what callers and targets saw, as one line and as
  JSON (times in nanoseconds). Draw the load over time as SVG with -plot.
`
}

func (c *replayCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.pattern = c.settings.String("pattern", "", "path of the pattern", setting.Required())
	c.without = policyFlag(c.settings)
	c.seed = c.settings.Int("seed", 1, 0, 1<<31-1, "seed of all random choices")
	c.plot = c.settings.String("plot", "", "path of a drawing, .svg")
}

func (c *replayCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, ok := prepare(c.errors, c.settings, flags, c.pattern)
	if !ok {
		return subcommands.ExitUsageError
	}
	policy := replay.Policy{}
	if *c.without != "" {
		policy = replay.Without(replay.Mechanism(*c.without))
	}
	result := replay.Run(p, policy, uint64(*c.seed))
	_, _ = fmt.Fprintln(c.out, result.String())
	err := json.NewEncoder(c.out).Encode(result)
	if err == nil && *c.plot != "" {
		err = plot.Write(*c.plot, p.Name, result.Samples)
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// compareCommand plays one pattern with and without a mechanism.
type compareCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	pattern     *string
	without     *string
	seeds       *int
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "play a load pattern with and without a mechanism" }
func (*compareCommand) Usage() string {
	return `compare -pattern FILE -without MECHANISM [-seeds N]:
  Play a load pattern for several seeds with all mechanisms and without one, and
  print the mean gain in worth with the half width of its 95 % interval.
`
}

func (c *compareCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.pattern = c.settings.String("pattern", "", "path of the pattern", setting.Required())
	c.without = policyFlag(c.settings, setting.Required())
	c.seeds = c.settings.Int("seeds", 10, 2, 1000, "number of replays on each side")
}

func (c *compareCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, ok := prepare(c.errors, c.settings, flags, c.pattern)
	if !ok {
		return subcommands.ExitUsageError
	}
	d := replay.Compare(p, replay.Policy{}, replay.Without(replay.Mechanism(*c.without)), *c.seeds)
	_, _ = fmt.Fprintln(c.out, d.String())

	return subcommands.ExitSuccess
}
