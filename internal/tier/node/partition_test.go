package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/loopback"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// gate passes the connections of one instance on to a target until it is closed. It then resets them and refuses new ones.
type gate struct {
	address  netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	open     []net.Conn
}

func newGate(to netip.AddrPort) *gate {
	GinkgoHelper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	g := &gate{address: netip.MustParseAddrPort(listener.Addr().String()), listener: listener}
	DeferCleanup(g.close)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			target, err := new(net.Dialer).DialContext(context.Background(), "tcp", to.String())
			if err != nil {
				_ = from.Close()

				continue
			}
			g.mu.Lock()
			g.open = append(g.open, from, target)
			g.mu.Unlock()
			go relay(from, target)
			go relay(target, from)
		}
	}()

	return g
}

// relay copies bytes until one side ends, and then closes both.
func relay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// send sends a request and returns its status, 0 if the connection ended without an answer.
func (i *instance) send(method, path, id string) int {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+i.settings.Callers.String()+path, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	return response.StatusCode
}

var _ = Describe("An instance that is partitioned from all targets, beside one that is not", func() {
	It("serves its callers through the other one (RECOVER)", func() {
		shards := []string{"s1", "s2", "s3"}
		table, err := route.NewTable(1, []*route.Route{
			{
				Name: "page", Host: "shop.example", Prefix: "/page/", Idempotent: true, Timeout: 4 * time.Second, Objective: 2 * time.Second,
				MaxAttempts: 2, Gather: &route.Gather{Shards: shards, MaxRecords: 2, MinimumCoverage: 1},
			},
			{
				Name: "read", Host: "shop.example", Prefix: "/read/", Idempotent: true, Timeout: 4 * time.Second, Objective: 2 * time.Second,
				MaxAttempts: 2, Service: "records",
			},
			{
				Name: "write", Host: "shop.example", Prefix: "/write/", Timeout: 4 * time.Second, Objective: 2 * time.Second,
				MaxAttempts: 2, Service: "records",
			},
		}, nil, route.Limits{BodyBytes: 1 << 16})
		Expect(err).NotTo(HaveOccurred())
		var direct, gated []*directory.Target
		var gates []*gate
		records := newBackend("records", "r")
		for _, b := range []*backend{newBackend("s1", "a"), newBackend("s2", "b"), newBackend("s3", "c"), records} {
			g := newGate(b.target.Address)
			gates = append(gates, g)
			behind := *b.target
			behind.Address = g.address
			direct, gated = append(direct, b.target), append(gated, &behind)
		}
		free, err := loopback.FreeAddresses(8)
		Expect(err).NotTo(HaveOccurred())
		// Each instance has a store of its own, so that their targets have different addresses. The stores list both.
		stores := []*memory.Store{memory.New(timer.New()), memory.New(timer.New())}
		for k, name := range []string{"a", "b"} {
			value, err := json.Marshal(control.Instance{Name: name, Peer: free[4*k+3], AvailabilityZone: "Kochi", Processor: 1})
			Expect(err).NotTo(HaveOccurred())
			stores[1-k].Put(control.InstanceKey(name), value)
		}
		cutOff := startAs("a", free[:4], table, stores[0], gated)
		startAs("b", free[4:], table, stores[1], direct)
		for _, g := range gates {
			g.close()
		}

		sent := 0
		for _, kind := range []struct{ method, path string }{{"GET", "/page/"}, {"GET", "/read/"}, {"POST", "/write/"}} {
			served := 0
			// A peer that is slow because the machine is busy is passed over for a while, so not each request need be served.
			Eventually(func() int {
				sent++
				if cutOff.send(kind.method, fmt.Sprint(kind.path, sent), fmt.Sprint("q", sent)) == http.StatusOK {
					served++
				}

				return served
			}, "30s", "20ms").Should(BeNumerically(">=", 10), kind.path)
		}
	})
})
