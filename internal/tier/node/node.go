// Package node assembles an instance of the query tier: its servers, its background services and its dispatcher.
//
//	n, err := node.New(settings, adapters, timers)
//	err = n.Run(ctx) // until ctx is done, then a graceful stop
//
// The servers and the supervisor of the background services run in one run.Group, so that they stop together. The supervisor, from
// suture, restarts background services that fail.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/decision/budget"
	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/intake"
	"github.com/hickorynotch/hickorynotch/internal/decision/pacing"
	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/account"
	"github.com/hickorynotch/hickorynotch/internal/tier/caller"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/handover"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// Error is the class of the errors of this package.
var Error = errs.Class("node")

const (
	// memoryFraction is the fraction of the machine's memory that is set as the soft memory limit of the Go runtime.
	memoryFraction = 0.6
	// replyMemoryFraction is the fraction of the machine's memory for responses of targets that are being read. Up to three times as much is
	// in use for them, which stays below memoryFraction together with what an instance needs otherwise.
	replyMemoryFraction = 0.125
	// headerTimeout limits the time to read the headers of a request. For callers, caller.Connections enforces the idle timeout of
	// the configuration as well, which is usually shorter.
	headerTimeout = time.Minute
	// maxHeaderBytes limits the size of request headers, even if the configuration allows more. It is the default of net/http.
	maxHeaderBytes = http.DefaultMaxHeaderBytes
	// targetReadInterval is the interval between reads of the registry of targets while no leader reads it for the fleet.
	targetReadInterval = time.Second
	// configurationBatchDivisor divides Settings.ApplyBound. The quotient is the delay between a change of the configuration and
	// the next long poll, so that one call fetches the versions that follow within it.
	configurationBatchDivisor = 10
	// defaultReturnPath is how long before the caller's objective this instance stops gathering a query. It has to cover the time
	// that the caller spends outside this instance: with a network delay of 3 ms in each direction, opening a connection and
	// sending the request take 9 ms, and returning the answer takes 3 ms.
	defaultReturnPath = 20 * time.Millisecond
)

// Adapters connect the instance to the platform.
type Adapters struct {
	// Targets and Callers convert the headers of targets and callers.
	Targets target.Codec
	Callers caller.Codec
	// Configurations, TargetSource and KeyValueStore access the store: the operators' configuration, the registered targets, and the
	// keys that the instances write themselves.
	Configurations control.ConfigurationSource
	TargetSource   control.TargetSource
	KeyValueStore  control.KeyValueStore
}

// Node is an instance of the query tier.
type Node struct {
	settings Settings
	// reloaded holds the settings as they were last loaded, for the values that may change while the instance runs.
	reloaded atomic.Pointer[Settings]
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set

	configuration     *control.Configuration
	members           *control.Fleet
	targets           *control.Targets
	leadership        *control.Leadership
	targetPool        *target.Pool
	budgets           *budget.Ledger
	suspects          *quarantine.List
	dispatcher        *dispatch.Dispatcher
	handler           *caller.Handler
	callerConnections *caller.Connections
	guard             *inbound.Guard
	peerClient        *peer.Client
	peerServer        *peer.Server
	handover          *handover.Handover
	accounts          *account.Service

	configurationOptions []control.ConfigurationOption
	wrapDispatch         func(caller.Dispatch) caller.Dispatch
	stopCallers          func(callers *http.Server)

	fleetSize    atomic.Pointer[fleetSize]
	largestFleet pacing.Largest
	divisors     pacing.Divisors
	targetsKnown atomic.Bool // a directory of targets has been received
	stopping     atomic.Bool
	// stopStarted is closed when the graceful stop begins.
	stopStarted chan struct{}
	// reachabilityChanged has a value once it has changed whether this instance reaches the targets.
	reachabilityChanged chan struct{}
	loggedReady         atomic.Bool // the readiness that was last logged
	// loggedTable is the configuration whose client accounts were last logged.
	loggedTable atomic.Pointer[route.Table]
}

// Option configures a Node.
type Option func(*Node)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(n *Node) { n.log = log }
}

// WithConfigurationOptions passes options to control.NewConfiguration.
func WithConfigurationOptions(options ...control.ConfigurationOption) Option {
	return func(n *Node) { n.configurationOptions = options }
}

