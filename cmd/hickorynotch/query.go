package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Exit statuses of query, in addition to those of package subcommands. They let scripts distinguish a request that may have run
// from one that did not run.
const (
	exitQueryPartial subcommands.ExitStatus = 3
	exitQueryNotRun  subcommands.ExitStatus = 4
	exitQueryUnknown subcommands.ExitStatus = 5
)

// replyMargin is the time that the command waits for the reply to arrive after the timeout of the request itself.
const replyMargin = time.Second

// queryCommand sends one request to an instance.
type queryCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	entry       *netip.AddrPort
	service     *string
	text        *string
	key         *string
	id          *string
	limit       *int
	timeout     *time.Duration
}

func newQueryCommand() *queryCommand {
	return &queryCommand{out: os.Stdout, errors: os.Stderr}
}

func (*queryCommand) Name() string     { return "query" }
func (*queryCommand) Synopsis() string { return "send one request and print the answer" }
func (*queryCommand) Usage() string {
	return `query -entry ADDRESS -service NAME [-text T] [-key K] [-id ID] [-limit N] [-timeout D]:
  Send one request to an instance and print the answer with its coverage and
  snapshot. Exit status: 0 complete answer, 2 incorrect usage, 3 partial answer,
  4 refused and not run, 5 unknown whether the request ran.
`
}

func (c *queryCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.entry = c.settings.AddrPort("entry", netip.AddrPort{}, "address on which an instance serves callers", setting.Required())
	c.service = c.settings.String("service", "", "name of the query service", setting.Required())
	c.text = c.settings.String("text", "", "search text")
	c.key = c.settings.String("key", "", "record key for a service of class OneRecord")
	c.id = c.settings.String("id", "", "RequestID; required for a service that is not idempotent")
	c.limit = c.settings.Int("limit", 0, 0, caller.MaxLimit, "maximum number of hits; 0 for the page size of the service")
	c.timeout = c.settings.Duration("timeout", 0, 0, contract.MaxDeadline, "timeout of the request; 0s for the service's deadline")
}

func (c *queryCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	wait := contract.MaxDeadline
	if *c.timeout > 0 {
		wait = *c.timeout
	}
	ctx, cancel := timer.New().WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	client := caller.NewClient()
	defer client.Close()

	answer, err := client.Query(ctx, *c.entry, caller.Request{
		RequestID: *c.id,
		Service:   *c.service,
		Text:      *c.text,
		Key:       *c.key,
		Limit:     *c.limit,
		Timeout:   duration.Duration(*c.timeout),
	})
	if err != nil {
		return c.reportError(err)
	}
	printYAML(c.out, answer)
	if !answer.Coverage.Whole {
		return exitQueryPartial
	}

	return subcommands.ExitSuccess
}

func (c *queryCommand) reportError(err error) subcommands.ExitStatus {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		_, _ = fmt.Fprintln(c.errors, err)

		return exitQueryUnknown
	}
	printYAML(c.errors, refusal)
	if refusal.Outcome == target.NotRun {
		return exitQueryNotRun
	}

	return exitQueryUnknown
}

func printYAML(w io.Writer, value any) {
	text, err := yaml.Marshal(value)
	if err != nil {
		text = []byte(err.Error() + "\n")
	}
	_, _ = w.Write(text)
}
