// Command standin runs the stand-ins for outside systems that tests, demonstrations and the bench use.
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