// WithDispatch replaces the functions that answer callers' queries with the result of passing them to wrap.
func WithDispatch(wrap func(caller.Dispatch) caller.Dispatch) Option {
	return func(n *Node) { n.wrapDispatch = wrap }
}

// WithStop replaces the graceful shutdown of the callers' server.
func WithStop(stop func(callers *http.Server)) Option {
	return func(n *Node) { n.stopCallers = stop }
}

// New returns a Node. Run starts it.
func New(settings Settings, adapters Adapters, timers *timer.Service, options ...Option) (n *Node, err error) {
	defer func() { err = Error.Wrap(err) }()

	n = &Node{
		settings: settings, timers: timers, stopStarted: make(chan struct{}), reachabilityChanged: make(chan struct{}, 1), suspects: quarantine.NewList(),
		wrapDispatch: func(d caller.Dispatch) caller.Dispatch { return d },
	}
	n.stopCallers = n.stop
	n.reloaded.Store(&settings)
	for _, option := range options {
		option(n)
	}
	if n.metrics, err = metric.New(); err != nil {
		return nil, err
	}
	n.buildComponents(adapters)
	if err = n.guard.Observe(); err != nil {
		return nil, err
	}
	err = n.metrics.Observe("hickorynotch.configuration.age",
		"Time in seconds since the configuration in force was last known to be the stored one.",
		func() float64 { return n.configuration.Age().Seconds() })
	if err != nil {
		return nil, err
	}
	if err = n.observeTargets(); err != nil {
		return nil, err
	}
	err = n.metrics.Observe("hickorynotch.quarantine.queries", "Number of queries that are refused because they have crashed targets.",
		func() float64 { return float64(len(n.suspects.BlockedRecords(n.timers.Now()))) })
	if err != nil {
		return nil, err
	}

	return n, n.observeAccounts()
}

// buildComponents creates the components of the instance and connects them. One control.Gate wraps all access to the store.
func (n *Node) buildComponents(adapters Adapters) {
	settings, timers := n.settings, n.timers
	gate := control.NewGate(timers, func() bool { return n.configuration.Current() == nil || !n.targetsKnown.Load() })
	adapters.Configurations = gate.Configurations(adapters.Configurations)
	adapters.TargetSource = gate.Targets(adapters.TargetSource)
	adapters.KeyValueStore = gate.KeyValueStore(adapters.KeyValueStore)
	place := choice.Place{
		AvailabilityZone: settings.AvailabilityZone, Region: settings.Region, Regions: settings.Regions,
		RoundTrips: choice.NewRoundTrips(),
	}
	self := control.Instance{
		Name: settings.Name, Peer: settings.Peer, AvailabilityZone: settings.AvailabilityZone,
		Processor: settings.Processor, LinkBits: settings.LinkBits,
	}
	n.fleetSize.Store(&fleetSize{
		instances: assumedInstances, limits: target.FleetFacts{Instances: assumedInstances, Listed: assumedInstances},
	})
	n.targetPool = target.NewPool(adapters.Targets, timers, target.WithLog(n.log), target.WithConnections(n.connectionLimit),
		target.WithFleet(n.limitFacts), target.OnLeaving(n.reportLeaving), target.WithColdTargets(n.coldTargets()),
		target.WithName(settings.Name), target.OnReachability(n.notifyReachability), target.WithMetrics(n.metrics), target.WithReplyMemory(int64(replyMemoryFraction*float64(settings.Memory))))
	n.budgets = budget.NewLedger(timers.Now(), n.extraRequestLimits)
	n.dispatcher = dispatch.New(n.targetPool, n.budgets, timers, dispatch.Settings{
		Place: place, ReturnPath: defaultReturnPath, Hedges: true,
	}, dispatch.WithLog(n.log), dispatch.WithMetrics(n.metrics),
		dispatch.WithGroups(func(q *dispatch.Query) []dispatch.Group { return n.handover.Groups(q) }),
		dispatch.WithSuspects(n.suspects, func(f suspect.Fingerprint, instances int) bool { return n.members.IsResponsible(f.String(), instances) }))
	n.peerClient = peer.NewClient(timers, peer.WithResponseMemory(int64(replyMemoryFraction*float64(settings.Memory))))
	n.accounts = n.newAccounts()
	n.members = control.NewFleet(adapters.KeyValueStore, self, timers, control.WithFleetLog(n.log),
		control.WithDrainBound(settings.DrainBound), control.OnView(n.updateView), control.WithSuspects(n.suspects),
		control.WithFollowing(&control.Following{
			Follow:          n.peerClient.Follow,
			FirstStart:      settings.FirstStart,
			Version:         func() uint64 { return n.configuration.Version() },
			OnConfiguration: func(stored *control.StoredConfiguration) { n.configuration.Offer(stored) },
			OnVersion:       func(version uint64, age time.Duration) { n.configuration.Confirm(version, age) },
		}))
	n.configuration = control.NewConfiguration(adapters.Configurations, timers, n.members.PollTime,
		append([]control.ConfigurationOption{
			control.WithConfigurationLog(n.log), control.OnAdopted(n.updateConfiguration),
			control.WithBatchDelay(settings.ApplyBound / configurationBatchDivisor), control.WithFleet(n.members),
			control.WithApplyBound(operatorBound(&settings)),
		}, n.configurationOptions...)...)
	n.handover = handover.New(self, place, n.peerClient, timers, n.dispatcher.Gather, handover.WithLog(n.log),
		handover.WithForward(n.dispatcher.Forward), handover.WithReachability(n.targetPool.Reachability),
		handover.OnNewerConfiguration(n.configuration.RefreshIfOlder),
		handover.OnMirrorRevision(n.members.RefreshIfOlder))
	n.peerServer = peer.NewServer(n.prepareGather, n.dispatcher.Gather, n.members.Revision, n.handleNotice, timers, n.log,
		peer.WithFollowers(n.members.Feed().Serve), peer.OnReports(n.members.Feed().Report),
		peer.OnSuspects(n.members.Feed().ReportSuspects), peer.OnLeaving(n.members.Feed().ReportLeaving),
		peer.WithQuotas(n.quotas()), peer.WithForward(n.prepareForward, n.dispatcher.Forward),
		peer.OnReachability(n.members.Feed().SetUnreachable))
	n.targets = control.NewTargets(adapters.TargetSource, timers, n.updateTargets, control.WithTargetsLog(n.log))
	n.leadership = control.NewLeadership(n.members, n.targets, adapters.KeyValueStore, timers, targetReadInterval, n.log,
		control.WithConfiguration(n.configuration), control.WithNotify(n.broadcastNotice))
	n.handler = caller.NewHandler(adapters.Callers, n.configuration.Current,
		n.wrapDispatch(caller.Dispatch{Gather: n.gather, Forward: n.forward}), timers,
		n.callerOptions()...)
	n.callerConnections = caller.NewConnections(n.callerLimits, timers)
	n.guard = n.newGuard(adapters.Callers)
}

