package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

type eventsCommand struct{}

func (*eventsCommand) Name() string           { return "events" }
func (*eventsCommand) Synopsis() string       { return "print the catalogue of log events" }
func (*eventsCommand) Usage() string          { return "events:\n  Print the text of docs/EVENTS.md.\n" }
func (*eventsCommand) SetFlags(*flag.FlagSet) {}

func (*eventsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Print(event.Markdown())

	return subcommands.ExitSuccess
}
