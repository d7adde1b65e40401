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

// gatewayCommand runs an instance of the query tier with the settings file that the platform provides.
type gatewayCommand struct {
	output       io.Writer
	errors       io.Writer
	settings     *setting.Set
	settingsPath *string
	metricsPort  *int
}

func newGatewayCommand() *gatewayCommand {
	return &gatewayCommand{output: os.Stdout, errors: os.Stderr}
}

func (*gatewayCommand) Name() string { return "gateway" }
func (*gatewayCommand) Synopsis() string {
	return "run an instance of the query tier with the platform's settings file"
}
func (*gatewayCommand) Usage() string {
	return `gateway -settings FILE [-metrics-port N]:
  Serve callers with the configuration and the targets that are registered with
  the platform. Reload the settings file on SIGHUP. Stop gracefully on SIGTERM or
  SIGINT.
`
}

func (c *gatewayCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.settingsPath = c.settings.String("settings", "", "path of the settings file that the platform provides", setting.Required())
	c.metricsPort = c.settings.Int("metrics-port", 0, 0, 65535,
		"port for metrics; 0 for the last of the internal ports in the settings file")
}

func (c *gatewayCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	// Neither a closed pipe on standard output nor SIGHUP may end the process: SIGPIPE is ignored, and gateway.Run handles SIGHUP
	// as a request to reload the settings.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := gateway.Run(ctx, gateway.Settings{Path: *c.settingsPath, MetricsPort: uint16(*c.metricsPort), Output: c.output})
	if err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
