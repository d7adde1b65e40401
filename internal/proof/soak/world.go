// Package soak runs instances as processes against stand-ins for the platform, harms them from outside by a random schedule, and
// checks what callers and targets saw against what the product promises.
//
//	err := soak.Run(ctx, soak.Settings{Command: []string{".bin/hickorynotch", "gateway", "-settings"}, Seed: 7, Duration: 15 * time.Second, Output: os.Stdout})
//
// A run prints its seed, its schedule and each broken promise. Everything stays on loopback, and only processes that the run
// started are signalled.
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
	// shards is the number of shards of each of the two indexes, and top the number of records in an answer.
	shards = 9
	top    = 10
	// versions is the number of services that the route of the configuration's version moves between. A step back shows as long as
	// the instances are less than half of them behind.
	versions = 8
	host     = "soak.example"
	// slots is the number of requests that a target says to run at a time.
	slots = 8
)

var zones = []string{"Kochi", "Thrissur"}

// world is the platform and the targets of a run.
type world struct {
	platform *platform.Platform
	address  string
	journal  *replica.Journal
	// configuration is the number of the newest configuration, and index the index that it names.
	configuration int
	index         int
	targets       []*member
	started       int

	mu sync.Mutex
	// peers are the proxies between instances, by the address that each one stands for.
	peers map[netip.AddrPort]*proxy
	// newest and previous are the last two configurations.
	newest, previous []byte
}

// member is a registered target behind its proxy.
type member struct {
	replica  *replica.Replica
	address  string
	zone     string
	proxy    *proxy
	sequence int
	draining bool
	gone     bool
}

// listen serves handler on a port of its own until the process ends.
func listen(handler http.Handler) (address string, err error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()

	return listener.Addr().String(), nil
}

func newWorld() (w *world, err error) {
	w = &world{journal: replica.NewJournal(), peers: make(map[netip.AddrPort]*proxy)}
	w.platform = platform.New(platform.WithRewrite(w.divert))
	if w.address, err = listen(w.platform.Handler()); err != nil {
		return nil, err
	}
	for _, index := range []int{0, 1} {
		for s := range shards {
			for _, zone := range zonesOf(s) {
				if err := w.add(shard(index, s), zone); err != nil {
					return nil, err
				}
			}
		}
	}
	for _, service := range append([]string{"records"}, versionServices()...) {
		for _, zone := range zones {
			if err := w.add(service, zone); err != nil {
				return nil, err
			}
		}
	}
	w.configure()

	return w, nil
}

// zonesOf returns the zones of the replicas of a shard. A third of the shards is in one zone each, so that instances of the other zone
// let a peer gather them.
func zonesOf(shard int) []string {
	if n := shard % 3; n < len(zones) {
		return []string{zones[n], zones[n]}
	}

	return zones
}

func shard(index, n int) string { return fmt.Sprintf("shard-%d-%d", index, n) }

func versionServices() []string {
	names := make([]string, 0, versions)
	for i := range versions {
		names = append(names, fmt.Sprint("version-", i))
	}

	return names
}

// add starts a target and registers it.
func (w *world) add(service, zone string) error {
	w.started++
	r := replica.New(service, fmt.Sprint("i-", w.started), w.journal)
	address, err := listen(r)
	if err != nil {
		return err
	}
	p, err := newProxy(address)
	if err != nil {
		return err
	}
	w.targets = append(w.targets, &member{replica: r, address: address, zone: zone, proxy: p})
	w.register(w.targets[len(w.targets)-1])

	return nil
}

// register writes the entry of a target, as its heartbeat does.
func (w *world) register(m *member) {
	m.sequence++
	w.platform.Store().Put(operator.EntryKey(m.replica.ID), operator.Entry{
		Service: m.replica.Service, Address: m.proxy.address(), AvailabilityZone: m.zone, Slots: slots, Draining: m.draining,
		Sequence: m.sequence,
	}.Encode())
}

// of returns the targets of a service.
func (w *world) of(service string) (targets []*member) {
	for _, m := range w.targets {
		if m.replica.Service == service {
			targets = append(targets, m)
		}
	}

	return targets
}

// configure writes the next configuration.
func (w *world) configure() {
	w.configuration++
	gather := make([]string, 0, shards)
	for n := range shards {
		gather = append(gather, shard(w.index, n))
	}
	var services []string
	for _, m := range w.targets {
		if !slices.Contains(services, m.replica.Service) {
			services = append(services, m.replica.Service)
		}
	}
	w.write(operator.Configuration(w.configuration, services, []operator.Route{
		{Name: "read", Host: host, Prefix: "/read/", Idempotent: true, Service: "records"},
		{Name: "write", Host: host, Prefix: "/write/", Service: "records"},
		{Name: "version", Host: host, Prefix: "/version/", Idempotent: true, Service: fmt.Sprint("version-", w.configuration%versions)},
		{Name: "page", Host: host, Prefix: "/page/", Idempotent: true, Shards: gather, Top: top, MinimumCoverage: 0.6},
	}))
}

// addPeer puts a proxy between an instance and its peers.
func (w *world) addPeer(address netip.AddrPort) (*proxy, error) {
	p, err := newProxy(address.String())
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.peers[address] = p
	}

	return p, err
}

// divert makes the registration of an instance name its proxy.
func (w *world) divert(key string, value []byte) []byte {
	var i control.Instance
	if !strings.HasPrefix(key, control.InstanceKey("")) || json.Unmarshal(value, &i) != nil {
		return value
	}
	w.mu.Lock()
	p := w.peers[i.Peer]
	w.mu.Unlock()
	if p == nil {
		return value
	}
	i.Peer = netip.MustParseAddrPort(p.address())
	diverted, err := json.Marshal(i)
	if err != nil {
		return value
	}

	return diverted
}

func (w *world) write(configuration []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest, w.previous = configuration, w.newest
	w.platform.Store().Put(operator.ConfigurationKey, w.newest)
}

// revert writes the previous configuration again.
func (w *world) revert() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.Store().Put(operator.ConfigurationKey, w.previous)
}

// restore writes the newest configuration again.
func (w *world) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.Store().Put(operator.ConfigurationKey, w.newest)
}
