// Package entry assembles an entry instance from its components, runs it, and stops it gracefully.
//
// An Entry serves callers, peers and operators at three addresses. Components that may fail run under a supervisor, which
// restarts them. The supervisor and the three servers form one run group: if one of them ends, all are stopped:
//
//	e, err := entry.New(settings, entry.WithLog(log))
//	err = e.Run(ctx) // until ctx is done, then stops gracefully
//
// During a graceful stop the instance reports that it is not ready, announces to its peers that it is leaving, waits until the
// load balancer can have reacted, and completes the requests and relays in flight within a timeout. Only then does it stop the
// components.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/fleet/listing"
	"github.com/hickorynotch/hickorynotch/internal/fleet/membership"
	"github.com/hickorynotch/hickorynotch/internal/fleet/polling"
	"github.com/hickorynotch/hickorynotch/internal/policy/admission"
	"github.com/hickorynotch/hickorynotch/internal/policy/budget"
	"github.com/hickorynotch/hickorynotch/internal/policy/hedge"
	"github.com/hickorynotch/hickorynotch/internal/policy/routing"
	"github.com/hickorynotch/hickorynotch/internal/policy/slots"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/claim"
	"github.com/hickorynotch/hickorynotch/internal/query/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/query/fanout"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/operator"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/link"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// Error is the class of the errors of this package.
var Error = errs.Class("entry")

// operatorIdleTimeout is the time after which an idle connection of an operator is closed. Metrics are usually collected every 15 to 60 s.
const operatorIdleTimeout = 2 * time.Minute

// Entry is one entry instance.
type Entry struct {
	settings Settings
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set
	seed     uint64
	adjust   func(*fanout.Engine)

	listeners    listeners
	stopping     atomic.Bool
	stale        atomic.Bool // set after a pause of the process until configuration and reports are refreshed
	targetsKnown atomic.Bool // set once the state of the targets is known
	// incompleteServices contains the services for which SnapshotIncomplete was logged. Only names of the configuration are added,
	// so its size is limited.
	incompleteServices sync.Map
	pollRequested      chan struct{} // triggers a poll of the targets
	started            time.Time
	polledRevision     uint64 // the revision whose targets are polled; used by the goroutine of runPoll only

	platform *platform.Client
	targets  *target.Client
	peers    *peer.Client

	members  *membership.Membership
	selfOnly []instance.Instance // only this instance; see owners
	keeper   *configuration.Keeper
	spread   *configuration.Spread
	watcher  *configuration.Watcher
	list     *listing.Reader
	poller   *polling.Poller

	catalog    *snapshot.Catalog
	links      *link.Table
	slots      *slots.Table
	dispatcher *dispatch.Dispatcher
	admission  *admission.Controller
	budget     *budget.Budget
	engine     *fanout.Engine
	claims     *claim.Claims

	callers    *caller.Handler
	peerServer *peer.Server
	guard      *inbound.Guard
}

// Option configures an Entry.
type Option func(*Entry)

// WithTimers makes all components use the clock of timers.
func WithTimers(timers *timer.Service) Option { return func(e *Entry) { e.timers = timers } }

// WithLog sets the log of all components.
func WithLog(log *event.Log) Option { return func(e *Entry) { e.log = log } }

// WithSeed sets the seed of the components' random choices, which is random by default. The identifiers of requests and
// attempts do not depend on it.
func WithSeed(seed uint64) Option { return func(e *Entry) { e.seed = seed } }

// WithDialer sets the function that dials peers, so that a test can simulate network partitions between them.
func WithDialer(dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)) Option {
	return func(e *Entry) { e.settings.dial = dial }
}

// WithEngine sets a function that is called with the assembled engine before the first request, so that a test can wrap the
// function fields of the engine.
func WithEngine(adjust func(*fanout.Engine)) Option {
	return func(e *Entry) { e.adjust = adjust }
}

// New opens the three listeners and assembles the components. Run starts them.
func New(settings Settings, options ...Option) (e *Entry, err error) {
	defer func() { err = Error.Wrap(err) }()

	e = &Entry{settings: settings, timers: timer.New(), seed: rand.Uint64(), pollRequested: make(chan struct{}, 1)}
	for _, option := range options {
		option(e)
	}
	e.started = e.timers.Now()
	if e.metrics, err = metric.New(); err != nil {
		return nil, err
	}
	if e.listeners, err = listen(&e.settings); err != nil {
		return nil, err
	}
	if err = e.guardListeners(); err != nil {
		return nil, err
	}
	e.assembleLinks()
	e.assembleFleet()
	e.assembleQuery()

	return e, e.registerGauges()
}

