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
	// never is the real time after which something counts as not happening at all.
	never = 20 * time.Second
)

// replica is a target's stand-in behind a gate that holds queries.
type replica struct {
	*backend.Target
	server  *httptest.Server
	address netip.AddrPort
	gate    atomic.Pointer[chan struct{}] // queries wait until it is closed
	held    atomic.Int64
	// hideDrain removes the drain mark from every report.
	hideDrain bool
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if gate := r.gate.Load(); q.URL.Path == target.QueryPath && gate != nil {
		r.held.Add(1)
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

// process is one real entry instance on its own fake clock.
type process struct {
	*entry.Entry
	name   string
	zone   zone.Zone
	peer   netip.AddrPort
	clock  *clockwork.FakeClock
	frozen atomic.Bool // its clock stands still
	cut    atomic.Bool // from all peers
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// cluster is three entry instances and four targets in two zones, with one service of two shards.
type cluster struct {
	platform *standin.Platform
	stores   map[zone.Zone]*adapter.Store // the clients of the instances in each zone
	clock    *clockwork.FakeClock         // of the platform and the targets
	targets  []*replica
	entries  []*process
	http     *http.Client
	pacer    *httptest.Server
	sent     atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn][2]netip.AddrPort
	split atomic.Bool // the zones are cut off from each other
}

func newCluster(timeout time.Duration, prepare func(*cluster)) *cluster {
	c := &cluster{
		clock: clockwork.NewFakeClock(),
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		conns: map[net.Conn][2]netip.AddrPort{},
	}
	timers := timer.New(timer.WithClock(c.clock))
	c.platform = standin.New(standin.WithTimers(timers), standin.WithListLag(time.Second))
	c.pacer = httptest.NewServer(http.NotFoundHandler())
	cleanup(c.pacer.Close)
	c.stores = make(map[zone.Zone]*adapter.Store)
	for _, z := range zones[:2] {
		server := httptest.NewServer(c.platform.HandlerIn(z))
		cleanup(func() {
			c.platform.SetFaults(standin.Fault{Down: true})
			// A slow call whose body is not read yet does not notice that its connection is closed, only that its time is over.
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
		r := &replica{Target: backend.New(timers, backend.WithSlots(64), backend.WithQueue(64),
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
	if prepare != nil {
		prepare(c)
	}
	cleanup(func() {
		for _, r := range c.targets {
			r.open()
		}
		for _, e := range c.entries {
			e.frozen.Store(false)
			e.stop()
		}
		for _, e := range c.entries {
			Expect(c.pass(10*time.Minute, e.ended)).To(BeTrue(), "%s ends", e.name)
		}
	})
	for i, z := range []zone.Zone{"Kochi", "Kochi", "Thrissur"} {
		c.start(fmt.Sprintf("e%d", i), z, timeout)
	}
	Expect(c.pass(time.Minute, func() bool {
		for _, e := range c.entries {
			if e.Ready() != nil || len(e.Status().Members) < 3 {
				return false
			}
		}

		return true
	})).To(BeTrue(), "the cluster starts")

	return c
}

func (r *replica) kill() {
	r.open()
	r.server.CloseClientConnections()
	go r.server.Close()
}

func (r *replica) close() {
	gate := make(chan struct{})
	r.gate.Store(&gate)
}

func (r *replica) open() {
	if gate := r.gate.Swap(nil); gate != nil {
		close(*gate)
	}
}

func (c *cluster) apply(id string, base json.RawMessage) {
	// Operators are in no zone.
	address, stop, err := c.platform.Start()
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(stop()).To(Succeed()) }()
	store := adapter.NewStore(address)
	defer store.Close()
	client := platform.NewClient(store.KeyStore(), store.Targets(), timer.New())
	_, err = configuration.NewApplier(timer.New(), configuration.WithApplierStore(client)).Apply(context.Background(),
		configuration.Change{ApplyID: id, Operator: id, Base: base})
	var race *configuration.RaceError
	// An operator who meets a fault of the store is told so, and the fault is what the cell is about.
	away := len(c.platform.Faults()) > 0 && errors.Is(err, platform.ErrUnavailable)
	Expect(err == nil || away || errors.As(err, &race)).To(BeTrue(), "%v", err)
}

func (c *cluster) start(name string, z zone.Zone, timeout time.Duration) *process {
	p := &process{name: name, zone: z, clock: clockwork.NewFakeClockAt(c.clock.Now()), done: make(chan struct{})}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	settings := entry.Settings{
		Name: name, AvailabilityZone: z, Caller: local, Peer: local, Operator: local,
		Store: c.stores[z].KeyStore(), Targets: c.stores[z].Targets(), Limit: entry.LimitOwner,
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

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// dial connects two instances unless they are cut off from each other.
func (c *cluster) dial(ctx context.Context, from *process, to netip.AddrPort) (net.Conn, error) {
	if c.apart(from.peer, to) {
		return nil, errLost
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err == nil {
		c.mu.Lock()
		c.conns[conn] = [2]netip.AddrPort{from.peer, to}
		c.mu.Unlock()
	}

	return conn, err
}

func (c *cluster) apart(a, b netip.AddrPort) bool {
	c.mu.Lock()
	entries := slices.Clone(c.entries)
	c.mu.Unlock()
	var zones []zone.Zone
	for _, e := range entries {
		if e.peer == a || e.peer == b {
			if e.cut.Load() {
				return true
			}
			zones = append(zones, e.zone)
		}
	}

	return c.split.Load() && len(zones) == 2 && zones[0] != zones[1]
}

// sever closes the connections between instances that are cut off from each other now.
func (c *cluster) sever() {
	c.mu.Lock()
	conns := maps.Clone(c.conns)
	c.mu.Unlock()
	for conn, ends := range conns {
		if c.apart(ends[0], ends[1]) {
			_ = conn.Close()
		}
	}
}

func (c *cluster) step() {
	c.clock.Advance(tick)
	for _, e := range c.entries {
		if !e.frozen.Load() {
			e.clock.Advance(tick)
		}
	}
	// A call of the kind that instances make paces the clocks: on a busy machine it takes longer, and so does a step.
	// Otherwise virtual timeouts would end calls that have had no time to run.
	response, err := c.get(c.pacer.URL)
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

// pass lets virtual time pass until done, at most for d.
func (c *cluster) pass(d time.Duration, done func() bool) bool {
	for ; d > 0; d -= tick {
		if done() {
			return true
		}
		c.step()
	}

	return done()
}

// reply is what a caller saw of one request.
type reply struct {
	id     string
	status int
	err    error
	body   struct {
		RequestID, Outcome, Code string
		Coverage                 struct{ Whole bool }
	}
}

// send sends a request to an instance in the background.
func (c *cluster) send(to *process, service string) <-chan reply {
	id := fmt.Sprintf("r%d", c.sent.Add(1))
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
