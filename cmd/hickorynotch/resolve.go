package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
)

// resolve checks the settings of a subcommand that takes no arguments, and reports whether they are valid.
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