// assembleLinks creates the clients of the platform and the targets, the tables of target state, and admission control.
func (e *Entry) assembleLinks() {
	e.platform = platform.NewClient(e.settings.Store, e.settings.Targets, e.timers, platform.WithLog(e.log))
	e.targets = target.NewClient(e.timers, target.WithLog(e.log))
	e.catalog = snapshot.New(snapshot.WithTimers(e.timers))
	e.links = link.NewTable(e.timers, link.WithLog(e.log))
	e.admission = admission.New(e.timers, admission.WithSeed(e.seed), admission.WithLog(e.log),
		admission.WithRunning(e.settings.Running),
		admission.WithInstances(func() int { return len(e.members.Live()) }))
	e.slots = slots.NewTable(e.timers, slots.WithVariant(e.variant()), slots.WithLog(e.log))
	e.slots.OnBound = func(name string) { e.metrics.BoundReached(context.Background(), "slots."+name) }
	e.targets.OnBound = func(netip.AddrPort) { e.metrics.BoundReached(context.Background(), "target.Connections") }
	// The owner of a target observes a queueing delay before the reply reports it to the instance that accepted the request. Only
	// the owner observes the delay of attempts that its queue refuses.
	e.slots.OnDelay = e.observeDelay
}

// variant returns the variant of package slots for the setting Limit. Without owners, each instance sends to targets directly.
func (e *Entry) variant() slots.Variant {
	switch e.settings.Limit {
	case LimitSplit:
		return slots.Split(func() int { return len(e.members.Live()) })
	case LimitAdaptive:
		return slots.Adaptive()
	default:
		return slots.Owner()
	}
}

// assembleFleet creates membership, configuration, target polling and the server for peers.
func (e *Entry) assembleFleet() {
	self := instance.Instance{
		Name:             e.settings.Name,
		AvailabilityZone: e.settings.AvailabilityZone,
		Peer:             e.settings.Peer,
		// The start time gives a new process a higher incarnation than the previous process with the same name.
		Incarnation: uint64(e.timers.Now().UnixMilli()),
	}
	peerOptions := []peer.ClientOption{
		peer.WithSender(peer.Sender{Name: self.Name, AvailabilityZone: self.AvailabilityZone}),
	}
	if e.settings.dial != nil {
		peerOptions = append(peerOptions, peer.WithDialer(e.settings.dial))
	}
	e.peers = peer.NewClient(e.timers, peerOptions...)

	e.keeper = configuration.NewKeeper(e.settings.AvailabilityZone, contract.Merge,
		configuration.WithKeeperLog(e.log),
		configuration.WithOnAdopt(func(active configuration.Active) {
			e.spread.Adopted(active)
			e.requestPoll()
		}))
	e.members = membership.New(self, e.timers,
		membership.Calls{Ping: e.peers.Ping, PingRequest: e.peers.PingRequest, Sync: e.peers.Sync},
		membership.WithSeeds(e.settings.Seeds...),
		membership.WithSeedList(func(ctx context.Context) ([]netip.AddrPort, error) { return e.list.Seeds(ctx) }),
		membership.WithRevision(e.keeper.Revision,
			func(from instance.Instance, revision uint64) { e.spread.Behind(from, revision) }),
		membership.WithOnPause(e.onPause),
		membership.WithOnChange(func([]instance.Instance) {
			// The first poll waits until other instances are known, so a change of the members may end its wait.
			if !e.targetsKnown.Load() {
				e.requestPoll()
			}
		}),
		membership.WithSeed(e.seed),
		membership.WithLog(e.log))
	e.selfOnly = []instance.Instance{self}
	e.spread = configuration.NewSpread(self, e.keeper, e.timers,
		configuration.PeerCalls{Push: e.peers.Push, Configuration: e.peers.Configuration}, e.members.Live, e.seed)
	e.watcher = configuration.NewWatcher(self, e.spread,
		configuration.StoreCalls{Read: e.platform.Read, Watch: e.platform.Watch}, e.seed, e.log)
	e.list = listing.New(self, e.timers, listing.Calls{List: e.platform.List, Pass: e.peers.PassListing},
		e.members.Live, e.catalog.MarkLeaving, listing.WithSeed(e.seed), listing.WithLog(e.log))

	e.poller = polling.New(self, e.timers, polling.Functions{
		Live: e.members.Live, Status: e.targets.Status, Compare: e.peers.Compare, Reports: e.peers.Reports,
		Learn: e.recordReport, Repeat: e.catalog.Learn,
	}, e.seed)

	e.peerServer = peer.NewServer(
		peer.WithRelay(func(ctx context.Context, from peer.Sender, a attempt.Attempt) (target.Reply, error) {
			return e.dispatcher.HandleRelay(ctx, from, a)
		}),
		peer.WithPing(e.members.HandlePing),
		peer.WithPingRequest(e.members.HandlePingRequest),
		peer.WithSync(e.members.HandleSync),
		peer.WithConfiguration(e.spread.HandleConfiguration),
		peer.WithPush(e.spread.HandlePush),
		peer.WithListing(e.list.HandlePass),
		peer.WithCompare(e.poller.HandleCompare),
		peer.WithReports(e.poller.HandleReports))
}

