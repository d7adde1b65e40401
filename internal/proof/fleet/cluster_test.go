package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/entry"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	backend "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	adapter "github.com/hickorynotch/hickorynotch/platform"
)

const (
	stopDelay   = time.Second
	stopTimeout = 50 * time.Second
	// realTimeout is the real time after which an awaited event counts as missing.
	realTimeout = 20 * time.Second
)

// gatedTarget is the stand-in for a target. While its gate is closed, it holds back the queries that it receives.
type gatedTarget struct {
	*backend.Target
	server      *httptest.Server
	address     netip.AddrPort
	gate        atomic.Pointer[chan struct{}] // nil while open; otherwise queries wait until openGate closes the channel
	heldQueries atomic.Int64
	// hideDrain makes every report say that the target is not draining.
	hideDrain bool
}

func (r *gatedTarget) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if gate := r.gate.Load(); q.URL.Path == target.QueryPath && gate != nil {
		r.heldQueries.Add(1)
		<-*gate
	}
	if !r.hideDrain || q.URL.Path == backend.JournalPath {
		r.Handler().ServeHTTP(w, q)

		return
	}
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, q)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorder.Code)
	w.Write(bytes.ReplaceAll(recorder.Body.Bytes(), []byte(`"Draining":true`), []byte(`"Draining":false`)))
}

