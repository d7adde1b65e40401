// Command hickorynotch is a query tier over many shards: the entry instance and the tools of its operators.
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
	subcommands.Register(&eventsCommand{}, "")
	subcommands.Register(newCheckCommand(), "")
	subcommands.Register(newApplyCommand(), "")
	subcommands.Register(newQueryCommand(), "")
	subcommands.Register(newExplainCommand(), "")
	subcommands.Register(newGatewayCommand(), "")
	subcommands.Register(newServeCommand(), "")
	subcommands.Register(newShowCommand(), "")

	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