// assembleQuery creates the components that process a request on its way from the caller to the targets.
func (e *Entry) assembleQuery() {
	e.dispatcher = dispatch.New(e.settings.Name, e.timers, dispatch.Functions{
		Live:   e.owners,
		Local:  e.runLocal,
		Relay:  e.peers.Relay,
		Direct: e.runLocal,
	})
	e.budget = budget.New(budget.WithTimers(e.timers))
	router := routing.New(e.settings.AvailabilityZone, e.links.Status, routing.WithSeed(e.seed))
	e.claims = claim.New(e.timers, claim.WithStore(e.platform))
	e.engine = &fanout.Engine{
		Service:    e.service,
		Pin:        e.pin,
		Choose:     router.Choose,
		Run:        e.runAttempt,
		Claim:      e.claim,
		Admit:      e.admit,
		Withdraw:   e.catalog.Withdraw,
		Overloaded: e.recordRefusal,
		Random:     rand.Uint64,
		Budget:     e.budget,
		Hedge: hedge.New(hedge.WithTimers(e.timers), hedge.WithExtraLoad(func(service string) float64 {
			s, _ := e.service(service)

			return s.ExtraLoad
		})),
		Timers:     e.timers,
		Log:        e.log,
		ReturnPath: e.settings.ReturnPath,
	}
	e.applyHedgingSettings()
	if e.adjust != nil {
		e.adjust(e.engine)
	}
	e.callers = caller.NewHandler(e.answer, caller.WithReady(e.Ready))
}

// applyHedgingSettings replaces those parts of the hedging policy of the engine that the settings change.
func (e *Entry) applyHedgingSettings() {
	switch e.settings.Hedging {
	case HedgingOff:
		e.engine.HedgeDelay = func(string) (time.Duration, bool) { return 0, false }
	case HedgingFixed:
		e.engine.HedgeDelay = func(string) (time.Duration, bool) { return e.settings.HedgeDelay, true }
		e.engine.HedgeQuorum = func(int) int { return 0 }
		e.engine.Hedges = func() int { return 1 }
	}
	if e.settings.FreeHedges {
		e.engine.HedgeSpend = func(string, int) bool { return true }
	}
	if e.settings.AwaitAll {
		e.engine.FirstAnswer = func(s *contract.Service) time.Duration { return s.Deadline.Std() }
	}
}

// Ready returns nil if the load balancer may send requests to the instance, and otherwise an error with the reason.
func (e *Entry) Ready() error {
	switch {
	case e.stopping.Load():
		return errors.New("the instance is stopping")
	case e.stale.Load():
		return errors.New("the process was paused and refreshes what it knows")
	case !e.keeper.Ready():
		return errors.New("no configuration is known yet")
	case !e.targetsKnown.Load():
		return errors.New("the targets have not been asked yet")
	default:
		return nil
	}
}

// Addresses returns the addresses on which the instance listens. They contain the actual ports if the settings have port 0.
func (e *Entry) Addresses() Addresses {
	return e.listeners.addresses()
}

// Status returns the status of the instance for operators.
func (e *Entry) Status() operator.Status {
	status := operator.Status{
		Name:             e.settings.Name,
		AvailabilityZone: e.settings.AvailabilityZone,
	}
	if err := e.Ready(); err != nil {
		status.Reason = err.Error()
	} else {
		status.Ready = true
	}
	if active, ok := e.keeper.Current(); ok {
		status.Revision, status.ApplyID = active.Revision, active.ApplyID
		for name := range active.Configuration.Services {
			status.Services = append(status.Services, name)
		}
	}
	for _, m := range e.members.Members() {
		status.Members = append(status.Members, operator.Member{
			Name: m.Name, AvailabilityZone: m.AvailabilityZone, Peer: m.Peer, State: m.State.String(),
		})
	}
	store, gossip := e.watcher.Traffic(), e.members.Traffic()
	status.StoreCalls = store.Reads + store.Watches
	status.StoreBytes = store.Bytes
	status.ControlBytes = store.Bytes + gossip.BytesSent + gossip.BytesReceived
	status.ControlMessages = gossip.MessagesSent + gossip.MessagesReceived

	return status
}

