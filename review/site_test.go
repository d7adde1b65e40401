// Package review plays one case of the review on a small deployment. The instances run as processes of their own, with the command of
// the deploy file; the store, the replicas, the clients and the operator are stand-ins in this program, on loopback addresses. It is
// built by go test -c, which keeps the names of the users' pages out of the product.
package review

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 110 * time.Second

// The machines of the site chatti-search.
const (
	memoryMB   = 284
	heartbeat  = 1200 * time.Millisecond
	drainBound = 3 * time.Second
	recovery   = 12 * time.Second
)

var zones = []string{"kochi-a", "thrissur-a", "kozhikode-a"}

// cases are the cases by name. Each plays its traffic and returns what broke the rule, one line for each time.
var cases = make(map[string]func(s *site) (broken []string, err error))

// TestMain is the main function: site CASE RECORD plays a case and writes what was sent, answered and run to the file RECORD.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: site CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) (status int) {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	s := &site{record: rec, trouble: os.Getenv("TROUBLE") != "0", stopping: make(chan struct{})}
	defer s.stop()
	watchdog := time.AfterFunc(maxRunTime, func() {
		rec.line("verdict: not run, the case took longer than %v", maxRunTime)
		s.stop()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	rec.line("case %s, trouble %v", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil:
		rec.line("verdict: not run, %v", err)
		fmt.Println("not run:", err)

		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.line("broken: %s", b)
		}
		rec.line("verdict: broken, %d times", len(broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])

		return exitBroken
	default:
		rec.line("verdict: held")
		fmt.Println("held")

		return exitHeld
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)

	return &record{file: file, started: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// site is a small deployment.
type site struct {
	record       *record
	trouble      bool
	root         string
	dir          string
	network      string // the first three bytes of all addresses
	ports        []int
	store        *store
	storeAddress string
	instances    []*instance
	replicas     []*replica
	sent         sync.Map // when each request was sent, by its ID

	mu        sync.Mutex
	processes []*exec.Cmd
	stopped   bool
	stopping  chan struct{}
}

// instance is a machine with one process of the system.
type instance struct {
	name     string
	zone     string
	ip       string
	settings string
	front    string
	ready    string
	client   *http.Client
	process  *exec.Cmd
}

// start starts the store and n instances, which are in the zones in turn.
func (s *site) start(n int) (err error) {
	if s.root, err = filepath.Abs(os.Getenv("REPOSITORY")); err != nil {
		return err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if err := s.chooseAddresses(n); err != nil {
		return err
	}
	s.storeAddress = fmt.Sprintf("%s.1:%d", s.network, s.ports[0])
	if s.store, err = startStore(s.storeAddress); err != nil {
		return err
	}
	for k := range n {
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zones[k%len(zones)], k/len(zones)+1), zone: zones[k%len(zones)],
			ip:     fmt.Sprintf("%s.%d", s.network, 10+k),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		}
		i.front, i.ready = fmt.Sprintf("%s:%d", i.ip, s.ports[1]), fmt.Sprintf("%s:%d", i.ip, s.ports[2])
		i.settings = filepath.Join(s.dir, i.name+".toml")
		s.instances = append(s.instances, i)
		if err := s.startInstance(i, true); err != nil {
			return err
		}
	}

	return nil
}

// startInstance starts the process of an instance, as the deploy file says. With first, the whole system starts for the first time.
func (s *site) startInstance(i *instance, first bool) (err error) {
	if err := os.WriteFile(i.settings, []byte(s.settingsOf(i, first)), 0o600); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errors.New("the case has ended")
	}
	output, err := os.OpenFile(filepath.Join(s.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command("target/hickorynotch", "gateway", "-metrics-port", "9464")
	process.Dir, process.Stdout, process.Stderr = s.root, output, output
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "HICKORYNOTCH_SETTINGS=" + i.settings,
	}
	if err := process.Start(); err != nil {
		return err
	}
	i.process = process
	s.processes = append(s.processes, process)
	go func() { _ = process.Wait() }()
	s.record.line("%s starts", i.name)

	return nil
}

// kill kills the process of an instance.
func (s *site) kill(i *instance) {
	s.record.line("%s is killed", i.name)
	_ = i.process.Process.Signal(syscall.SIGKILL)
}

// chooseAddresses chooses a network of loopback addresses and ports that are free in it.
func (s *site) chooseAddresses(instances int) error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		first := 20000 + rand.IntN(10000)
		s.ports = []int{first, first + 1, first + 2, first + 3, first + 18, 9464}
		if s.areFree(instances) {
			return nil
		}
	}

	return errors.New("no free addresses")
}

