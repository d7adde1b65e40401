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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/run/entry"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	"github.com/hickorynotch/hickorynotch/platform"
)

// serveCommand runs an instance whose settings come from flags and the environment.
type serveCommand struct {
	errors      io.Writer
	settings    *setting.Set
	name        *string
	zone        *zone.Zone
	caller      *netip.AddrPort
	peer        *netip.AddrPort
	operator    *netip.AddrPort
	platform    *netip.AddrPort
	seeds       *[]netip.AddrPort
	limit       *string
	hedge       *string
	hedgeDelay  *time.Duration
	hedgeBudget *bool
	earlyReturn *bool
	maxRunning  *int
	memory      *int
	returnPath  *time.Duration
	stopDelay   *time.Duration
	stopTimeout *time.Duration
	profiling   *bool
}

func newServeCommand() *serveCommand {
	return &serveCommand{errors: os.Stderr}
}

func (*serveCommand) Name() string { return "serve" }
func (*serveCommand) Synopsis() string {
	return "run an instance of the query tier with settings from flags"
}
func (*serveCommand) Usage() string {
	return `serve -name NAME -zone ZONE -caller-address A -peer-address A -operator-address A -platform A:
  Run an instance and stop it gracefully on SIGTERM or SIGINT. Each flag can also
  be set by an environment variable: HICKORYNOTCH_ and the name of the flag in
  upper case, with _ for -. A flag takes precedence over its variable.
`
}

func (c *serveCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	noDefault := netip.AddrPort{}
	c.name = c.settings.String("name", "", "name of the instance, unique in the fleet", setting.Required())
	c.zone = c.settings.Zone("zone", "", "availability zone of the instance", setting.Required())
	c.caller = c.settings.AddrPort("caller-address", noDefault,
		"address to listen on for callers and the load balancer", setting.Required())
	c.peer = c.settings.AddrPort("peer-address", noDefault,
		"address to listen on for other instances, which must be able to reach it", setting.Required())
	c.operator = c.settings.AddrPort("operator-address", noDefault,
		"address to listen on for metrics and status", setting.Required())
	c.platform = c.settings.AddrPort("platform", noDefault, "address of the platform's services", setting.Required())
	c.seeds = c.settings.AddrPorts("seeds", nil,
		"peer addresses through which to join the fleet, in addition to those registered in the store")
	c.limit = c.settings.String("limit", string(entry.LimitOwner),
		"method by which instances share a target's slots: owner, split or adaptive",
		setting.Check(func() error { return entry.Limit(*c.limit).Check() }))
	c.hedge = c.settings.String("hedge", string(entry.HedgingAdaptive),
		"policy for hedging slow target requests: off, fixed or adaptive",
		setting.Check(func() error { return entry.Hedging(*c.hedge).Check() }))
	c.hedgeDelay = c.settings.Duration("hedge-delay", 10*time.Millisecond, time.Millisecond, time.Minute,
		"time after which -hedge fixed hedges a target request")
	c.hedgeBudget = c.settings.Bool("hedge-budget", true, "count hedges against the service's budget of extra requests")
	c.earlyReturn = c.settings.Bool("early-return", true,
		"let QuickMatch requests return at FirstUseful instead of waiting for all shards")
	c.maxRunning = c.settings.Int("running", 256, 1, 65536,
		"maximum number of callers' requests that run concurrently; further requests are queued")
	c.memory = c.settings.Int("memory", 0, 0, 1<<20,
		"memory of the machine in MB, from which the limits for clients and the garbage collector are derived; with 0, those for clients are as for 512")
	c.returnPath = c.settings.Duration("return-path", 3*time.Millisecond, 0, time.Second,
		"time that an answer takes to reach the caller; subtracted from the deadline")
	c.stopDelay = c.settings.Duration("stop-delay", 2*time.Second, 0, time.Minute,
		"time for which a stopping instance reports that it is not ready but still accepts requests")
	c.stopTimeout = c.settings.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute,
		"maximum time to wait for requests in flight during a stop")
	c.profiling = c.settings.Bool("profiling", false, "serve profiles at the operator address")
}

func (c *serveCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()

	if err := c.serve(ctx); err != nil {
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// memoryFraction is the fraction of the machine's memory that is set as the soft memory limit of the Go runtime, as for the gateway.
const memoryFraction = 0.6

func (c *serveCommand) serve(ctx context.Context) error {
	if *c.memory > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(*c.memory<<20)))
	}
	timers := timer.New()
	events := event.New(c.errors, timers.Now)
	store := platform.NewStore(*c.platform)
	defer store.Close()
	// net/http reports broken connections and unsolicited replies only to the standard logger.
	log.SetFlags(0)
	log.SetOutput(events.Writer(event.LibraryMessage))
	e, err := entry.New(entry.Settings{
		Name:             *c.name,
		AvailabilityZone: *c.zone,
		Caller:           *c.caller,
		Peer:             *c.peer,
		Operator:         *c.operator,
		Store:            store.KeyValueStore(),
		Targets:          store.Targets(),
		Seeds:            *c.seeds,
		Limit:            entry.Limit(*c.limit),
		Hedging:          entry.Hedging(*c.hedge),
		HedgeDelay:       *c.hedgeDelay,
		FreeHedges:       !*c.hedgeBudget,
		AwaitAll:         !*c.earlyReturn,
		Running:          *c.maxRunning,
		Memory:           int64(*c.memory) << 20,
		ReturnPath:       *c.returnPath,
		StopDelay:        *c.stopDelay,
		StopTimeout:      *c.stopTimeout,
		Profiling:        *c.profiling,
	}, entry.WithTimers(timers), entry.WithLog(events))
	if err != nil {
		return err
	}

	return e.Run(ctx)
}