// realInstance is an entry instance with real connections and its own fake clock.
type realInstance struct {
	*entry.Entry
	name     string
	zone     zone.Zone
	peer     netip.AddrPort
	clock    *clockwork.FakeClock
	frozen   atomic.Bool // the clock of the instance does not advance
	isolated atomic.Bool // cut off from all peers
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// cluster is three entry instances and four targets in two availability zones, with one service for pages and one for single
// records, both of two shards.
type cluster struct {
	platform     *standin.Platform
	stores       map[zone.Zone]*adapter.Store // the clients of the instances in each zone
	clock        *clockwork.FakeClock         // of the platform and the targets
	targets      []*gatedTarget
	entries      []*realInstance
	http         *http.Client
	pacingServer *httptest.Server
	requestsSent atomic.Int64

	mu            sync.Mutex
	connections   map[net.Conn][2]netip.AddrPort
	zonesIsolated atomic.Bool // the zones are cut off from each other
}

// newCluster starts a cluster and waits until all instances are ready and know each other. beforeStart, if set, is called after the
// configuration was applied and before the instances start.
func newCluster(timeout time.Duration, beforeStart func(*cluster)) *cluster {
	c := &cluster{
		clock:       clockwork.NewFakeClock(),
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		connections: map[net.Conn][2]netip.AddrPort{},
	}
	timers := timer.New(timer.WithClock(c.clock))
	c.platform = standin.New(standin.WithTimers(timers), standin.WithListLag(time.Second))
	c.pacingServer = httptest.NewServer(http.NotFoundHandler())
	cleanup(c.pacingServer.Close)
	c.stores = make(map[zone.Zone]*adapter.Store)
	for _, z := range zones[:2] {
		server := httptest.NewServer(c.platform.HandlerIn(z))
		cleanup(func() {
			c.platform.SetFaults(standin.Fault{Down: true})
			// A slow call whose body has not been read yet does not notice that its connection is closed. It ends only when its
			// virtual delay is over.
			c.clock.Advance(time.Hour)
			server.CloseClientConnections()
			server.Close()
		})
		c.stores[z] = adapter.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	service := contract.Service{
		Caller: "shop", Class: contract.FullPage, Deadline: duration.Duration(55 * time.Second), MinimumCoverage: 0.5, Worth: 1,
		ExtraLoad: 1, Idempotent: true, PageSize: 3, Slots: 32, Connections: 64, ConnectTime: duration.Duration(time.Millisecond),
	}
	for i := range 4 {
		r := &gatedTarget{Target: backend.New(timers, backend.WithSlots(64), backend.WithQueue(64),
			backend.WithHoldings(target.Holding{Version: 1, Shard: i % 2, Shards: 2}))}
		r.server = httptest.NewServer(r)
		cleanup(r.kill)
		r.address = netip.MustParseAddrPort(r.server.Listener.Addr().String())
		c.targets = append(c.targets, r)
		service.Replicas = append(service.Replicas, contract.Replica{Address: r.address, AvailabilityZone: zones[i/2]})
	}
	record := service
	record.Class, record.Idempotent, record.ExtraLoad, record.MinimumCoverage = contract.OneRecord, false, 0, 1
	base, err := json.Marshal(contract.Configuration{
		AvailabilityZones: zones[:2], Services: map[string]contract.Service{"page": service, "record": record},
	})
	Expect(err).NotTo(HaveOccurred())
	c.apply("first", base)
	if beforeStart != nil {
		beforeStart(c)
	}
	cleanup(func() {
		for _, r := range c.targets {
			r.openGate()
		}
		for _, e := range c.entries {
			e.frozen.Store(false)
			e.stop()
		}
		for _, e := range c.entries {
			Expect(c.advanceUntil(10*time.Minute, e.hasExited)).To(BeTrue(), "%s must exit", e.name)
		}
	})
	for i, z := range []zone.Zone{"Kochi", "Kochi", "Thrissur"} {
		c.start(fmt.Sprintf("e%d", i), z, timeout)
	}
	Expect(c.advanceUntil(time.Minute, func() bool {
		for _, e := range c.entries {
			if e.Ready() != nil || len(e.Status().Members) < 3 {
				return false
			}
		}

		return true
	})).To(BeTrue(), "all instances must become ready and know each other")

	return c
}

func (r *gatedTarget) kill() {
	r.openGate()
	r.server.CloseClientConnections()
	go r.server.Close()
}

func (r *gatedTarget) closeGate() {
	gate := make(chan struct{})
	r.gate.Store(&gate)
}

func (r *gatedTarget) openGate() {
	if gate := r.gate.Swap(nil); gate != nil {
		close(*gate)
	}
}

// apply applies a configuration as an operator. It accepts that another operator won the race, or that a fault makes the store
// unavailable.
func (c *cluster) apply(id string, base json.RawMessage) {
	// Operators use the platform from outside the availability zones, so faults of a zone do not affect them.
	address, stop, err := c.platform.Start()
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(stop()).To(Succeed()) }()
	store := adapter.NewStore(address)
	defer store.Close()
	client := platform.NewClient(store.KeyValueStore(), store.Targets(), timer.New())
	_, err = configuration.NewApplier(timer.New(), configuration.WithApplierStore(client)).Apply(context.Background(),
		configuration.Change{ApplyID: id, Operator: id, Base: base})
	var race *configuration.RaceError
	// A fault of the store may make the apply fail. The cell tests this fault, so the failure is no violation.
	unavailable := len(c.platform.Faults()) > 0 && errors.Is(err, platform.ErrUnavailable)
	Expect(err == nil || unavailable || errors.As(err, &race)).To(BeTrue(), "%v", err)
}

func (c *cluster) start(name string, z zone.Zone, timeout time.Duration) *realInstance {
	p := &realInstance{name: name, zone: z, clock: clockwork.NewFakeClockAt(c.clock.Now()), done: make(chan struct{})}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	settings := entry.Settings{
		Name: name, AvailabilityZone: z, Caller: local, Peer: local, Operator: local,
		Store: c.stores[z].KeyValueStore(), Targets: c.stores[z].Targets(), Limit: entry.LimitOwner,
		Running: 64, StopDelay: stopDelay, StopTimeout: timeout,
	}
	for _, other := range c.entries {
		settings.Seeds = append(settings.Seeds, other.peer)
	}
	var err error
	p.Entry, err = entry.New(settings, entry.WithTimers(timer.New(timer.WithClock(p.clock))), entry.WithSeed(seed()),
		entry.WithDialer(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return c.dial(ctx, p, to) }))
	Expect(err).NotTo(HaveOccurred())
	p.peer = p.Addresses().Peer
	c.mu.Lock()
	c.entries = append(c.entries, p)
	c.mu.Unlock()
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	go func() {
		defer close(p.done)
		p.err = p.Run(ctx)
	}()

	return p
}

