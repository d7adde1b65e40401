package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time after which a stop is made by force, as in the settings.
const stopTimeout = 4 * time.Second

// instance is a process of the product. It is started again whenever it ends.
type instance struct {
	command  []string
	settings string
	callers  netip.AddrPort
	ready    netip.AddrPort
	store    *proxy
	// peers is the way of its peers to it.
	peers *proxy
	log   io.Writer

	mu      sync.Mutex
	process *os.Process
	boot    int
	ended   bool
	paused  bool
	// unplanned is when the instance was last harmed: killed, paused, or cut from the store.
	unplanned time.Time
}

// firstPort and portRange are below the ports that the system gives to connections, so that no connection takes the port of an
// instance between two of its starts.
const (
	firstPort = 20000
	portRange = 12000
)

// ownAddress returns an address on loopback that no other instance uses, of this run or of another one at the same time.
func ownAddress(instance int) netip.Addr {
	pid := os.Getpid()

	return netip.AddrFrom4([4]byte{127, byte(1 + pid/250%250), byte(1 + pid%250), byte(1 + instance)})
}

// freePorts returns ports of an address that nothing listens on.
func freePorts(address netip.Addr, n int) (out []netip.AddrPort, err error) {
	for tries := 0; len(out) < n && tries < portRange; tries++ {
		port := netip.AddrPortFrom(address, uint16(firstPort+rand.IntN(portRange)))
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", port.String())
		if err != nil {
			continue
		}
		out = append(out, port)
		if err := l.Close(); err != nil {
			return nil, err
		}
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}

	return out, nil
}

// run keeps the process running until stop is called.
func (i *instance) run() {
	for {
		command := exec.CommandContext(context.Background(), i.command[0], append(slices.Clone(i.command[1:]), i.settings)...)
		command.Stdout, command.Stderr = i.log, i.log
		i.mu.Lock()
		if i.ended {
			i.mu.Unlock()

			return
		}
		err := command.Start()
		if err == nil {
			i.process = command.Process
			i.boot++
		}
		i.mu.Unlock()
		if err == nil {
			// The process ends by a signal as a rule.
			_ = command.Wait()
		}
		i.mu.Lock()
		i.process = nil
		i.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// signal sends a signal to the process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		i.paused, i.unplanned = true, time.Now()
	case syscall.SIGCONT:
		i.paused, i.unplanned = false, time.Now()
	case syscall.SIGKILL:
		i.paused, i.unplanned = false, time.Now()
	}
	// A process that has just ended is started again anyway.
	_ = i.process.Signal(s)
}

// terminate stops the process as the platform does.
func (i *instance) terminate() {
	i.mu.Lock()
	boot := i.boot
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	time.AfterFunc(stopTimeout+time.Second, func() {
		i.mu.Lock()
		same := i.boot == boot
		i.mu.Unlock()
		if same {
			i.signal(syscall.SIGKILL)
		}
	})
}

func (i *instance) harm() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unplanned = time.Now()
}

// state returns the boot and when the instance was last harmed.
func (i *instance) state() (boot int, harmed time.Time, paused bool) {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.boot, i.unplanned, i.paused
}

func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.process != nil {
		_ = i.process.Signal(syscall.SIGCONT)
		_ = i.process.Kill()
	}
}

func (i *instance) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready.String()+"/", nil)
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}
