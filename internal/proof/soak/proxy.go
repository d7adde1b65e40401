package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/loopback"
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
	listenAddress string

	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	ended       bool         // the process behind the proxy has ended
	cut         bool         // new connections are refused, because there is no path to the proxy
	target      string
	mode        Mode
	modeChanged chan struct{}
	connections map[net.Conn]struct{}
}

func newProxy(target string) (p *proxy, err error) {
	// No other process can take the port while the proxy does not listen.
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p = &proxy{
		listenAddress: listener.Addr().String(), listener: listener, target: target, mode: Pass, modeChanged: make(chan struct{}),
		connections: make(map[net.Conn]struct{}),
	}
	go p.accept(listener)

	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// listen accepts connections again after close was called.
func (p *proxy) listen() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = false

	return p.listenIfPossible()
}

// setCut refuses new connections, or accepts them again. Open ones are not affected.
func (p *proxy) setCut(cut bool) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut && p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}

	return p.listenIfPossible()
}

// listenIfPossible accepts connections if nothing speaks against it. p.mu must be held.
func (p *proxy) listenIfPossible() (err error) {
	if p.listener != nil || p.ended || p.cut {
		return nil
	}
	if p.listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", p.listenAddress); err != nil {
		return err
	}
	go p.accept(p.listener)

	return nil
}

// close closes all connections and refuses further ones, as when the process behind the proxy has ended.
func (p *proxy) close() {
	p.mu.Lock()
	p.ended = true
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.setMode(Reset)
}

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

func (p *proxy) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
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
