package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

type targetCommand struct {
	listen, control, service, holdings string
	slots, queue, connections          int
	connectTime, serviceTime           time.Duration
	spread, coldFactor                 float64
	cold, grace                        time.Duration
	seed                               uint64
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "run a stand-in target of one service" }

func (*targetCommand) Usage() string {
	return "target [flags]:\n  Serve POST /query and GET /status. Each flag can also be set by the environment\n  variable " +
		environmentPrefix + "<FLAG>.\n"
}

func (c *targetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address and port to listen on for instances")
	f.StringVar(&c.control, "control", "",
		"additional address and port for faults and the journal, not affected by connection faults; none if empty")
	f.StringVar(&c.service, "service", "", "name of the query service")
	f.StringVar(&c.holdings, "holdings", "1:0/1", "comma-separated holdings, each version:shard/shards")
	f.IntVar(&c.slots, "slots", 2, "maximum number of queries that run concurrently")
	f.IntVar(&c.queue, "queue", 4, "maximum number of queries that wait for a slot")
	f.IntVar(&c.connections, "connections", 25, "number of connections beyond which queries are refused; 0 for no limit")
	f.DurationVar(&c.connectTime, "connect-time", 0, "delay before the first read on a new connection")
	f.DurationVar(&c.serviceTime, "service-time", time.Millisecond, "median service time")
	f.Float64Var(&c.spread, "spread", 0.3, "standard deviation of the logarithm of the service time")
	f.DurationVar(&c.cold, "cold", 0, "time after the start during which -cold-factor applies")
	f.Float64Var(&c.coldFactor, "cold-factor", 5, "factor by which service times are multiplied while the target is cold")
	f.DurationVar(&c.grace, "grace", 5*time.Second, "time for which a stopping target refuses queries as draining")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random service times")
}

func (c *targetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, c.serve)
}

func (c *targetCommand) serve(ctx context.Context) error {
	holdings, err := parseHoldings(c.holdings)
	if err != nil {
		return err
	}
	t := target.New(timer.New(),
		target.WithService(c.service),
		target.WithHoldings(holdings...),
		target.WithSlots(c.slots),
		target.WithQueue(c.queue),
		target.WithConnections(c.connections),
		target.WithConnectTime(c.connectTime),
		target.WithServiceTime(c.serviceTime, c.spread),
		target.WithSeed(c.seed),
		target.WithColdStart(c.cold, c.coldFactor),
		target.WithGrace(c.grace),
	)
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.listen)
	if err != nil {
		return err
	}
	fmt.Printf("Address=%s Seed=%d\n", listener.Addr(), c.seed)
	if c.control != "" {
		controlListener, err := config.Listen(ctx, "tcp", c.control)
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		fmt.Printf("Control=%s\n", controlListener.Addr())
		control := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second}
		defer func() { _ = control.Close() }()
		go func() { _ = control.Serve(controlListener) }()
	}

	return t.Serve(ctx, listener)
}

// parseHoldings parses comma-separated holdings such as 7:0/20.
func parseHoldings(text string) ([]wire.Holding, error) {
	var holdings []wire.Holding
	for _, field := range strings.Split(text, ",") {
		var h wire.Holding
		n, err := fmt.Sscanf(strings.TrimSpace(field)+"\n", "%d:%d/%d\n", &h.Version, &h.Shard, &h.Shards)
		if err != nil || n != 3 {
			return nil, fmt.Errorf("holdings: %q is not version:shard/shards", field)
		}
		holdings = append(holdings, h)
	}
	report := wire.Report{Holdings: holdings}

	return holdings, report.Check()
}
