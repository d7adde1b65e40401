package main

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"os"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

type platformCommand struct {
	address netip.AddrPort
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run a stand-in for the platform's store" }
func (*platformCommand) Usage() string {
	return "platform [-address 127.0.0.1:7000]:\n  Run a stand-in for the platform's store until SIGTERM or SIGINT.\n"
}

func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.TextVar(&c.address, "address", netip.MustParseAddrPort("127.0.0.1:7000"), "IP address and port to listen on")
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

	return platform.New(platform.WithTimers(timers)).Serve(ctx, listener)
}
