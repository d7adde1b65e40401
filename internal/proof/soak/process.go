package soak

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the stop timeout in the settings of the instances, after which a planned stop aborts the requests in flight.
const stopTimeout = 4 * time.Second

// instance is a process of the product. It is restarted whenever it exits, until stop is called.
type instance struct {
	command       []string
	settingsPath  string
	callerAddress netip.AddrPort
	readyAddress  netip.AddrPort
	storeProxy    *proxy
	// peerProxy carries the connections of peers to the instance.
	peerProxy *proxy
	log       io.Writer
	// ended is closed when supervise has returned, and the process has ended.
	ended chan struct{}

	mu          sync.Mutex
	process     *os.Process
	incarnation int // number of starts
	stopped     bool
	paused      bool
	// lastDisturbance is when a fault last hit the instance: it was killed, paused, resumed, or its link to the store failed.
	lastDisturbance time.Time
}

// loopbackAddress returns a loopback address that differs between the instances of this run and from those of concurrent runs.
func loopbackAddress(instance int) netip.Addr {
	pid := os.Getpid()

	return netip.AddrFrom4([4]byte{127, byte(1 + pid/250%250), byte(1 + pid%250), byte(1 + instance)})
}

// supervise starts the process, and restarts it whenever it exits, until stop is called.
func (i *instance) supervise() {
	defer close(i.ended)
	for {
		command := exec.CommandContext(context.Background(), i.command[0], append(slices.Clone(i.command[1:]), i.settingsPath)...)
		command.Stdout, command.Stderr = i.log, i.log
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()

			return
		}
		err := command.Start()
		if err == nil {
			i.process = command.Process
			i.incarnation++
		}
		i.mu.Unlock()
		if err == nil {
			// The process usually ends by a signal of this run, which Wait returns as an error.
			_ = command.Wait()
		}
		i.mu.Lock()
		i.process = nil
		i.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// signal sends a signal to the process if it is running.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		i.paused, i.lastDisturbance = true, time.Now()
	case syscall.SIGCONT:
		i.paused, i.lastDisturbance = false, time.Now()
	case syscall.SIGKILL:
		i.paused, i.lastDisturbance = false, time.Now()
	}
	// An error means that the process has just exited, and supervise restarts it.
	_ = i.process.Signal(s)
}

// terminate stops the process as the platform does: by SIGTERM, and by SIGKILL if it is still running 1 s after stopTimeout.
func (i *instance) terminate() {
	i.mu.Lock()
	incarnation := i.incarnation
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	time.AfterFunc(stopTimeout+time.Second, func() {
		i.mu.Lock()
		sameIncarnation := i.incarnation == incarnation
		i.mu.Unlock()
		if sameIncarnation {
			i.signal(syscall.SIGKILL)
		}
	})
}

// noteDisturbance records that a fault affects the instance now.
func (i *instance) noteDisturbance() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastDisturbance = time.Now()
}

// state returns the number of starts, when a fault last hit the instance, and whether the process is paused.
func (i *instance) state() (incarnation int, lastDisturbance time.Time, paused bool) {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.incarnation, i.lastDisturbance, i.paused
}

// stop kills the process and ends its supervision.
func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	if i.process != nil {
		_ = i.process.Signal(syscall.SIGCONT)
		_ = i.process.Kill()
	}
}

func (i *instance) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readyAddress.String()+"/", nil)
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
