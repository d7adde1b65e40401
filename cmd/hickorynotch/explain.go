package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/story"
)

// explainCommand prints the history of one request from the logs of the instances.
type explainCommand struct {
	input       io.Reader
	out, errors io.Writer
	settings    *setting.Set
	request     *string
}

func newExplainCommand() *explainCommand {
	return &explainCommand{input: os.Stdin, out: os.Stdout, errors: os.Stderr}
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "print the history of a request from logs" }
func (*explainCommand) Usage() string {
	return `explain -request ID < LOGS:
  Read the log lines of all instances from standard input and print those of one
  request in order of time, each with the state of its instance at that time: the
  configuration in force, an unavailable store and the last change of the target.
`
}

func (c *explainCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.request = c.settings.String("request", "", "RequestID of the request", setting.Required())
}

func (c *explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	lines, err := story.Read(c.input, *c.request)
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("no log line contains the request %s", *c.request)
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(c.out, line)
	}

	return subcommands.ExitSuccess
}
