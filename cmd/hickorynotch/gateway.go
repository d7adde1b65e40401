package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/node"
	"github.com/hickorynotch/hickorynotch/platform"
)

const (
	// settingsRetry is the pause between two tries to read a settings file that cannot be used.
	settingsRetry = time.Second
	// settingsPeriod is the time between two looks at the settings file. A change has 3 s to come into force.
	settingsPeriod = time.Second
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
	return `gateway [-settings FILE]:
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
	if err := c.serve(ctx); err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (c *gatewayCommand) serve(ctx context.Context) error {
	timers := timer.New()
	buffer := event.NewBuffer(c.output, timers)
	defer buffer.Close()
	events := event.NewBuffered(buffer, timers.Now)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	settings, err := c.load(ctx, timers, events)
	if err != nil {
		return err
	}
	if *c.metrics != 0 {
		settings.Operator = netip.AddrPortFrom(settings.Operator.Addr(), uint16(*c.metrics))
	}
	events = events.With("Instance", settings.Name)
	log.SetFlags(0)
	log.SetOutput(events.Writer(event.LibraryMessage))
	store := platform.NewStore(settings.Store)
	defer store.Close()
	n, err := node.New(settings, node.Adapters{
		Targets:        platform.TargetCodec(),
		Callers:        platform.CallerCodec(),
		Configurations: store.Configurations(),
		Directory:      store.Targets(),
		Own:            store.Own(),
	}, timers, node.WithLog(events))
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go c.follow(watching, timers, events, reload, settings, n.Apply)

	return n.Run(ctx)
}

// follow reads the settings file again after a signal and when it changes without one.
func (c *gatewayCommand) follow(
	ctx context.Context, timers *timer.Service, events *event.Log, reload <-chan os.Signal, current node.Settings,
	apply func(node.Settings),
) {
	ticks := timers.Subscribe(settingsPeriod)
	defer ticks.Stop()
	modified := modification(*c.path)
	for {
		signalled := false
		select {
		case <-reload:
			signalled = true
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		newest := modification(*c.path)
		if !signalled && newest.Equal(modified) {
			continue
		}
		modified = newest
		settings, err := platform.LoadSettings(*c.path)
		if err != nil {
			events.Log(event.SettingsRejected, "Path", *c.path, "Error", err)

			continue
		}
		changed := !reflect.DeepEqual(settings, current)
		events.Log(event.SettingsReloaded, "Path", *c.path, "Signal", signalled, "Changed", changed)
		current = settings
		apply(settings)
	}
}

// modification returns when the file was last written, or the zero time if that cannot be told; the reading reports the reason.
func modification(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}

	return info.ModTime()
}

// load reads the settings file until it can be used.
func (c *gatewayCommand) load(ctx context.Context, timers *timer.Service, events *event.Log) (node.Settings, error) {
	for {
		settings, err := platform.LoadSettings(*c.path)
		if err == nil {
			return settings, nil
		}
		events.Log(event.SettingsRejected, "Path", *c.path, "Error", err)
		select {
		case <-timers.After(settingsRetry):
		case <-ctx.Done():
			return node.Settings{}, ctx.Err()
		}
	}
}
