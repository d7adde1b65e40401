package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
)

const (
	// instances is the number of processes, callersEach the callers of each.
	instances   = 4
	callersEach = 2
	// startBound is the time within which all instances are ready, recoveryBound that within which all serve after the faults.
	startBound    = 20 * time.Second
	recoveryBound = 12 * time.Second
	// drainBound is the time after which a draining target gets no requests.
	drainBound = 3 * time.Second
	// drainSlack is granted beyond it, for requests that had been sent.
	drainSlack = 700 * time.Millisecond
	// heartbeat is the time between two reports of the targets.
	heartbeat = 1200 * time.Millisecond
)

// Settings of a run.
type Settings struct {
	// Command starts an instance; the path of its settings file is added.
	Command  []string
	Seed     uint64
	Duration time.Duration
	Output   io.Writer
	// Logs is the directory for the instances' logs.
	Logs string
}

// run is the state of one soak.
type run struct {
	settings  Settings
	random    *rand.Rand
	world     *world
	instances []*instance
	judge     *judge
	drained   map[*member]time.Time
	// unsettled is the time until which the store or an instance is or was harmed.
	unsettled time.Time
}

// Run runs one soak. The error names the promises that were broken.
func Run(ctx context.Context, settings Settings) (err error) {
	defer func() { err = Error.Wrap(err) }()

	r := &run{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), judge: &judge{}, drained: make(map[*member]time.Time),
	}
	if r.world, err = newWorld(); err != nil {
		return err
	}
	r.print("seed %d, %v", settings.Seed, settings.Duration)
	for i := range instances {
		if err := r.start(i); err != nil {
			return err
		}
	}
	defer func() {
		for _, i := range r.instances {
			i.stop()
		}
	}()
	if !r.await(ctx, startBound) {
		return fmt.Errorf("not all instances were ready after %v", startBound)
	}
	r.play(ctx)
	r.judge.settle(r.world.journal)
	r.judge.mu.Lock()
	defer r.judge.mu.Unlock()
	r.print("served %d, refused %d, failed %d, broken promises %d", r.judge.served, r.judge.refused, r.judge.failed, len(r.judge.broken))
	if len(r.judge.broken) > 0 {
		for _, b := range r.judge.broken {
			r.print("broken: %s", b)
		}

		return fmt.Errorf("seed %d: %s", settings.Seed, r.judge.broken[0])
	}

	return nil
}

func (r *run) print(format string, args ...any) {
	// The output is the terminal or a file of the developer.
	_, _ = fmt.Fprintf(r.settings.Output, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

func (r *run) start(n int) error {
	ports, err := freePorts(ownAddress(n), 4)
	if err != nil {
		return err
	}
	p, err := newProxy(r.world.address)
	if err != nil {
		return err
	}
	peer := ports[0]
	if ports[1].Port() < peer.Port() {
		peer = ports[1]
	}
	peers, err := r.world.addPeer(peer)
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
		command: r.settings.Command, settings: path, callers: ports[2], ready: ports[3], store: p, peers: peers, log: log,
	}
	r.instances = append(r.instances, i)
	go i.run()

	return nil
}

// await waits until all instances are ready.
func (r *run) await(ctx context.Context, bound time.Duration) bool {
	until := time.Now().Add(bound)
	for _, i := range r.instances {
		for !i.isReady(ctx) {
			if time.Now().After(until) || ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}

	return true
}

// play sends requests and harms the system until the time is over, and then checks the recovery.
func (r *run) play(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for n, i := range r.instances {
		for k := range callersEach {
			go newCaller(fmt.Sprintf("c%d-%d-%d", r.settings.Seed, n, k), i, r.judge, r.world.journal).run(ctx)
		}
	}
	end, beat := time.Now().Add(r.settings.Duration), time.Now()
	for time.Now().Before(end) && ctx.Err() == nil {
		r.step()
		next := time.Now().Add(time.Duration(200+r.random.IntN(900)) * time.Millisecond)
		for time.Now().Before(next) {
			if time.Since(beat) > heartbeat {
				beat = time.Now()
				r.beat()
			}
			r.checkDrained()
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.heal()
	if !r.await(ctx, recoveryBound) {
		r.judge.breaks("not all instances were ready %v after the faults", recoveryBound)
	}
	time.Sleep(time.Second)
	r.checkRecovered(ctx)
}

// beat writes the targets' heartbeats.
func (r *run) beat() {
	for _, m := range r.world.targets {
		if !m.gone {
			r.world.register(m)
		}
	}
}

// heal ends all faults.
func (r *run) heal() {
	r.print("heal")
	r.world.platform.SetFaults()
	for _, i := range r.instances {
		i.store.set(Pass)
		i.peers.set(Pass)
		i.signal(syscall.SIGCONT)
	}
	for _, m := range r.world.targets {
		m.replica.SetFault(replica.None)
		m.proxy.set(Pass)
	}
	r.beat()
}

// checkRecovered asks each instance for the newest configuration.
func (r *run) checkRecovered(ctx context.Context) {
	for n, i := range r.instances {
		c := newCaller(fmt.Sprintf("r%d-%d", r.settings.Seed, n), i, r.judge, r.world.journal)
		until := time.Now().Add(recoveryBound)
		for {
			c.sent++
			c.send(ctx, "version")
			if c.version == r.world.configuration%versions && c.boot > 0 {
				break
			}
			if time.Now().After(until) {
				r.judge.breaks("instance-%d serves version-%d, not version-%d, after the faults", n, c.version, r.world.configuration%versions)

				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
