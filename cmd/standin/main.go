// Command standin runs stand-ins for the platform and for targets, for tests, demos and benchmarks.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "")

	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