// operatorBound returns the time within which a change by the operators that is read with the configuration has to be in force.
func operatorBound(s *Settings) time.Duration {
	bound := s.ApplyBound
	if s.EvacuateBound > 0 && bound > 0 {
		bound = min(bound, s.EvacuateBound)
	}
	if s.StrictRevocation && bound > 0 {
		bound = min(bound, revokeBound(s))
	}

	return bound
}

// gather answers a query that merges the parts of several shards. One that has crashed targets stays at this instance, which sends it with
// care or refuses it.
func (n *Node) gather(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	if n.dispatcher.Suspicion(q).Mode != quarantine.Clear {
		return n.dispatcher.Gather(ctx, q)
	}

	return n.handover.Gather(ctx, q)
}

// forward answers a query that one target answers. One that has crashed targets stays at this instance.
func (n *Node) forward(ctx context.Context, q *dispatch.Query) dispatch.Answer {
	if n.dispatcher.Suspicion(q).Mode != quarantine.Clear {
		return n.dispatcher.Forward(ctx, q)
	}

	return n.handover.Forward(ctx, q)
}

// Apply updates the instance with reloaded settings. Only the limits for extra requests and the stop timeout take effect. Changes
// to addresses or to the availability zone require a restart of the process.
func (n *Node) Apply(settings Settings) {
	n.reloaded.Store(&settings)
}

// callerLimits returns the limits for callers in the configuration in force, or zero values while none is known.
func (n *Node) callerLimits() route.Limits {
	if t := n.configuration.Current(); t != nil {
		return t.Limits()
	}

	return route.Limits{}
}

// Ready reports whether the instance can serve: it knows the configuration and the targets and is not stopping.
func (n *Node) Ready() bool {
	return n.configuration.Current() != nil && n.targetsKnown.Load() && !n.stopping.Load()
}

