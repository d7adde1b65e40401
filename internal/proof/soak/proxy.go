package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats the connections through it.
type Mode string

// The modes.
const (
	Pass Mode = "Pass"
	// Delay forwards bytes late, and Silence forwards none. Reset closes the open connections once and accepts new ones.
	Delay   Mode = "Delay"
	Silence Mode = "Silence"
	Reset   Mode = "Reset"
	// OneWay forwards requests and holds back responses.
	OneWay Mode = "OneWay"
)

// proxyDelay is the delay of each chunk of bytes in the mode Delay.
const proxyDelay = 40 * time.Millisecond

// proxy forwards TCP connections to a target address and injects network faults according to its mode.
type proxy struct {
	listener net.Listener

	mu          sync.Mutex
	target      string
	mode        Mode
	modeChanged chan struct{}
	connections map[net.Conn]struct{}
}

func newProxy(target string) (p *proxy, err error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{
		listener: listener, target: target, mode: Pass, modeChanged: make(chan struct{}), connections: make(map[net.Conn]struct{}),
	}
	go p.accept()

	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Reset closes the open connections with a TCP reset, and the mode is Pass afterwards.
func (p *proxy) setMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == Reset {
		for c := range p.connections {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		mode = Pass
	}
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// retarget resets the open connections and forwards new ones to another process, as when an address is reused.
func (p *proxy) retarget(target string) {
	p.setMode(Reset)
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
		go p.forward(from)
	}
}

func (p *proxy) forward(from net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	to, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = from.Close()

		return
	}
	p.mu.Lock()
	p.connections[from], p.connections[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { p.relay(to, from, false) })
	copying.Go(func() { p.relay(from, to, true) })
	copying.Wait()
	p.mu.Lock()
	delete(p.connections, from)
	delete(p.connections, to)
	p.mu.Unlock()
}

// relay forwards bytes in one direction until a side closes, and then closes both.
func (p *proxy) relay(to, from net.Conn, responses bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitWhileBlocked(responses)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				p.waitWhileBlocked(responses)
			}

			return
		}
	}
}

// waitWhileBlocked waits for as long as the mode holds bytes of this direction back.
func (p *proxy) waitWhileBlocked(responses bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch {
		case mode == Silence, mode == OneWay && responses:
			<-changed
		case mode == Delay:
			time.Sleep(proxyDelay)

			return
		default:
			return
		}
	}
}
