package entry

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/run"
	"github.com/thejerf/suture/v4"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// component is a named function of an instance that the supervisor runs and restarts.
type component struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve implements suture.Service.
func (c component) Serve(ctx context.Context) error { return c.serve(ctx) }

// String returns the name of the component, which the supervisor's events contain.
func (c component) String() string { return c.name }

// Run serves until ctx is done and then stops gracefully. It returns nil after a graceful stop.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	e.log.Log(event.InstanceStarting, "Instance", e.settings.Name, "AvailabilityZone", e.settings.AvailabilityZone,
		"Caller", e.settings.Caller, "Peer", e.settings.Peer, "Operator", e.settings.Operator, "Seed", e.seed)
	defer e.close()

	// The components run longer than ctx, because a graceful stop needs them until the last request is answered.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	callerServer, operatorServer := e.newCallerServer(), e.newOperatorServer()
	supervisor := e.newSupervisor()

	var group run.Group
	group.Add(func() error {
		<-ctx.Done()
		e.stop(context.WithoutCancel(ctx))

		return nil
	}, func(error) {})
	group.Add(func() error { return ignoreCancel(supervisor.Serve(componentCtx)) }, func(error) { stopComponents() })
	group.Add(func() error {
		return ignoreCancel(e.peerServer.Serve(componentCtx, e.listeners.peer))
	}, func(error) { stopComponents() })
	group.Add(callerServer.serve, func(error) { shutdown(callerServer) })
	group.Add(operatorServer.serve, func(error) { shutdown(operatorServer) })

	return group.Run()
}

func (e *Entry) newSupervisor() *suture.Supervisor {
	supervisor := suture.New(e.settings.Name, suture.Spec{
		EventHook: func(failed suture.Event) {
			e.log.Log(event.ServiceFailed, "Reason", failed.String())
		},
		Timeout: 5 * time.Second,
	})
	for _, c := range []component{
		{"membership", e.members.Run},
		{"configuration spread", e.spread.Run},
		{"configuration watcher", e.watcher.Run},
		{"target poll", e.runPoll},
		{"platform list", e.list.Run},
		{"target reports", e.poller.Run},
		{"registration", e.register},
		{"clients", e.guard.Run},
	} {
		supervisor.Add(c)
	}

	return supervisor
}

// register keeps this instance registered in the store until ctx is done, so that new instances find a peer to join through.
func (e *Entry) register(ctx context.Context) error {
	return control.NewRegistration(e.settings.Store, control.Instance{
		Name: e.settings.Name, Peer: e.settings.Peer, AvailabilityZone: string(e.settings.AvailabilityZone), Processor: 1,
	}, e.timers, e.log).Run(ctx)
}

// stop completes the requests in flight. The order matters: the load balancer and the peers must stop sending requests before the
// wait for the rest begins.
func (e *Entry) stop(ctx context.Context) {
	e.log.Log(event.InstanceStopping, "InFlight", e.callers.InFlight())
	e.stopping.Store(true)
	e.logNotReady()
	e.members.Leave(ctx)
	<-e.timers.After(e.settings.StopDelay)

	drainCtx, cancel := e.timers.WithTimeout(ctx, e.settings.StopTimeout)
	defer cancel()
	err := errors.Join(e.callers.Drain(drainCtx), e.peerServer.Shutdown(drainCtx))
	e.log.Log(event.InstanceStopped, "InFlight", e.callers.InFlight(), "Error", err)
}

// close closes the clients and listeners and shuts the metrics down, after the run group has ended.
func (e *Entry) close() {
	e.targets.Close()
	e.peers.Close()
	e.listeners.close()
	_ = e.metrics.Shutdown(context.Background())
}

// shutdown shuts down a server whose requests have been completed. The timeout leaves time for responses that are still being
// written.
func shutdown(s server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}

	return err
}