// registerGauges registers the gauges whose values are read when metrics are collected.
func (e *Entry) registerGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"hickorynotch.configuration.revision", "Revision of the configuration in force.",
			func() float64 { return float64(e.keeper.Revision()) }},
		{"hickorynotch.members.live", "Instances that this instance believes to be live.",
			func() float64 { return float64(len(e.members.Live())) }},
		{"hickorynotch.requests.in_flight", "Requests of callers in flight.",
			func() float64 { return float64(e.callers.InFlight()) }},
		{"hickorynotch.target.attempts", "Target requests since the start.",
			func() float64 { return float64(e.engine.Statistics().Attempts) }},
		{"hickorynotch.target.hedges", "Hedges since the start.",
			func() float64 { return float64(e.engine.Statistics().Hedges) }},
		{"hickorynotch.target.retries", "Retries since the start.",
			func() float64 { return float64(e.engine.Statistics().Retries) }},
		{"hickorynotch.target.restarts", "Requests restarted on a newer snapshot since the start.",
			func() float64 { return float64(e.engine.Statistics().Restarts) }},
		{"hickorynotch.target.mismatches", "Replies discarded because they belong to another attempt.",
			func() float64 { return float64(e.engine.Statistics().Mismatches) }},
		{"hickorynotch.relays.sent", "Target requests relayed to the owner of their target.",
			func() float64 { return float64(e.dispatcher.Counts().Relayed) }},
		{"hickorynotch.relays.handled", "Target requests run here for a peer.",
			func() float64 { return float64(e.dispatcher.Counts().Handled) }},
		{"hickorynotch.admission.queued", "Requests of callers that wait for admission.",
			func() float64 { return float64(e.admission.Stats().Queued) }},
		{"hickorynotch.admission.shed", "Requests refused by a worth threshold since the start.",
			func() float64 { return float64(e.admission.Stats().Shed) }},
		{"hickorynotch.bound.admission", "Requests refused because a queue of admission was full.",
			func() float64 { return float64(e.admission.Stats().QueueFull) }},
		{"hickorynotch.bound.links", "Targets that found no place in the table of links.",
			func() float64 { return float64(e.links.Rejected()) }},
		{"hickorynotch.bound.members", "Members that found no place in the member table.",
			func() float64 { return float64(e.members.Dropped()) }},
		{"hickorynotch.polls", "Status polls of targets since the start.",
			func() float64 { return float64(e.poller.Counts().Polls) }},
		{"hickorynotch.reports.pushed", "Target reports pushed to peers since the start.",
			func() float64 { return float64(e.poller.Counts().Pushed) }},
		{"hickorynotch.reports.repairs", "Exchanges of target reports with a peer whose digest differed.",
			func() float64 { return float64(e.poller.Counts().Repairs) }},
		{"hickorynotch.bound.reports", "Targets that found no place in the table of reports.",
			func() float64 { return float64(e.poller.Counts().Rejected) }},
		{"hickorynotch.bound.budget", "Services that found no place in the table of budgets.",
			func() float64 { return float64(e.budget.Dropped()) }},
	}
	for _, v := range gauges {
		if err := e.metrics.Observe(v.name, v.description, v.read); err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
	}

	return nil
}

// server is an http.Server and its listener.
type server struct {
	*http.Server
	listener net.Listener
}

func (s server) serve() error {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}

	return nil
}

// newOperatorServer returns the server for metrics, status and profiles.
func (e *Entry) newOperatorServer() server {
	s := &http.Server{
		Handler:           operator.NewHandler(e.metrics.Handler(), e.Status, e.settings.Profiling),
		ReadHeaderTimeout: caller.HeadTimeout,
		IdleTimeout:       operatorIdleTimeout,
	}
	e.guard.AttachSimple(s)

	return server{Server: s, listener: e.listeners.operator}
}

// newCallerServer returns the server for callers' requests and for the load balancer's readiness checks.
func (e *Entry) newCallerServer() server {
	s := caller.NewServer(e.callers)
	e.guard.Attach(s)

	return server{Server: s, listener: e.listeners.caller}
}

// requestPoll makes runPoll poll the targets without waiting for the next period. It does not block.
func (e *Entry) requestPoll() {
	select {
	case e.pollRequested <- struct{}{}:
	default:
	}
}

// onPause is called after the process did not run for a while. In that time members, reports and leases may have changed.
func (e *Entry) onPause(time.Duration) {
	e.stale.Store(true)
	e.logNotReady()
}

// logNotReady logs the reason if the instance is not ready.
func (e *Entry) logNotReady() {
	if err := e.Ready(); err != nil {
		e.log.Log(event.InstanceNotReady, "Reason", err)
	}
}

// refresh reads the configuration and the reports of the targets again after a pause of the process.
func (e *Entry) refresh(ctx context.Context) {
	if err := e.watcher.Learn(ctx); err != nil {
		return
	}
	e.targetsKnown.Store(false)
	e.poll(ctx)
	if !e.targetsKnown.Load() {
		return
	}
	// A failure to read the platform's list does not delay readiness: the list lags and may be unavailable, and the targets' own
	// reports were read above.
	_ = e.list.Read(ctx)
	e.stale.Store(false)
}
