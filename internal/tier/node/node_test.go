package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/loopback"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/node"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
	"github.com/hickorynotch/hickorynotch/platform"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// backend is a target that answers each request with one record and counts the requests that it ran.
type backend struct {
	server *httptest.Server
	target *directory.Target
	ran    atomic.Int64
	// release blocks requests until it is closed.
	release chan struct{}
}

func newBackend(service, id string) *backend {
	b := &backend{release: make(chan struct{})}
	close(b.release)
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expected-Instance") != b.target.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}
		b.ran.Add(1)
		<-b.release
		requestID := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", requestID)
		w.Header().Set("X-Response-Stamp", b.target.ID+"."+requestID)
		_, _ = io.WriteString(w, fmt.Sprintf("%-16s", id))
	}))
	DeferCleanup(b.server.Close)
	b.target = &directory.Target{
		ID: id, Service: service, AvailabilityZone: "Kochi", Slots: 2,
		Address: netip.MustParseAddrPort(strings.TrimPrefix(b.server.URL, "http://")),
	}

	return b
}

// instance is a running node.
type instance struct {
	settings node.Settings
	stop     context.CancelFunc
	ended    chan error
}

// start runs a node with the given configuration and targets, and waits until it is ready.
func start(table *route.Table, backends ...*backend) *instance {
	free, err := loopback.FreeAddresses(4)
	Expect(err).NotTo(HaveOccurred())
	targets := make([]*directory.Target, 0, len(backends))
	for _, b := range backends {
		targets = append(targets, b.target)
	}

	return startAs("a", free, table, memory.New(timer.New()), targets)
}

// startAs runs a node with a name, four free addresses and a store, as start does.
func startAs(name string, free []netip.AddrPort, table *route.Table, store *memory.Store, targets []*directory.Target) *instance {
	GinkgoHelper()
	i := &instance{ended: make(chan error, 1), settings: node.Settings{
		Name: name, AvailabilityZone: "Kochi", Region: "Kerala", Regions: map[string]string{"Kochi": "Kerala"},
		Callers: free[0], Readiness: free[1], Operator: free[2], Peer: free[3],
		Memory: 256 << 20, StopTimeout: 2 * time.Second,
		RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second,
	}}
	n, err := node.New(i.settings, node.Adapters{
		Targets: platform.TargetCodec(),
		Callers: platform.CallerCodec(),
		Configurations: control.ConfigurationSource{
			Read: func(context.Context) (control.ConfigurationResult, error) {
				return control.ConfigurationResult{Table: table, Revision: 1}, nil
			},
			Wait: func(ctx context.Context, after uint64, _ time.Duration) (control.ConfigurationResult, error) {
				<-ctx.Done()

				return control.ConfigurationResult{Revision: after}, ctx.Err()
			},
		},
		TargetSource: control.TargetSource{List: func(context.Context) (control.Listed, error) {
			return control.Listed{Targets: targets}, nil
		}},
		KeyValueStore: store.KeyValueStore(),
	}, timer.New())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() { i.ended <- n.Run(ctx) }()
	DeferCleanup(cancel)
	Eventually(func() int { return i.ready() }, "5s", "10ms").Should(Equal(http.StatusOK))

	return i
}

// ready returns the status of a readiness probe, 0 if the probe fails.
func (i *instance) ready() int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+i.settings.Readiness.String()+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	return response.StatusCode
}

// get sends a request to the callers' address and returns the response with its body.
func (i *instance) get(path, id string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+i.settings.Callers.String()+path, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)

	return response, string(body), err
}

func gatherTable(shards ...string) *route.Table {
	table, err := route.NewTable(1, []*route.Route{{
		Name: "page", Host: "shop.example", Prefix: "/page/", Idempotent: true, Timeout: 4 * time.Second,
		Objective: 300 * time.Millisecond, MaxAttempts: 2,
		Gather: &route.Gather{Shards: shards, MaxRecords: 2, MinimumCoverage: 0.5},
	}}, nil, route.Limits{BodyBytes: 1 << 16})
	Expect(err).NotTo(HaveOccurred())

	return table
}

var _ = Describe("Node", func() {
	It("merges the parts of all shards and reports none missing when every shard has a healthy target", func() {
		i := start(gatherTable("s1", "s2", "s3"), newBackend("s1", "a"), newBackend("s2", "c"), newBackend("s3", "b"))
		response, body, err := i.get("/page/1", "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(fmt.Sprintf("%-16s%-16s", "c", "b")))
		Expect(response.Header.Get("X-Part-Stamps")).To(Equal("a.r1, c.r1, b.r1"))
		Expect(response.Header.Get("X-Missing-Parts")).To(Equal("0"))
	})

	It("finishes a request that is in flight when the shutdown begins, so that a planned stop fails no request", func() {
		b := newBackend("s1", "a")
		b.release = make(chan struct{})
		i := start(gatherTable("s1"), b)
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, _, err := i.get("/page/1", "r1")
			Expect(err).NotTo(HaveOccurred())
			answered <- response.StatusCode
		}()
		Eventually(b.ran.Load, "2s").Should(BeEquivalentTo(1))
		i.stop()
		// The listener is closed once the shutdown has begun.
		Eventually(func() error {
			c, err := new(net.Dialer).DialContext(context.Background(), "tcp", i.settings.Callers.String())
			if err == nil {
				_ = c.Close()
			}

			return err
		}, "4s", "5ms").Should(HaveOccurred())
		close(b.release)
		Eventually(answered, "2s").Should(Receive(Equal(http.StatusOK)))
		Eventually(i.ended, "2s").Should(Receive(BeNil()))
	})

	It("answers 504 to a request that no target has answered by the end of the stop, instead of closing its connection", func() {
		b := newBackend("s1", "a")
		b.release = make(chan struct{})
		DeferCleanup(func() { close(b.release) })
		i := start(gatherTable("s1"), b)
		i.stop()
		// The request comes late in the stop, on a new connection, and its deadline is after the end of the process.
		time.Sleep(i.settings.StopTimeout / 2)
		response, _, err := i.get("/page/1", "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(b.ran.Load()).To(BeEquivalentTo(1))
		Eventually(i.ended, "2s").Should(Receive(BeNil()))
	})
})
