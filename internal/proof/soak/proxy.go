package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with connections.
type Mode string

// The modes.
const (
	Pass Mode = "Pass"
	// Delay passes bytes on late, Silence holds them back, Reset closes open connections once and refuses none.
	Delay   Mode = "Delay"
	Silence Mode = "Silence"
	Reset   Mode = "Reset"
	// OneWay passes requests on and holds answers back.
	OneWay Mode = "OneWay"
)

// proxyDelay is the delay of each chunk in the mode Delay.
const proxyDelay = 40 * time.Millisecond

// proxy passes TCP connections on and harms them as told.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	mode    Mode
	changed chan struct{}
	open    map[net.Conn]struct{}
}

func newProxy(target string) (p *proxy, err error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{
		listener: listener, target: target, mode: Pass, changed: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
	go p.accept()

	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Reset closes the open connections and then passes.
func (p *proxy) set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == Reset {
		for c := range p.open {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		mode = Pass
	}
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// retarget leads new connections to another process, as an address that is used again does.
func (p *proxy) retarget(target string) {
	p.set(Reset)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(from)
	}
}

func (p *proxy) serve(from net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	to, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = from.Close()

		return
	}
	p.mu.Lock()
	p.open[from], p.open[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { p.copy(to, from, false) })
	copying.Go(func() { p.copy(from, to, true) })
	copying.Wait()
	p.mu.Lock()
	delete(p.open, from)
	delete(p.open, to)
	p.mu.Unlock()
}

// copy passes bytes on until one side ends, and then closes both.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.hold(answers)
			}

			return
		}
	}
}

// hold waits as long as the mode keeps bytes back.
func (p *proxy) hold(answers bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Silence, mode == OneWay && answers:
			<-changed
		case mode == Delay:
			time.Sleep(proxyDelay)

			return
		default:
			return
		}
	}
}
