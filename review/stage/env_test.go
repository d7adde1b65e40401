package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// env is the stage of one case: the store, the replicas, the gateways and the record of what happened.
type env struct {
	folder   string
	temp     string
	trouble  bool
	start    time.Time
	store    *store
	gateways []*gateway
	// bounds replaces the usual bounds, and smallest is set for the smallest machines.
	bounds   string
	smallest bool
	// brief is set if the record counts the requests at replicas instead of listing them.
	brief bool
	cpu   string

	mu       sync.Mutex
	lines    []string
	arrivals []*arrival
	taken    map[string]*gateway // by the id of the request: which gateway it was sent to
	ids      atomic.Int64
}

type stop struct{ err error }

// must ends a case that cannot run.
func (e *env) must(err error) {
	if err != nil {
		panic(stop{err})
	}
}

func (e *env) log(at time.Time, format string, arguments ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, fmt.Sprintf("%9.3f %s", at.Sub(e.start).Seconds(), fmt.Sprintf(format, arguments...)))
}

func (e *env) note(format string, arguments ...any) { e.log(time.Now(), format, arguments...) }

func (e *env) arrive(a *arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(stop{err})
	}
	defer l.Close()

	return l.Addr().String()
}

// freePorts returns the first of n successive free ports.
func freePorts(ip string, n int) int {
	for p := 21000 + os.Getpid()%7000; p < 40000; p += n {
		ok := true
		for k := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+k))
			if err != nil {
				ok = false

				break
			}
			l.Close()
		}
		if ok {
			return p
		}
	}
	panic(stop{fmt.Errorf("no free ports at %s", ip)})
}

// gateway is a process of the system, started with the command of the deploy file.
type gateway struct {
	env      *env
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	settings string
	metrics  int
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	restarts sync.WaitGroup
}

const defaultBounds = `seedStalenessS = 3
addrReuseS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoveryS = 12
`

func (e *env) newGateway(index int, zone string, bootstrap bool) *gateway {
	ip := fmt.Sprintf("127.0.0.%d", 10+index)
	g := &gateway{env: e, name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: ip}
	g.front, g.ready = freeAddress(ip), freeAddress(ip)
	base := freePorts(ip, 17)
	g.metrics = base + 16
	g.settings = filepath.Join(e.temp, g.name+".toml")
	bounds := e.bounds
	if bounds == "" {
		bounds = defaultBounds
	}
	cpu, memory, files, link := "0.4", 284, 4100, 1000.0
	if e.smallest {
		// The smallest machines of trinacria-intake-grown.
		cpu, memory, files, link = "0.134", 136, 2870, 22.0
	}
	text := fmt.Sprintf(`nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r1"
internalPorts = [%d,%d]
bootstrap = %v
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
za = "r1"
zb = "r1"
zc = "r1"
[bindAddrs]
front = %q
ready = %q
[limits]
cpuShare = %s
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = %.1f
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
%s[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, g.name, ip, zone, base, base+15, bootstrap, g.front, g.ready, cpu, memory, files, link, bounds, e.store.address)
	e.must(os.WriteFile(g.settings, []byte(text), 0o600))
	e.gateways = append(e.gateways, g)

	return g
}

// run starts the process.
func (g *gateway) run() {
	root := os.Getenv("PROJECT")
	cmd := exec.Command(filepath.Join(root, "target", "hickorynotch"), "gateway", "-metrics-port", fmt.Sprint(g.metrics))
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYNOTCH_SETTINGS=" + g.settings}
	out, err := os.OpenFile(filepath.Join(g.env.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	g.env.must(err)
	cmd.Stdout, cmd.Stderr = out, out
	g.env.must(cmd.Start())
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}()
	g.env.note("%s: started", g.name)
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
	g.env.note("%s: killed", g.name)
}

// killAndRestart kills the process, which starts again after a short delay.
func (g *gateway) killAndRestart(delay time.Duration) {
	g.kill()
	g.restarts.Go(func() {
		time.Sleep(delay)
		g.run()
	})
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.ready + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()

	return r.StatusCode == 200
}

func (g *gateway) awaitReady() {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			g.env.note("%s: ready", g.name)

			return
		}
	}
	panic(stop{fmt.Errorf("%s is not ready", g.name)})
}

// reply is what a client has received.
type reply struct {
	id     string
	at     time.Time
	status int
	err    error
	header http.Header
	body   []byte
}

func (e *env) nextID(label string) string { return fmt.Sprintf("%s-%04d", label, e.ids.Add(1)) }

// send sends a request on a new connection and returns the answer.
func (g *gateway) send(method, host, path, id string, limit time.Duration, headers map[string]string, body string) reply {
	e := g.env
	e.note("client: %s %s%s to %s, id %s", method, host, path, g.name, id)
	out := reply{id: id}
	e.mu.Lock()
	e.taken[id] = g
	e.mu.Unlock()
	defer func() { out.at = time.Now() }()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		out.err = err
		e.note("client: %s: no connection to %s", id, g.name)

		return out
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, limit.Milliseconds())
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err = io.WriteString(conn, b.String()); err != nil {
		out.err = err

		return out
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		out.err = err
		e.note("client: %s: no answer: %v", id, err)

		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(response.Body)
	e.note("client: %s: answer %d %.40q", id, out.status, out.body)

	return out
}

func (e *env) clean() {
	for _, g := range e.gateways {
		g.restarts.Wait()
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
}

func (e *env) writeRecord() {
	e.mu.Lock()
	lines := append([]string(nil), e.lines...)
	counts := map[string]int{}
	for _, a := range e.arrivals {
		if e.brief {
			counts[fmt.Sprintf("%9.3f replicas: requests that arrived in the second, ran %v", float64(int(a.at.Sub(e.start).Seconds())), a.ran)]++

			continue
		}
		lines = append(lines, fmt.Sprintf("%9.3f replica: %s got %s from %s, ran %v, status %d", a.at.Sub(e.start).Seconds(), a.replica, a.request, a.from, a.ran, a.status))
	}
	for text, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", text, n))
	}
	e.mu.Unlock()
	sort.SliceStable(lines, func(a, b int) bool { return lines[a][:9] < lines[b][:9] })
	_ = os.WriteFile(filepath.Join(e.folder, "record.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// cases are the cases by their names. A case returns whether the rule was broken, and why.
var cases = map[string]func(e *env) (broken bool, why string){}

// TestMain runs one case: stage CASE FOLDER. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func TestMain(*testing.M) {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stage CASE FOLDER")
		os.Exit(2)
	}
	temp, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	e := &env{folder: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), taken: map[string]*gateway{}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(110 * time.Second):
		}
		e.note("the case was ended before its verdict")
		e.clean()
		e.writeRecord()
		_ = os.RemoveAll(temp)
		os.Exit(2)
	}()
	status := func() (status int) {
		defer func() {
			if r := recover(); r != nil {
				s, ok := r.(stop)
				if !ok {
					e.clean()
					panic(r)
				}
				e.note("the case could not run: %v", s.err)
				fmt.Println("could not run:", s.err)
				status = 2
			}
		}()
		e.store, err = newStore(freeAddress("127.0.0.1"))
		e.must(err)
		broken, why := cases[os.Args[1]](e)
		e.note("verdict: broken %v: %s", broken, why)
		fmt.Printf("broken %v: %s\n", broken, why)
		if broken {
			return 1
		}

		return 0
	}()
	e.clean()
	e.writeRecord()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	} else {
		fmt.Println(temp)
	}
	os.Exit(status)
}
