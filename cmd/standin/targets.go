package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// targetsCommand runs a stand-in target for each replica in a configuration, all in one process, so that a benchmark needs few
// processes.
type targetsCommand struct {
	base, zone, shards string
	version            uint64
	queue              int
	serviceTime, grace time.Duration
	spread             float64
	seed               uint64
	connectTimes       bool
}

func (*targetsCommand) Name() string { return "targets" }
func (*targetsCommand) Synopsis() string {
	return "run stand-in targets for the replicas in a configuration"
}

func (*targetsCommand) Usage() string {
	return `targets -base FILE [-zone ZONE] [-shards NAME=N,...] [flags]:
  Run a stand-in target at the address of each replica in the base file, or only
  of those in one availability zone. Replica i of a service with N shards holds
  shard i modulo N. A service that is not in -shards has one shard.
`
}

func (c *targetsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.base, "base", "", "base file of a configuration")
	f.StringVar(&c.zone, "zone", "", "availability zone whose replicas to run; all if empty")
	f.StringVar(&c.shards, "shards", "", "comma-separated numbers of shards by service, such as catalogue=20")
	f.Uint64Var(&c.version, "version", 1, "index version that the targets hold")
	f.IntVar(&c.queue, "queue", 4, "maximum number of queries that wait for a slot of a target")
	f.DurationVar(&c.serviceTime, "service-time", time.Millisecond, "median service time")
	f.Float64Var(&c.spread, "spread", 0.3, "standard deviation of the logarithm of the service time")
	f.DurationVar(&c.grace, "grace", 5*time.Second, "time for which a stopping target refuses queries as draining")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random service times; each target adds its port to it")
	f.BoolVar(&c.connectTimes, "connect-times", true, "delay the first read on a new connection by the ConnectTime of the service")
}

func (c *targetsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, c.serve)
}

func (c *targetsCommand) serve(ctx context.Context) error {
	targets, err := c.newTargets()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	var config net.ListenConfig
	for address, t := range targets {
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			return err
		}
		group.Go(func() error { return t.Serve(ctx, listener) })
	}
	fmt.Printf("Targets=%d Seed=%d\n", len(targets), c.seed)

	return group.Wait()
}

// newTargets returns a target for each address. If several services have a replica at the same address, the target has the settings
// and the shard of the first of them in order of name.
func (c *targetsCommand) newTargets() (map[netip.AddrPort]*target.Target, error) {
	files, err := contract.Load(c.base)
	if err != nil {
		return nil, err
	}
	base, _ := files.Documents()
	merged, err := contract.Merge(base, nil)
	if err != nil {
		return nil, err
	}
	shards, err := parseShards(c.shards)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(merged.Services))
	for name := range merged.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	timers := timer.New()
	targets := make(map[netip.AddrPort]*target.Target)
	for _, name := range names {
		s := merged.Services[name]
		for i, replica := range s.Replicas {
			if targets[replica.Address] != nil || (c.zone != "" && replica.AvailabilityZone != zone.Zone(c.zone)) {
				continue
			}
			n := max(1, shards[name])
			targets[replica.Address] = c.newTarget(timers, s, replica, wire.Holding{Version: c.version, Shard: i % n, Shards: n})
		}
	}

	return targets, nil
}

func (c *targetsCommand) newTarget(
	timers *timer.Service,
	s contract.Service,
	replica contract.Replica,
	holding wire.Holding,
) *target.Target {
	options := []target.Option{
		target.WithHoldings(holding),
		target.WithSlots(s.Slots),
		target.WithQueue(c.queue),
		target.WithConnections(s.Connections),
		target.WithServiceTime(c.serviceTime, c.spread),
		target.WithSeed(c.seed + uint64(replica.Address.Port())),
		target.WithGrace(c.grace),
	}
	if c.connectTimes {
		options = append(options, target.WithConnectTime(s.ConnectTime.Std()))
	}

	return target.New(timers, options...)
}

// parseShards parses comma-separated numbers of shards by service, such as catalogue=20.
func parseShards(text string) (map[string]int, error) {
	shards := make(map[string]int)
	if text == "" {
		return shards, nil
	}
	var errs []error
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 {
			errs = append(errs, fmt.Errorf("-shards: %q is not NAME=N", part))
		}
		shards[name] = n
	}

	return shards, errors.Join(errs...)
}
