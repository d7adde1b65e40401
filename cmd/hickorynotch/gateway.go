package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/gateway"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
)

// gatewayCommand runs an instance of the query tier on the users' platform.
type gatewayCommand struct {
	output   io.Writer
	errors   io.Writer
	settings *setting.Set
	path     *string
	metrics  *int
}

func newGatewayCommand() *gatewayCommand {
	return &gatewayCommand{output: os.Stdout, errors: os.Stderr}
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run an instance of the query tier on a platform" }
func (*gatewayCommand) Usage() string {
	return `gateway -settings FILE [-metrics-port N]:
  Serve callers by the configuration and the targets that are registered with the
  platform, until SIGTERM or SIGINT, then stop gracefully.
`
}

func (c *gatewayCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.path = c.settings.String("settings", "", "path of the platform's settings file", setting.Required())
	c.metrics = c.settings.Int("metrics-port", 0, 0, 65535, "port for metrics; 0 for the last port between instances")
}

func (c *gatewayCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	// A broken pipe of the output and a request to reload never end the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := gateway.Run(ctx, gateway.Settings{Path: *c.path, MetricsPort: uint16(*c.metrics), Output: c.output})
	if err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