func (s *site) areFree(instances int) bool {
	ips := []string{s.network + ".1"}
	for k := range instances {
		ips = append(ips, fmt.Sprintf("%s.%d", s.network, 10+k))
	}
	for _, ip := range ips {
		for _, port := range s.ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}

	return true
}

// settingsOf returns the settings file of an instance, with the bounds of the site chatti-search.
func (s *site) settingsOf(i *instance, first bool) string {
	return fmt.Sprintf(`nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = []
bootstrap = %v
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = %d
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
kochi-a = "kochi"
thrissur-a = "thrissur"
kozhikode-a = "kozhikode"
[bindAddrs]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedStalenessS = 3
addrReuseS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = %d
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoveryS = %d
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = %d
minTtlMs = %d
`, i.name, i.ip, i.zone, strings.Split(i.zone, "-")[0], s.ports[3], s.ports[4], first, heartbeat.Milliseconds(), i.front, i.ready,
		memoryMB, drainBound.Milliseconds(), int(recovery.Seconds()), s.storeAddress, maxValueBytes, minLease.Milliseconds())
}

// stop ends all processes that the case has started. With KEEP=1, the temporary folder with their logs stays.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.stopping)
	for _, p := range s.processes {
		_ = p.Process.Kill()
	}
	for _, r := range s.replicas {
		r.end()
	}
	switch {
	case s.dir == "":
	case os.Getenv("KEEP") != "":
		fmt.Println("logs:", s.dir)
	default:
		_ = os.RemoveAll(s.dir)
	}
}

// configure writes a configuration with the given routes and the services of all replicas.
func (s *site) configure(version int, routes ...map[string]any) error {
	services := []any{}
	known := make(map[string]bool)
	for _, r := range s.replicas {
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "healthPath": "/health", "maxConnections": r.maxConnections, "protocol": "h1", "tls": false,
			})
		}
	}
	s.record.line("the operator writes version %d", version)

	return s.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// startLotDesk starts three instances and the service lot-desk, with the given kind of requests and a time limit of timeoutMs.
func (s *site) startLotDesk(kind string, timeoutMs int, prepare func(k int, r *replica)) error {
	if err := s.start(3); err != nil {
		return err
	}
	for k := range 7 {
		r := &replica{
			service: "lot-desk", zone: zones[k%len(zones)], slots: 4, queue: 8, maxConnections: 110, work: 20 * time.Millisecond,
			records: 20,
		}
		prepare(k, r)
		if err := s.addReplica(r); err != nil {
			return err
		}
	}
	if err := s.configure(1, lotRoute(kind, timeoutMs)); err != nil {
		return err
	}

	return s.awaitReady()
}

func lotRoute(kind string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": "r-s4qmv29", "hostname": host, "prefix": "/lot/", "type": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 600,
		"priority": 2, "service": "lot-desk", "maxAttempts": 2,
	}
}

// awaitReady waits until all instances are ready, and four seconds more for them to find each other.
func (s *site) awaitReady() error {
	for _, i := range s.instances {
		ready := false
		for k := 0; k < 200 && !ready; k++ {
			if response, err := http.Get("http://" + i.ready + "/-/ready"); err == nil {
				_ = response.Body.Close()
				ready = response.StatusCode == http.StatusOK
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ready {
			return fmt.Errorf("%s did not become ready", i.name)
		}
	}
	time.Sleep(4 * time.Second)
	s.record.line("all instances are ready")

	return nil
}
