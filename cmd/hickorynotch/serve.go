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

// serveCommand runs an entry instance.
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
	running     *int
	returnPath  *time.Duration
	stopDelay   *time.Duration
	stopTimeout *time.Duration
	profiling   *bool
}

func newServeCommand() *serveCommand {
	return &serveCommand{errors: os.Stderr}
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry instance" }
func (*serveCommand) Usage() string {
	return `serve -name NAME -zone ZONE -caller-address A -peer-address A -operator-address A -platform A:
  Run an entry instance until SIGTERM or SIGINT, then stop it gracefully.
  Each flag can also be set in the environment, as HICKORYNOTCH_ and its name in
  upper case with _ for -; a flag takes precedence.
`
}

func (c *serveCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	none := netip.AddrPort{}
	c.name = c.settings.String("name", "", "name of the instance, unique in the fleet", setting.Required())
	c.zone = c.settings.Zone("zone", "", "availability zone of the instance", setting.Required())
	c.caller = c.settings.AddrPort("caller-address", none, "address for callers and the load balancer", setting.Required())
	c.peer = c.settings.AddrPort("peer-address", none, "address for other instances, reachable by them", setting.Required())
	c.operator = c.settings.AddrPort("operator-address", none, "address for metrics and status", setting.Required())
	c.platform = c.settings.AddrPort("platform", none, "address of the platform's services", setting.Required())
	c.seeds = c.settings.AddrPorts("seeds", nil, "peer addresses to join through, beside those of the platform's list")
	c.limit = c.settings.String("limit", string(entry.LimitOwner), "how instances share a target's slots: owner, split or adaptive",
		setting.Check(func() error { return entry.Limit(*c.limit).Check() }))
	c.hedge = c.settings.String("hedge", string(entry.HedgingAdaptive),
		"how late target requests are hedged: off, fixed or adaptive",
		setting.Check(func() error { return entry.Hedging(*c.hedge).Check() }))
	c.hedgeDelay = c.settings.Duration("hedge-delay", 10*time.Millisecond, time.Millisecond, time.Minute,
		"age at which -hedge fixed sends a hedge")
	c.hedgeBudget = c.settings.Bool("hedge-budget", true, "let hedges draw from the budget of their service")
	c.earlyReturn = c.settings.Bool("early-return", true, "let QuickMatch requests return at FirstUseful")
	c.running = c.settings.Int("running", 256, 1, 65536, "caller requests that run at a time; more wait")
	c.returnPath = c.settings.Duration("return-path", 3*time.Millisecond, 0, time.Second,
		"time that an answer needs to reach the caller, taken from the deadline")
	c.stopDelay = c.settings.Duration("stop-delay", 2*time.Second, 0, time.Minute,
		"time between readiness off and the wait for requests in flight")
	c.stopTimeout = c.settings.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute,
		"longest wait for requests in flight at a stop")
	c.profiling = c.settings.Bool("profiling", false, "serve profiles at the operators' address")
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

func (c *serveCommand) serve(ctx context.Context) error {
	timers := timer.New()
	events := event.New(c.errors, timers.Now)
	store := platform.NewStore(*c.platform)
	defer store.Close()
	// net/http reports broken connections and unsolicited replies to the standard log only.
	log.SetFlags(0)
	log.SetOutput(events.Writer(event.LibraryMessage))
	e, err := entry.New(entry.Settings{
		Name:             *c.name,
		AvailabilityZone: *c.zone,
		Caller:           *c.caller,
		Peer:             *c.peer,
		Operator:         *c.operator,
		Store:            store.KeyStore(),
		Targets:          store.Targets(),
		Seeds:            *c.seeds,
		Limit:            entry.Limit(*c.limit),
		Hedging:          entry.Hedging(*c.hedge),
		HedgeDelay:       *c.hedgeDelay,
		FreeHedges:       !*c.hedgeBudget,
		AwaitAll:         !*c.earlyReturn,
		Running:          *c.running,
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
