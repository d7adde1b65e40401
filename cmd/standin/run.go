package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
)

// environmentPrefix is put before the upper-case name of a flag, with underscores for hyphens.
const environmentPrefix = "HICKORYNOTCH_STANDIN_"

// run serves until a signal asks the process to stop.
func run(ctx context.Context, f *flag.FlagSet, serve func(context.Context) error) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := fromEnvironment(f)
	if err == nil {
		err = serve(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// fromEnvironment sets the flags that the command line leaves out from the environment and reports all bad values.
func fromEnvironment(f *flag.FlagSet) error {
	given := map[string]bool{}
	f.Visit(func(set *flag.Flag) { given[set.Name] = true })
	var errs []error
	f.VisitAll(func(known *flag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(known.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || given[known.Name] {
			return
		}
		if err := f.Set(known.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	})

	return errors.Join(errs...)
}
