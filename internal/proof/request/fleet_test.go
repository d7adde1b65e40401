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
	// journalDelay is the time between the last outcome and the reading of the journals. A target may still start a query after the
	// caller has its answer.
	journalDelay = 20 * time.Millisecond
)

var (
	zones = []zone.Zone{"Kochi", "Thrissur"}
	// layout has the index of the availability zone and the shard of each target. Shard 1 has replicas in the second zone only, so
	// the instance of the first zone has its queries relayed by that of the second.
	layout = []struct{ zone, shard int }{{0, 0}, {1, 1}, {1, 0}, {1, 1}}
)

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Uint32

// loopbackAddress returns a loopback address that no other fleet has used recently. On a shared address, the closed connections
// of a few thousand fleets would occupy all ports until the kernel frees them after one minute.
func loopbackAddress() netip.AddrPort {
	n := uint32(os.Getpid())<<11 + fleetCount.Add(1)

	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + n>>16&63), byte(n >> 8), byte(n)}), 0)
}

// fleet is a running system: a platform, four targets, and one entry instance in each availability zone.
type fleet struct {
	timers       *timer.Service
	address      netip.AddrPort
	platform     *platformstandin.Platform
	targets      []*component
	instances    []*component
	entries      []*entry.Entry
	engines      []*fanout.Engine
	network      network
	adjustEngine func(*fanout.Engine)
	deadline     time.Duration

	// onStep, if set, is called whenever a request reaches a step.
	onStep atomic.Pointer[func(requestStep)]
}

// reachStep calls the hook for a step. It is called by the wrapped functions of the engines, by the hooks of the targets, and by
// the connections of callers.
func (f *fleet) reachStep(s requestStep) {
	if hook := f.onStep.Load(); hook != nil {
		(*hook)(s)
	}
}

// observeSteps wraps the functions of the engine so that they report the steps of its requests.
func (f *fleet) observeSteps(e *fanout.Engine) {
	service, admit, pin, choose, run := e.Service, e.Admit, e.Pin, e.Choose, e.Run
	e.Service = func(name string) (contract.Service, bool) {
		f.reachStep(accepted)

		return service(name)
	}
	e.Admit = func(ctx context.Context, name string, s contract.Service) (func(bool), error) {
		defer f.reachStep(admitted)

		return admit(ctx, name, s)
	}
	e.Pin = func(name string, s contract.Service, newerThan uint64) (snapshot.Pin, bool) {
		defer f.reachStep(pinned)

		return pin(name, s, newerThan)
	}
	e.Choose = func(replicas []contract.Replica, tried []netip.AddrPort) (contract.Replica, bool) {
		defer f.reachStep(targetChosen)

		return choose(replicas, tried)
	}
	e.Run = func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		reply, err := run(ctx, a)
		if err == nil {
			f.reachStep(merging)
		}

		return reply, err
	}
}

// component is a part of the fleet that can be stopped.
type component struct {
	target *standin.Target
	cancel context.CancelFunc
	done   chan struct{}
}

func start(serve func(context.Context) error) *component {
	ctx, cancel := context.WithCancel(context.Background())
	p := &component{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = serve(ctx)
	}()

	return p
}

func (p *component) stop() {
	p.cancel()
	<-p.done
}

// option changes a fleet before its start.
type option func(*fleet)

// withEngine changes the engine of each instance.
func withEngine(adjust func(*fanout.Engine)) option {
	return func(f *fleet) { f.adjustEngine = adjust }
}

// withDeadline sets the deadline of the services, for tests in which it must not expire.
func withDeadline(d time.Duration) option { return func(f *fleet) { f.deadline = d } }

