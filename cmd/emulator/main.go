// Command emulator replays load patterns against the decision code of the query tier in simulated time. It can also compare the
// results with those of the same pattern with one mechanism switched off.
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

// mechanismFlag declares the flag -without, which names a mechanism to switch off.
func mechanismFlag(settings *setting.Set, options ...setting.Option) *string {
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

// prepare resolves the settings and loads the pattern. It prints an error and returns false if either fails.
func prepare(errors io.Writer, settings *setting.Set, flags *flag.FlagSet, path *string) (*pattern.Pattern, bool) {
	err := settings.Resolve(os.LookupEnv)
	if err == nil && flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	var p *pattern.Pattern
	if err == nil {
		p, err = pattern.Load(*path)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errors, err)
	}

	return p, err == nil
}

// replayCommand replays a pattern once.
type replayCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	pattern     *string
	without     *string
	seed        *int
	plot        *string
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "replay a load pattern once" }
func (*replayCommand) Usage() string {
	return `replay -pattern FILE [-without MECHANISM] [-seed N] [-plot FILE]:
  Replay a load pattern once and print the results for callers and the load on
  targets, as one line of text and as JSON (times in nanoseconds). With -plot,
  also write a plot of the load over time as SVG.
`
}

func (c *replayCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.pattern = c.settings.String("pattern", "", "path of the pattern file", setting.Required())
	c.without = mechanismFlag(c.settings)
	c.seed = c.settings.Int("seed", 1, 0, 1<<31-1, "seed of all random choices")
	c.plot = c.settings.String("plot", "", "path of the SVG file for a plot of the load; none if empty")
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

// compareCommand replays a pattern with and without a mechanism.
type compareCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	pattern     *string
	without     *string
	seeds       *int
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "replay a load pattern with and without a mechanism" }
func (*compareCommand) Usage() string {
	return `compare -pattern FILE -without MECHANISM [-seeds N]:
  Replay a load pattern with all mechanisms and without one of them, each with
  several seeds. Print the mean gain in worth and the half width of its 95 %
  confidence interval.
`
}

func (c *compareCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.pattern = c.settings.String("pattern", "", "path of the pattern file", setting.Required())
	c.without = mechanismFlag(c.settings, setting.Required())
	c.seeds = c.settings.Int("seeds", 10, 2, 1000, "number of seeds; one replay with the mechanism and one without it for each")
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
