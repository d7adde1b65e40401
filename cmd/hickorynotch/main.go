// Command hickorynotch runs an instance of a query tier that sends callers' queries to sharded targets and merges their replies.
// Further subcommands are tools for operators: they check, apply and show configurations, send queries and read logs.
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
