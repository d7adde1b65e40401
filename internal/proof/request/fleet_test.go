package request_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/query/fanout"
	"github.com/hickorynotch/hickorynotch/internal/run/entry"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	platformstandin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	adapter "github.com/hickorynotch/hickorynotch/platform"
)

const (
	shards   = 2
	deadline = 150 * time.Millisecond
	// settle is how long the judge waits for work that a target may still begin after the caller was told.
	settle = 20 * time.Millisecond
)

var (
	zones = []zone.Zone{"Kochi", "Thrissur"}
	// layout gives the zone and shard of each target. Shard 1 has replicas in the second zone only, so an instance of the first
	// zone relays its part.
	layout = []struct{ zone, shard int }{{0, 0}, {1, 1}, {1, 0}, {1, 1}}
)

// fleets counts the fleets of this process.
var fleets atomic.Uint32

// ownAddress returns a loopback address that no other fleet has used lately. On a shared address, the closed connections of a
// few thousand fleets would occupy all ports until the kernel frees them after a minute.
func ownAddress() netip.AddrPort {
	n := uint32(os.Getpid())<<11 + fleets.Add(1)

	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + n>>16&63), byte(n >> 8), byte(n)}), 0)
}

// fleet is a running system: a platform, four targets, and one entry instance in each zone.
type fleet struct {
	timers    *timer.Service
	address   netip.AddrPort
	platform  *platformstandin.Platform
	targets   []*process
	instances []*process
	entries   []*entry.Entry
	engines   []*fanout.Engine
	links     links
	adjust    func(*fanout.Engine)
	deadline  time.Duration

	// onStep, if set, is called whenever a request reaches a step.
	onStep atomic.Pointer[func(step)]
}

// reached is called by the seams of the engines, the targets and the callers' connections.
func (f *fleet) reached(s step) {
	if hook := f.onStep.Load(); hook != nil {
		(*hook)(s)
	}
}

// watch makes the engine tell the steps of its requests.
func (f *fleet) watch(e *fanout.Engine) {
	service, admit, pin, choose, run := e.Service, e.Admit, e.Pin, e.Choose, e.Run
	e.Service = func(name string) (contract.Service, bool) {
		f.reached(accepted)

		return service(name)
	}
	e.Admit = func(ctx context.Context, name string, s contract.Service) (func(bool), error) {
		defer f.reached(admitted)

		return admit(ctx, name, s)
	}
	e.Pin = func(name string, s contract.Service, newerThan uint64) (snapshot.Pin, bool) {
		defer f.reached(pinned)

		return pin(name, s, newerThan)
	}
	e.Choose = func(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool) {
		defer f.reached(picked)

		return choose(replicas, tried)
	}
	e.Run = func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		reply, err := run(ctx, a)
		if err == nil {
			f.reached(merging)
		}

		return reply, err
	}
}

// process is a part of the fleet that can be killed.
type process struct {
	target *standin.Target
	cancel context.CancelFunc
	done   chan struct{}
}

func start(serve func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = serve(ctx)
	}()

	return p
}

func (p *process) stop() {
	p.cancel()
	<-p.done
}

// option changes a fleet before its start.
type option func(*fleet)

// withEngine changes the engine of each instance.
func withEngine(adjust func(*fanout.Engine)) option { return func(f *fleet) { f.adjust = adjust } }

// withDeadline sets the deadline of the services for tests that must not end by it.
func withDeadline(d time.Duration) option { return func(f *fleet) { f.deadline = d } }

// newFleet starts a fleet that is ready.
func newFleet(seed uint64, options ...option) (*fleet, error) {
	f := &fleet{timers: timer.New(), address: ownAddress(), platform: platformstandin.New(), deadline: deadline, adjust: func(*fanout.Engine) {}}
	for _, o := range options {
		o(f)
	}
	f.links.open = make(map[*link]struct{})
	l, address := f.listen()
	f.instances = append(f.instances, start(func(ctx context.Context) error { return f.platform.Serve(ctx, l) }))
	replicas := make([]contract.Replica, len(layout))
	for i, at := range layout {
		l, targetAddress := f.listen()
		replicas[i] = contract.Replica{Address: targetAddress, AvailabilityZone: zones[at.zone]}
		t := standin.New(f.timers, standin.WithSeed(seed+uint64(i)), standin.WithServiceTime(time.Millisecond, 0),
			standin.WithIncarnation(uint64(i)+1), standin.WithColdStart(0, 40), standin.WithHoldings(target.Holding{Version: 1, Shard: at.shard, Shards: shards}),
			standin.WithHook(func(s standin.Stage) {
				f.reached(stages[s])
			}))
		p := start(func(ctx context.Context) error { return t.Serve(ctx, l) })
		p.target = t
		f.targets = append(f.targets, p)
		if err := prime(targetAddress, at.shard); err != nil {
			return f, err
		}
	}
	if err := f.configure(address, replicas); err != nil {
		return f, err
	}
	store := adapter.NewStore(address)
	for i, z := range zones {
		settings := entry.Settings{
			Name: string(z), AvailabilityZone: z, Caller: f.address, Peer: f.address, Operator: f.address,
			Store: store.KeyStore(), Targets: store.Targets(), Limit: entry.LimitOwner, Running: 64, StopTimeout: time.Millisecond,
		}
		if i > 0 {
			settings.Seeds = []netip.AddrPort{f.entries[0].Addresses().Peer}
		}
		e, err := entry.New(settings, entry.WithSeed(seed+uint64(i)), entry.WithDialer(f.links.dial),
			entry.WithEngine(func(engine *fanout.Engine) {
				f.engines = append(f.engines, engine)
				f.adjust(engine)
				f.watch(engine)
			}))
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, e)
		f.instances = append(f.instances, start(e.Run))
	}

	return f, f.awaitReady()
}