// newFleet starts a fleet and waits until it is ready.
func newFleet(seed uint64, options ...option) (*fleet, error) {
	f := &fleet{
		timers: timer.New(), address: loopbackAddress(), platform: platformstandin.New(), deadline: deadline,
		adjustEngine: func(*fanout.Engine) {},
	}
	for _, o := range options {
		o(f)
	}
	f.network.connections = make(map[*trackedConnection]struct{})
	l, address := f.listen()
	f.instances = append(f.instances, start(func(ctx context.Context) error { return f.platform.Serve(ctx, l) }))
	replicas := make([]contract.Replica, len(layout))
	for i, at := range layout {
		l, targetAddress := f.listen()
		replicas[i] = contract.Replica{Address: targetAddress, AvailabilityZone: zones[at.zone]}
		t := standin.New(f.timers, standin.WithSeed(seed+uint64(i)), standin.WithServiceTime(time.Millisecond, 0),
			standin.WithIncarnation(uint64(i)+1), standin.WithColdStart(0, 40),
			standin.WithHoldings(target.Holding{Version: 1, Shard: at.shard, Shards: shards}),
			standin.WithHook(func(s standin.Stage) {
				f.reachStep(stepOfStage[s])
			}))
		p := start(func(ctx context.Context) error { return t.Serve(ctx, l) })
		p.target = t
		f.targets = append(f.targets, p)
		if err := sendEarlierQuery(targetAddress, at.shard); err != nil {
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
			Store: store.KeyValueStore(), Targets: store.Targets(), Limit: entry.LimitOwner, Running: 64, StopTimeout: time.Millisecond,
		}
		if i > 0 {
			settings.Seeds = []netip.AddrPort{f.entries[0].Addresses().Peer}
		}
		e, err := entry.New(settings, entry.WithSeed(seed+uint64(i)), entry.WithDialer(f.network.dial),
			entry.WithEngine(func(engine *fanout.Engine) {
				f.engines = append(f.engines, engine)
				f.adjustEngine(engine)
				f.observeSteps(engine)
			}))
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, e)
		f.instances = append(f.instances, start(e.Run))
	}

	return f, f.awaitReady()
}

// sendEarlierQuery sends a query to a target. Under the fault Misdirect, the target replies to later queries with the reply to it.
func sendEarlierQuery(address netip.AddrPort, shard int) error {
	body, err := json.Marshal(target.Query{RequestID: "earlier", AttemptID: "earlier", Service: "FullPage", Class: contract.FullPage,
		Version: 1, Shard: shard, Shards: shards, Text: "earlier", Limit: 20, Timeout: duration.Duration(time.Second),
		Idempotent: true})
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

// configure applies a configuration with one service of each class.
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
	client := platform.NewClient(store.KeyValueStore(), store.Targets(), f.timers)
	applier := configuration.NewApplier(f.timers, configuration.WithApplierStore(client))
	applier.Check = contract.CheckAll
	_, err = applier.Apply(context.Background(), configuration.Change{ApplyID: "a", Operator: "proof", Base: base})

	return err
}

// awaitReady waits until all instances are ready and know each other. It then sends a request to each instance that makes it
// acquire the lease for its claims.
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

	return errors.New("the fleet is not ready after 10 s")
}

// stop breaks all connections and stops all components.
func (f *fleet) stop() {
	var all sync.WaitGroup
	f.network.breakConnections(true)
	for _, p := range append(f.instances, f.targets...) {
		all.Go(p.stop)
	}
	all.Wait()
}

// kill stops instance i without a drain. Its connections break first, so that callers and peers get no answer. Only instance 0 has
// callers.
func (f *fleet) kill(i int) {
	f.network.breakConnections(i == 0)
	f.instances[i+1].cancel()
}

// judge compares outcomes with the journals of this fleet. It waits first, so that the journals have the queries that targets may
// still start.
func (f *fleet) judge(killed bool, all ...outcome) error {
	time.Sleep(journalDelay)
	journals := make([]standin.Journal, len(f.targets))
	for i, p := range f.targets {
		journals[i] = p.target.Journal()
	}

	return judgeOutcomes(all, journals, killed)
}

// outcome is what the caller of a request received. err is set if there was neither an answer nor a refusal.
type outcome struct {
	request caller.Request
	status  int
	answer  *caller.Answer
	refusal *caller.Refusal
	err     error
}

// String describes o in the message of a failed test.
func (o *outcome) String() string {
	if o.refusal != nil {
		return fmt.Sprintf("request %+v, status %d, refusal %+v", o.request, o.status, *o.refusal)
	}

	return fmt.Sprintf("request %+v, status %d, answer %+v, error %v", o.request, o.status, o.answer, o.err)
}

// send sends r to instance i.
func (f *fleet) send(i int, r caller.Request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	return f.sendContext(ctx, i, r)
}

// sendContext sends r to instance i on a connection of its own.
func (f *fleet) sendContext(ctx context.Context, i int, r caller.Request) (o outcome) {
	o.request = r
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(
		ctx context.Context, network, address string,
	) (net.Conn, error) {
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return f.network.track(inner, false, func() { f.reachStep(writingAnswer) }), nil
	}}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	o.status, o.err = exchange(ctx, transport, f.entries[i].Addresses().Caller, body, func(status int, data []byte) error {
		if status == http.StatusOK {
			o.answer = &caller.Answer{}

			return json.Unmarshal(data, o.answer)
		}
		o.refusal = &caller.Refusal{}

		return json.Unmarshal(data, o.refusal)
	})
	if o.err != nil {
		o.answer, o.refusal = nil, nil
	}

	return o
}

// exchange posts body to the query path at address, which is the same for instances and targets, and decodes the response.
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
