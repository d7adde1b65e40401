package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
)

// resolve reads the settings of a subcommand from flags and the environment and prints all errors. It reports whether the settings
// are valid and there is no positional argument.
func resolve(errors io.Writer, settings *setting.Set, flags *flag.FlagSet) bool {
	err := settings.Resolve(os.LookupEnv)
	if err != nil {
		_, _ = fmt.Fprintln(errors, err)
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(errors, "unexpected argument %q\n", flags.Arg(0))
	}

	return err == nil && flags.NArg() == 0
}
