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

// environmentPrefix is the prefix of the environment variables that set flags. The rest of the variable's name is the name of
// the flag in upper case, with underscores for hyphens.
const environmentPrefix = "HICKORYNOTCH_STANDIN_"

// run sets flags from the environment and calls serve with a context that ends on SIGINT or SIGTERM. It prints the
// error if one of the two fails.
func run(ctx context.Context, f *flag.FlagSet, serve func(context.Context) error) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := setFromEnvironment(f)
	if err == nil {
		err = serve(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// setFromEnvironment sets the flags that are missing on the command line from the environment. It returns the errors of all invalid
// values.
func setFromEnvironment(f *flag.FlagSet) error {
	onCommandLine := map[string]bool{}
	f.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	var errs []error
	f.VisitAll(func(defined *flag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(defined.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || onCommandLine[defined.Name] {
			return
		}
		if err := f.Set(defined.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	})

	return errors.Join(errs...)
}
