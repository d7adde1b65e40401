// Command standin runs stand-ins for the external systems, the platform and the targets, for tests, the demo and the benchmark.
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
	subcommands.Register(&targetCommand{}, "")
	subcommands.Register(&targetsCommand{}, "")

	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