// prime sends a query to a target, whose reply a later query gets under the fault Misdirect.
func prime(address netip.AddrPort, shard int) error {
	body, err := json.Marshal(target.Query{RequestID: "earlier", AttemptID: "earlier", Service: "FullPage", Class: contract.FullPage,
		Version: 1, Shard: shard, Shards: shards, Text: "earlier", Limit: 20, Timeout: duration.Duration(time.Second), Idempotent: true})
	if err != nil {
		return err
	}
	_, err = exchange(context.Background(), &http.Transport{DisableKeepAlives: true}, address, body,
		func(int, []byte) error { return nil })

	return err
}

func (f *fleet) listen() (net.Listener, netip.AddrPort) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", f.address.String())
	if err != nil {
		panic(err)
	}

	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// configure puts one service of each class into the store.
func (f *fleet) configure(address netip.AddrPort, replicas []contract.Replica) error {
	service := func(class contract.Class, idempotent bool, minimum float64) contract.Service {
		s := contract.Service{
			Caller: "chattimala", Class: class, Deadline: duration.Duration(f.deadline), MinimumCoverage: minimum, Worth: 1,
			ExtraLoad: 1, Idempotent: idempotent, PageSize: 20, Slots: 2, Connections: 8,
			ConnectTime: duration.Duration(time.Millisecond), Replicas: replicas,
		}
		if class == contract.QuickMatch {
			s.FirstUseful = duration.Duration(f.deadline / 3)
		}

		return s
	}
	base, err := json.Marshal(contract.Configuration{AvailabilityZones: zones, Services: map[string]contract.Service{
		"FullPage":   service(contract.FullPage, true, 0.5),
		"QuickMatch": service(contract.QuickMatch, true, 0.5),
		"OneRecord":  service(contract.OneRecord, false, 1),
	}})
	if err != nil {
		return err
	}
	store := adapter.NewStore(address)
	defer store.Close()
	client := platform.NewClient(store.KeyStore(), store.Targets(), f.timers)
	applier := configuration.NewApplier(f.timers, configuration.WithApplierStore(client))
	applier.Check = contract.CheckAll
	_, err = applier.Apply(context.Background(), configuration.Change{ApplyID: "a", Operator: "proof", Base: base})

	return err
}

// awaitReady waits until all instances are ready and know each other, and sends a request that takes the lease of claims.
func (f *fleet) awaitReady() error {
	for range 2000 {
		ready := true
		for _, e := range f.entries {
			ready = ready && e.Ready() == nil && len(e.Status().Members) == len(zones)
		}
		if ready {
			f.send(0, caller.Request{RequestID: "before", Service: "FullPage", Text: "before", Limit: 20})
			for i := range f.entries {
				f.send(i, caller.Request{RequestID: fmt.Sprint("first-", i), Service: "OneRecord", Key: standin.Key(i), Limit: 1})
			}

			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}

	return errors.New("the fleet is not ready")
}

func (f *fleet) stop() {
	var all sync.WaitGroup
	f.links.sever(true)
	for _, p := range append(f.instances, f.targets...) {
		all.Go(p.stop)
	}
	all.Wait()
}

// kill ends instance i without regard to what is in flight. Its connections break first, so that nobody gets an answer. Only
// instance 0 has callers.
func (f *fleet) kill(i int) {
	f.links.sever(i == 0)
	f.instances[i+1].cancel()
}

// judge judges all requests by the journals of this fleet, after work that is still under way has had time to begin.
func (f *fleet) judge(killed bool, all ...told) error {
	time.Sleep(settle)
	journals := make([]standin.Journal, len(f.targets))
	for i, p := range f.targets {
		journals[i] = p.target.Journal()
	}

	return judge(all, journals, killed)
}

// told is what the caller of a request was told. Err is set if the connection gave neither answer nor refusal.
type told struct {
	request caller.Request
	status  int
	answer  *caller.Answer
	refusal *caller.Refusal
	err     error
}

// String describes t for a failed test.
func (t *told) String() string {
	if t.refusal != nil {
		return fmt.Sprintf("request %+v, status %d, refusal %+v", t.request, t.status, *t.refusal)
	}

	return fmt.Sprintf("request %+v, status %d, answer %+v, error %v", t.request, t.status, t.answer, t.err)
}

// send sends r to instance i.
func (f *fleet) send(i int, r caller.Request) told {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	return f.sendContext(ctx, i, r)
}

func (f *fleet) sendContext(ctx context.Context, i int, r caller.Request) (t told) {
	t.request = r
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return f.links.track(inner, false, func() { f.reached(writing) }), nil
	}}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	t.status, t.err = exchange(ctx, transport, f.entries[i].Addresses().Caller, body, func(status int, data []byte) error {
		if status == http.StatusOK {
			t.answer = &caller.Answer{}

			return json.Unmarshal(data, t.answer)
		}
		t.refusal = &caller.Refusal{}

		return json.Unmarshal(data, t.refusal)
	})
	if t.err != nil {
		t.answer, t.refusal = nil, nil
	}

	return t
}

// exchange posts body to the query path at address, which callers and targets share.
func exchange(
	ctx context.Context,
	transport http.RoundTripper,
	address netip.AddrPort,
	body []byte,
	decode func(status int, data []byte) error,
) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+caller.QueryPath, nil)
	if err != nil {
		return 0, err
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}

	return response.StatusCode, decode(response.StatusCode, data)
}
