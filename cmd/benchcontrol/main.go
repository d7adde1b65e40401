// Command benchcontrol benchmarks the control plane with live instances on loopback or with simulated large fleets.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/bench/control"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&liveCommand{}, "")
	subcommands.Register(&simulateCommand{}, "")

	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// countList is a flag with a comma-separated list of positive numbers.
type countList []int

// String implements flag.Value.
func (s *countList) String() string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(*s)), ","), "[]")
}

// Set implements flag.Value.
func (s *countList) Set(text string) error {
	*s = nil
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return fmt.Errorf("%q is not a positive number", part)
		}
		*s = append(*s, n)
	}

	return nil
}

type liveCommand struct {
	options control.LiveOptions
	timeout time.Duration
}

func (*liveCommand) Name() string     { return "live" }
func (*liveCommand) Synopsis() string { return "measure live instances over loopback sockets" }
func (*liveCommand) Usage() string {
	return "live [-sizes 2,4,8,16,32] [-replicas 1,3200] [-applies 30] [-seed 1] [-timeout 350s]:\n" +
		"  Run instances over loopback sockets with a stand-in for the platform and measure them.\n" +
		"  Exit status 1 means that a measurement failed, not that a performance goal was missed.\n"
}

func (c *liveCommand) SetFlags(flags *flag.FlagSet) {
	c.options.Sizes = []int{2, 4, 8, 16, 32}
	flags.Var((*countList)(&c.options.Sizes), "sizes", "comma-separated numbers of instances")
	c.options.Replicas = []int{1, 3200}
	flags.Var((*countList)(&c.options.Replicas), "replicas",
		"comma-separated numbers of replicas in the configuration and in the platform's list of targets")
	flags.IntVar(&c.options.Applies, "applies", 30,
		"number of configuration changes to measure for each size and state of the store")
	flags.Uint64Var(&c.options.Seed, "seed", 1, "seed of all random choices")
	flags.DurationVar(&c.timeout, "timeout", 350*time.Second, "maximum time for the whole run")
}

func (c *liveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	report, err := control.Live(ctx, c.options)

	return finish(&report, err)
}

type simulateCommand struct {
	options control.SimulateOptions
	timeout time.Duration
}

func (*simulateCommand) Name() string     { return "simulate" }
func (*simulateCommand) Synopsis() string { return "measure simulated large fleets" }
func (*simulateCommand) Usage() string {
	return "simulate [-sizes 32,64,128,256,450] [-seed 1] [-timeout 10m]:\n" +
		"  Simulate large fleets with in-memory calls and a fake clock and measure them.\n"
}

func (c *simulateCommand) SetFlags(flags *flag.FlagSet) {
	c.options.Sizes = []int{32, 64, 128, 256, 450}
	flags.Var((*countList)(&c.options.Sizes), "sizes", "comma-separated numbers of instances")
	flags.Uint64Var(&c.options.Seed, "seed", 1, "seed of all random choices")
	flags.DurationVar(&c.timeout, "timeout", 10*time.Minute, "maximum wall-clock time for the whole run")
}

func (c *simulateCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	report, err := control.Simulate(ctx, c.options)

	return finish(&report, err)
}

// report is a result that can be printed as text and encoded as JSON.
type report interface {
	Print(w io.Writer)
}

// finish prints the report as text and as one line of JSON and returns the exit status. It prints what was measured even if err is
// set.
func finish(r report, err error) subcommands.ExitStatus {
	r.Print(os.Stdout)
	line, encodeErr := json.Marshal(r)
	if encodeErr == nil {
		fmt.Printf("\n%s\n", line)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