func (p *realInstance) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// dial connects two instances unless they are isolated from each other.
func (c *cluster) dial(ctx context.Context, from *realInstance, to netip.AddrPort) (net.Conn, error) {
	if c.isolated(from.peer, to) {
		return nil, errNoReply
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err == nil {
		c.mu.Lock()
		c.connections[conn] = [2]netip.AddrPort{from.peer, to}
		c.mu.Unlock()
	}

	return conn, err
}

// isolated reports whether the instances with these peer addresses are isolated from each other.
func (c *cluster) isolated(a, b netip.AddrPort) bool {
	c.mu.Lock()
	entries := slices.Clone(c.entries)
	c.mu.Unlock()
	var zones []zone.Zone
	for _, e := range entries {
		if e.peer == a || e.peer == b {
			if e.isolated.Load() {
				return true
			}
			zones = append(zones, e.zone)
		}
	}

	return c.zonesIsolated.Load() && len(zones) == 2 && zones[0] != zones[1]
}

// closeIsolatedConnections closes the connections between instances that are isolated from each other.
func (c *cluster) closeIsolatedConnections() {
	c.mu.Lock()
	conns := maps.Clone(c.connections)
	c.mu.Unlock()
	for conn, ends := range conns {
		if c.isolated(ends[0], ends[1]) {
			_ = conn.Close()
		}
	}
}

// advance advances the clocks by one tick, except those of frozen instances.
func (c *cluster) advance() {
	c.clock.Advance(tick)
	for _, e := range c.entries {
		if !e.frozen.Load() {
			e.clock.Advance(tick)
		}
	}
	// An HTTP call like those of the instances paces the clocks. On a busy machine it takes longer, and so does each tick. Without
	// it, virtual timeouts would cancel calls that have not had enough real time to run.
	response, err := c.get(c.pacingServer.URL)
	Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	time.Sleep(500 * time.Microsecond)
}

func (c *cluster) get(url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}

	return c.http.Do(request)
}

// advanceUntil lets virtual time pass until done returns true, for at most limit, and returns the last result of done.
func (c *cluster) advanceUntil(limit time.Duration, done func() bool) bool {
	for ; limit > 0; limit -= tick {
		if done() {
			return true
		}
		c.advance()
	}

	return done()
}

// reply is the outcome of one request as its caller saw it.
type reply struct {
	id     string
	status int
	err    error
	body   struct {
		RequestID, Outcome, Code string
		Coverage                 struct{ Whole bool }
	}
}

// send sends a request to an instance in the background and returns a channel for the reply.
func (c *cluster) send(to *realInstance, service string) <-chan reply {
	id := fmt.Sprintf("r%d", c.requestsSent.Add(1))
	replies := make(chan reply, 1)
	go func() {
		r := reply{id: id}
		defer func() { replies <- r }()
		body := fmt.Sprintf(`{"RequestID":%q,"Service":%q,"Text":"jar"}`, id, service)
		if service == "record" {
			body = fmt.Sprintf(`{"RequestID":%q,"Service":"record","Key":%q}`, id, backend.Key(1))
		}
		var request *http.Request
		request, r.err = http.NewRequestWithContext(context.Background(), http.MethodPost,
			"http://"+to.Addresses().Caller.String()+"/query", bytes.NewBufferString(body))
		if r.err != nil {
			return
		}
		var response *http.Response
		if response, r.err = c.http.Do(request); r.err != nil {
			return
		}
		defer response.Body.Close()
		r.status = response.StatusCode
		r.err = json.NewDecoder(response.Body).Decode(&r.body)
	}()

	return replies
}
