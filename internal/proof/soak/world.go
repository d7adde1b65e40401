// Package soak runs instances as processes against stand-ins for the platform, harms them from outside by a random schedule, and
// checks what callers and targets saw against what the product promises.
//
//	err := soak.Run(ctx, soak.Settings{Program: ".bin/hickorynotch", Seed: 7, Duration: 15 * time.Second, Output: os.Stdout})
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
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
	"github.com/hickorynotch/hickorynotch/internal/standin/store"
)

// Error is the class of the errors of this package.
var Error = errs.Class("soak")

const (
	// shards is the number of shards of each of the two indexes, and top the number of records in an answer.
	shards = 6
	top    = 10
	// versions is the number of services that the route of the configuration's version moves between. A step back shows as long as
	// the instances are less than half of them behind.
	versions = 8
	host     = "soak.example"
)

var zones = []string{"Kochi", "Thrissur"}

// world is the platform and the targets of a run.
type world struct {
	memory  *memory.Store
	store   *store.Server
	address string
	journal *replica.Journal
	// configuration is the number of the newest configuration, and index the index that it names.
	configuration int
	index         int
	targets       []*member
	started       int
}

// member is a registered target behind its proxy.
type member struct {
	replica  *replica.Replica
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
	m := memory.New(timer.New())
	w = &world{memory: m, store: store.New(m), journal: replica.NewJournal()}
	if w.address, err = listen(w.store); err != nil {
		return nil, err
	}
	for _, index := range []int{0, 1} {
		for s := range shards {
			for _, zone := range zones {
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
	w.targets = append(w.targets, &member{replica: r, zone: zone, proxy: p})
	w.register(w.targets[len(w.targets)-1])

	return nil
}

// register writes the entry of a target, as its heartbeat does.
func (w *world) register(m *member) {
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	w.put("servers/"+m.replica.ID, map[string]any{
		"service": m.replica.Service, "address": m.proxy.address(), "zone": m.zone, "version": "v1", "maxConcurrency": 8,
		"state": state, "warmupLeftMs": 0, "sequence": m.sequence,
	})
}

func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.memory.Put(key, data)
}

// configure writes the next configuration.
func (w *world) configure() {
	w.configuration++
	gather := make([]string, 0, shards)
	for s := range shards {
		gather = append(gather, shard(w.index, s))
	}
	services := make([]map[string]any, 0, len(w.targets))
	seen := make(map[string]bool)
	for _, m := range w.targets {
		if !seen[m.replica.Service] {
			seen[m.replica.Service] = true
			services = append(services, map[string]any{"name": m.replica.Service, "healthPath": "/health", "maxConnections": 60})
		}
	}
	row := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "type": kind, "timeoutMs": 2000, "targetLatencyMs": 400,
			"maxAttempts": 2, "service": service,
		}
	}
	w.put("op/config", map[string]any{
		"version": w.configuration, "services": services, "limits": map[string]any{"maxBodyBytes": 1 << 16},
		"routes": []any{
			row("read", "/read/", "idempotent", "records"),
			row("write", "/write/", "non_idempotent", "records"),
			row("version", "/version/", "idempotent", fmt.Sprint("version-", w.configuration%versions)),
			map[string]any{
				"name": "page", "hostname": host, "prefix": "/page/", "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400,
				"maxAttempts": 2, "gather": gather, "topK": top, "minCoverage": 0.6,
			},
		},
	})
}

// settingsFile writes the settings of an instance.
func settingsFile(dir string, i int, zone, storeAddress string, ports []netip.AddrPort) (path string, err error) {
	path = filepath.Join(dir, fmt.Sprintf("instance-%d.toml", i))
	text := fmt.Sprintf(`nodeName = "instance-%d"
ip = "127.0.0.1"
zone = %q
region = %q
internalPorts = [%d, %d]
[zones]
Kochi = "Kochi"
Thrissur = "Thrissur"
[bindAddrs]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
linkMbps = 1000.0
[bounds]
graceS = 4
drainMs = 3000
configApplyMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
[platform]
address = %q
`, i, zone, zone, min(ports[0].Port(), ports[1].Port()), max(ports[0].Port(), ports[1].Port()), ports[2], ports[3], storeAddress)

	return path, os.WriteFile(path, []byte(text), 0o600)
}
