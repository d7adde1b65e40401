package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/loopback"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
)

const (
	// instances is the number of instance processes, and callersPerInstance the number of callers that send requests to each.
	instances          = 4
	callersPerInstance = 2
	// startTimeout is the time within which all instances must become ready at the start. recoveryTimeout is the time within which
	// all of them must serve the newest configuration after the faults have ended.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 12 * time.Second
	// drainTimeout is the time after which a target that announced its drain must receive no more requests.
	drainTimeout = 3 * time.Second
	// drainSlack is added to drainTimeout for requests that had already been sent.
	drainSlack = 700 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a target, each of which rewrites its entry in the store.
	heartbeatInterval = 1200 * time.Millisecond
)

// Settings configures one run.
type Settings struct {
	// Command starts an instance. The path of the settings file is appended as its last argument.
	Command  []string
	Seed     uint64
	Duration time.Duration
	Output   io.Writer
	// Restores makes the store come back from older copies, too. The events of a seed differ with and without it.
	Restores bool
	// Logs is the directory for the settings and the logs of the instances.
	Logs string
}

// soakRun is the state of one run.
type soakRun struct {
	settings  Settings
	random    *rand.Rand
	env       *environment
	instances []*instance
	checker   *checker
	// drainStarted has the time at which each draining target announced its drain.
	drainStarted map[*backend]time.Time
	// disturbedUntil is the time until which a fault of the store or of an instance may affect routing.
	disturbedUntil time.Time
	// storeCopies are copies of the store after each event.
	storeCopies []*memory.Copy
}

// ErrInterrupted is the error of a run whose context has ended before it.
var ErrInterrupted = errors.New("interrupted")

// Run runs one soak, and ends soon after ctx, with no process left. The error names the seed and the first guarantee that was violated;
// Output lists all of them.
func Run(ctx context.Context, settings Settings) (err error) {
	defer func() { err = Error.Wrap(err) }()

	r := &soakRun{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), checker: &checker{},
		drainStarted: make(map[*backend]time.Time),
	}
	if r.env, err = newEnvironment(); err != nil {
		return err
	}
	defer r.env.crashes.stop()
	r.logf("seed %d, %v", settings.Seed, settings.Duration)
	defer func() {
		for _, i := range r.instances {
			i.stop()
		}
		for _, i := range r.instances {
			<-i.ended
		}
	}()
	for i := range instances {
		if err := r.startInstance(i); err != nil {
			return err
		}
	}
	ready := r.awaitReady(ctx, startTimeout)
	if ready {
		r.runSchedule(ctx)
	}
	if ctx.Err() != nil {
		// What was checked until then proves nothing.
		return fmt.Errorf("seed %d: %w", settings.Seed, ErrInterrupted)
	}
	if !ready {
		return fmt.Errorf("not all instances were ready after %v", startTimeout)
	}
	r.checker.checkRuns(r.env.journal)
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	r.logf("served %d, refused %d, failed %d, broken promises %d",
		r.checker.served, r.checker.refused, r.checker.failed, len(r.checker.violations))
	if len(r.checker.violations) > 0 {
		for _, violation := range r.checker.violations {
			r.logf("violation: %s", violation)
		}

		return fmt.Errorf("seed %d: %s", settings.Seed, r.checker.violations[0])
	}

	return nil
}

func (r *soakRun) logf(format string, args ...any) {
	// The output goes to a terminal or a file, so an error of the write does not affect the run.
	_, _ = fmt.Fprintf(r.settings.Output, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

// startInstance starts instance n behind one proxy to the store and one for the connections of its peers.
func (r *soakRun) startInstance(n int) error {
	ports, err := loopback.FreePorts(loopbackAddress(n), 4)
	if err != nil {
		return err
	}
	p, err := newProxy(r.env.address)
	if err != nil {
		return err
	}
	// The settings name the lower of the first two ports as the port for peers.
	peer := ports[0]
	if ports[1].Port() < peer.Port() {
		peer = ports[1]
	}
	peers, err := r.env.addPeerProxy(peer)
	if err != nil {
		return err
	}
	path, err := operator.WriteSettings(r.settings.Logs, n, zones[n%len(zones)], p.address(), ports)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.settings.Logs, fmt.Sprintf("instance-%d.log", n)))
	if err != nil {
		return err
	}
	i := &instance{
		command: r.settings.Command, settingsPath: path, callerAddress: ports[2], readyAddress: ports[3],
		storeProxy: p, peerProxy: peers, log: log, ended: make(chan struct{}),
	}
	r.instances = append(r.instances, i)
	go i.supervise()

	return nil
}