// Run serves until ctx is done and then stops gracefully.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	debug.SetMemoryLimit(int64(memoryFraction * float64(n.settings.Memory)))
	n.log.Log(event.InstanceStarting, "AvailabilityZone", n.settings.AvailabilityZone,
		"Callers", n.settings.Callers, "Operator", n.settings.Operator, "Peer", n.settings.Peer, "Store", n.settings.Store,
		"Processor", n.settings.Processor, "LinkBits", n.settings.LinkBits)
	defer n.targetPool.Close()
	defer n.peerClient.Close()

	// The background services and the peer server keep running after ctx is done, because requests need them during the graceful
	// stop.
	serviceCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	callers := &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	n.callerConnections.Attach(callers)
	n.guard.Attach(callers)
	var group run.Group
	stopped := make(chan struct{})
	group.Add(func() error {
		defer close(stopped)
		<-ctx.Done()
		n.stopCallers(callers)

		return nil
	}, func(error) {})
	peerListener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Peer.String())
	if err != nil {
		return err
	}
	peerListener = n.guard.Listen(peerListener, intake.Peers, nil)
	group.Add(func() error { return ignoreCanceled(n.peerServer.Serve(serviceCtx, peerListener)) }, func(error) { stopServices() })
	supervisor := n.supervisor()
	group.Add(func() error { return ignoreCanceled(supervisor.Serve(serviceCtx)) }, func(error) { stopServices() })
	for _, s := range []struct {
		address string
		server  *http.Server
		kind    intake.Address
		limits  func() inbound.Limits
	}{
		{n.settings.Callers.String(), callers, intake.Callers, n.headLimits},
		{n.settings.Readiness.String(), n.readinessServer(), intake.Readiness, probeLimits},
		{n.settings.Operator.String(), n.metricsServer(), intake.Metrics, probeLimits},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.address)
		if err != nil {
			return err
		}
		listener = n.guard.Listen(listener, s.kind, s.limits)
		group.Add(func() error {
			err := ignoreServerClosed(s.server.Serve(listener))
			if err == nil {
				// Serve returns as soon as Shutdown is called. The group ends all other actors when the first one returns, so
				// this one waits for the end of the graceful stop.
				<-stopped
			}

			return err
		}, func(error) { _ = s.server.Close() })
	}

	return group.Run()
}

func (n *Node) supervisor() *suture.Supervisor {
	supervisor := suture.New(n.settings.Name, suture.Spec{
		EventHook: func(failure suture.Event) { n.log.Log(event.ServiceFailed, "Reason", failure.String()) },
	})
	supervisor.Add(service{"configuration", n.configuration.Run})
	supervisor.Add(service{"fleet", n.members.Run})
	supervisor.Add(service{"notices", n.members.Watch})
	supervisor.Add(service{"targets", n.leadership.Run})
	supervisor.Add(service{"registration", n.register})
	supervisor.Add(service{"callers", n.callerConnections.Run})
	supervisor.Add(service{"clients", n.guard.Run})
	supervisor.Add(service{"limits", n.reportLimits})
	supervisor.Add(service{"quotas", n.accounts.Run})
	supervisor.Add(service{"suspects", func(ctx context.Context) error { return n.members.SpreadSuspects(ctx, n.sendSuspects) }})
	supervisor.Add(service{"reachability", n.targetPool.WatchReachability})
	supervisor.Add(service{"reachability reports", n.reportReachability})
	supervisor.Add(service{"connections", func(ctx context.Context) error {
		return n.targetPool.KeepWarm(ctx, n.wantsIdleConnections)
	}})

	return supervisor
}

// service is a background service that the supervisor runs.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the name of the service in the supervisor's events.
func (s service) String() string { return s.name }

// readinessServer returns the server that answers the load balancer's readiness probes, on any path.
func (n *Node) readinessServer() *http.Server {
	return n.probeServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := n.Ready()
		if n.loggedReady.Swap(ready) != ready {
			if ready {
				n.log.Log(event.InstanceReady, "Version", n.configuration.Current().Version())
			} else {
				n.log.Log(event.InstanceNotReady, "Stopping", n.stopping.Load())
			}
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// metricsServer returns the server that exposes the metrics.
func (n *Node) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())

	return n.probeServer(mux)
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}

	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return err
}
