package main

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

type platformCommand struct {
	address   netip.AddrPort
	watchWait time.Duration
	listLag   time.Duration
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run a stand-in for the platform's store and list" }
func (*platformCommand) Usage() string {
	return "platform [-address 127.0.0.1:7000] [-watch-wait 30s] [-list-lag 5s]:\n" +
		"  Run a stand-in for the platform's store and list.\n"
}

func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.TextVar(&c.address, "address", netip.MustParseAddrPort("127.0.0.1:7000"), "IP address and port to listen at")
	flags.DurationVar(&c.watchWait, "watch-wait", 30*time.Second, "how long a watch waits for a change")
	flags.DurationVar(&c.listLag, "list-lag", 5*time.Second, "how long a change of the list takes to become visible")
}

func (c *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, c.serve)
}

func (c *platformCommand) serve(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.address.String())
	if err != nil {
		return err
	}
	timers := timer.New()
	event.New(os.Stderr, timers.Now).Log(event.StandInListening, "Address", listener.Addr())

	return platform.New(
		platform.WithTimers(timers),
		platform.WithWatchWait(c.watchWait),
		platform.WithListLag(c.listLag),
	).Serve(ctx, listener)
}