// awaitReady waits until all instances are ready. It returns false if one is still not ready after the timeout.
func (r *soakRun) awaitReady(ctx context.Context, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for _, i := range r.instances {
		for !i.isReady(ctx) {
			if time.Now().After(until) || !sleep(ctx, 50*time.Millisecond) {
				return false
			}
		}
	}

	return true
}

// runSchedule sends requests and runs random events until the duration of the run is over. It then ends all faults and checks that
// the instances recover.
func (r *soakRun) runSchedule(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for n, i := range r.instances {
		for k := range callersPerInstance {
			go newCaller(fmt.Sprintf("c%d-%d-%d", r.settings.Seed, n, k), i, r.checker, r.env.journal).run(ctx)
		}
	}
	crashing, stopCrashing := context.WithCancel(ctx)
	defer stopCrashing()
	go r.sendCrashing(crashing)
	end, lastHeartbeat := time.Now().Add(r.settings.Duration), time.Now()
	for time.Now().Before(end) && ctx.Err() == nil {
		r.runRandomEvent()
		next := time.Now().Add(time.Duration(200+r.random.IntN(900)) * time.Millisecond)
		for time.Now().Before(next) && ctx.Err() == nil {
			if time.Since(lastHeartbeat) > heartbeatInterval {
				lastHeartbeat = time.Now()
				r.writeHeartbeats()
			}
			r.completeDrains()
			time.Sleep(20 * time.Millisecond)
		}
	}
	stopCrashing()
	r.clearFaults()
	if !r.awaitReady(ctx, recoveryTimeout) && ctx.Err() == nil {
		r.checker.report("not all instances were ready %v after the faults", recoveryTimeout)
	}
	if !sleep(ctx, time.Second) {
		return
	}
	r.checkRecovered(ctx)
	r.checkCrashing(ctx)
}

// writeHeartbeats writes the entries of all targets again, as the heartbeats of the targets do.
func (r *soakRun) writeHeartbeats() {
	for _, b := range r.env.targets {
		if !b.removed {
			r.env.registerTarget(b)
		}
	}
}

// clearFaults ends all faults of the store, the instances, the targets and the links between them.
func (r *soakRun) clearFaults() {
	r.logf("heal")
	r.env.platform.SetFaults()
	for _, i := range r.instances {
		i.storeProxy.setMode(Pass)
		i.peerProxy.setMode(Pass)
		i.signal(syscall.SIGCONT)
	}
	for _, b := range r.env.targets {
		b.replica.SetFault(replica.None)
		b.proxy.setMode(Pass)
	}
	r.healTargets()
	r.writeHeartbeats()
}

// checkRecovered sends requests to each instance until one is routed by the newest configuration, and reports a violation if that
// does not happen within recoveryTimeout.
func (r *soakRun) checkRecovered(ctx context.Context) {
	for n, i := range r.instances {
		c := newCaller(fmt.Sprintf("r%d-%d", r.settings.Seed, n), i, r.checker, r.env.journal)
		until := time.Now().Add(recoveryTimeout)
		for {
			c.sent++
			c.send(ctx, "version")
			if c.version == r.env.configuration%versions && c.incarnation > 0 {
				break
			}
			if time.Now().After(until) {
				r.checker.report("instance-%d still routes to version-%d after the faults, want version-%d",
					n, c.version, r.env.configuration%versions)

				break
			}
			if !sleep(ctx, 100*time.Millisecond) {
				return
			}
		}
	}
}

// sleep waits for d. It returns false as soon as ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
