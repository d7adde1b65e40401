// Package soak runs instances as processes against stand-ins for the platform and the targets. It injects faults by a random
// schedule, and checks the answers of callers and the journal of the targets against the guarantees of the product.
//
//	err := soak.Run(ctx, soak.Settings{
//		Command: []string{".bin/hickorynotch", "gateway", "-settings"}, Seed: 7, Duration: 15 * time.Second, Output: os.Stdout,
//	})
//
// A run prints its seed, its schedule and each violation of a guarantee. It uses loopback addresses only, and sends signals only to
// processes that it started.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// Error is the class of the errors of this package.
var Error = errs.Class("soak")

const (
	// shards is the number of shards of each of the two indexes, and pageRecords the number of records in a page.
	shards      = 9
	pageRecords = 10
	// versions is the number of services that the route "version" cycles through: configuration n routes it to the service
	// version-(n mod versions). As these numbers wrap around, a step forward by more than half of them counts as a step back.
	versions = 8
	host     = "soak.example"
	// slotsPerTarget is the limit of concurrent requests in the store entry of each target.
	slotsPerTarget = 8
)

var zones = []string{"Kochi", "Thrissur"}

// environment is the platform and the targets of a run.
type environment struct {
	platform *platform.Platform
	address  string
	journal  *replica.Journal
	// configuration is the number of the newest configuration. It routes pages to the shards of one of the two indexes; index is
	// the number of this one, 0 or 1.
	configuration  int
	index          int
	targets        []*backend
	targetsStarted int
	crashes        crashes

	// mu guards the fields below, and targets while a target is added.
	mu sync.Mutex
	// peerProxies has the proxies for connections between instances, by the real peer address that each one forwards to.
	peerProxies map[netip.AddrPort]*proxy
	// newest and previous are the encodings of the last two configurations.
	newest, previous []byte
}

// backend is a registered target and the proxy in front of it.
type backend struct {
	replica  *replica.Replica
	address  string
	zone     string
	proxy    *proxy
	sequence int
	draining bool
	removed  bool
	// restarted is when the process last started again after a request had crashed it, in Unix nanoseconds, 0 if none has.
	restarted atomic.Int64
}

// listen serves handler on a free loopback port until the process exits.
func listen(handler http.Handler) (address string, err error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()

	return listener.Addr().String(), nil
}

func newEnvironment() (e *environment, err error) {
	e = &environment{
		journal: replica.NewJournal(), peerProxies: make(map[netip.AddrPort]*proxy), crashes: crashes{runEnded: make(chan struct{})},
	}
	e.platform = platform.New(platform.WithRewrite(e.substitutePeerProxy))
	if e.address, err = listen(e.platform.Handler()); err != nil {
		return nil, err
	}
	for _, index := range []int{0, 1} {
		for s := range shards {
			for _, zone := range zonesOfShard(s) {
				if err := e.startTarget(shardService(index, s), zone); err != nil {
					return nil, err
				}
			}
		}
	}
	for _, service := range append([]string{"records"}, versionServices()...) {
		for _, zone := range zones {
			if err := e.startTarget(service, zone); err != nil {
				return nil, err
			}
		}
	}
	e.advanceConfiguration()

	return e, nil
}

// zonesOfShard returns the availability zones of the two replicas of a shard. One third of the shards has both replicas in the
// first zone and one third in the second, so that instances of the other zone have a peer gather these shards.
func zonesOfShard(shard int) []string {
	if n := shard % 3; n < len(zones) {
		return []string{zones[n], zones[n]}
	}

	return zones
}

func shardService(index, n int) string { return fmt.Sprintf("shard-%d-%d", index, n) }

func versionServices() []string {
	names := make([]string, 0, versions)
	for i := range versions {
		names = append(names, fmt.Sprint("version-", i))
	}

	return names
}

// startTarget starts a target behind a proxy and registers it.
func (e *environment) startTarget(service, zone string) error {
	e.targetsStarted++
	r := replica.New(service, fmt.Sprint("i-", e.targetsStarted), e.journal)
	address, err := listen(r)
	if err != nil {
		return err
	}
	p, err := newProxy(address)
	if err != nil {
		return err
	}
	b := &backend{replica: r, address: address, zone: zone, proxy: p}
	r.OnCrash(func() { e.crashes.end(b) })
	e.mu.Lock()
	e.targets = append(e.targets, b)
	e.mu.Unlock()
	e.registerTarget(b)

	return nil
}

// allTargets returns the targets, for goroutines other than that of the run.
func (e *environment) allTargets() []*backend {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.targets)
}

// registerTarget writes the entry of a target to the store, as its heartbeat does. The entry names the address of the proxy.
func (e *environment) registerTarget(b *backend) {
	b.sequence++
	e.platform.Store().Put(operator.EntryKey(b.replica.ID), operator.Entry{
		Service: b.replica.Service, Address: b.proxy.address(), AvailabilityZone: b.zone, Slots: slotsPerTarget,
		Draining: b.draining, Sequence: b.sequence, Started: b.restartedAt(),
	}.Encode())
}

// targetsOf returns the targets of a service.
func (e *environment) targetsOf(service string) (targets []*backend) {
	for _, b := range e.targets {
		if b.replica.Service == service {
			targets = append(targets, b)
		}
	}

	return targets
}

// advanceConfiguration writes the next configuration.
func (e *environment) advanceConfiguration() {
	e.configuration++
	shardServices := make([]string, 0, shards)
	for n := range shards {
		shardServices = append(shardServices, shardService(e.index, n))
	}
	var services []string
	for _, b := range e.targets {
		if !slices.Contains(services, b.replica.Service) {
			services = append(services, b.replica.Service)
		}
	}
	e.writeConfiguration(operator.Configuration(e.configuration, services, []operator.Route{
		{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Service: "records"},
		{Name: "write", Host: host, Prefix: "/write/", Service: "records"},
		{Name: "version", Host: host, Prefix: "/version/", Idempotent: true,
			Service: fmt.Sprint("version-", e.configuration%versions)},
		{Name: "page", Host: host, Prefix: "/page/", Idempotent: true,
			Shards: shardServices, Top: pageRecords, MinimumCoverage: 0.6},
	}))
}

// addPeerProxy starts a proxy for the connections of peers to the instance with this peer address.
func (e *environment) addPeerProxy(address netip.AddrPort) (*proxy, error) {
	p, err := newProxy(address.String())
	if err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.peerProxies[address] = p
	}

	return p, err
}

// substitutePeerProxy replaces the peer address in the registration of an instance by that of its proxy. Other values stay as they
// are.
func (e *environment) substitutePeerProxy(key string, value []byte) []byte {
	var registration control.Instance
	if !strings.HasPrefix(key, control.InstanceKey("")) || json.Unmarshal(value, &registration) != nil {
		return value
	}
	e.mu.Lock()
	p := e.peerProxies[registration.Peer]
	e.mu.Unlock()
	if p == nil {
		return value
	}
	registration.Peer = netip.MustParseAddrPort(p.address())
	rewritten, err := json.Marshal(registration)
	if err != nil {
		return value
	}

	return rewritten
}

func (e *environment) writeConfiguration(configuration []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest, e.previous = configuration, e.newest
	e.platform.Store().Put(operator.ConfigurationKey, e.newest)
}

// restorePrevious writes the previous configuration over the newest one.
func (e *environment) restorePrevious() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.platform.Store().Put(operator.ConfigurationKey, e.previous)
}

// restoreNewest writes the newest configuration again.
func (e *environment) restoreNewest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.platform.Store().Put(operator.ConfigurationKey, e.newest)
}
