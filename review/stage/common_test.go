package stage

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"time"
)

const host = "shop.example"

// routeOf returns a route of the configuration to one service.
func routeOf(name, prefix, kind, service string, limit time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "type": kind, "timeoutMs": limit.Milliseconds(), "targetLatencyMs": 600,
		"priority": 2, "service": service, "maxAttempts": 2,
	}
}

// configure writes a configuration. services are the connections that each replica of a service accepts.
func (e *env) configure(routes []map[string]any, services map[string]int, tenants []map[string]any) time.Time {
	list := []map[string]any{}
	for name, connections := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": connections})
	}
	c := map[string]any{
		"version": 1, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	at := e.store.put("op/config", c)
	e.log(at, "store: accepted the configuration")

	return at
}

// startGateways starts a process for each zone, and waits until all are ready.
func (e *env) startGateways(zones ...string) {
	for i, z := range zones {
		e.newGateway(i+1, z, true)
	}
	for _, g := range e.gateways {
		g.run()
	}
	for _, g := range e.gateways {
		g.awaitReady()
		// bootstrap is true only when the whole system starts for the first time.
		e.must(rewrite(g.settings, "bootstrap = true", "bootstrap = false"))
	}
}

// rewrite replaces a text in a file.
func rewrite(path, from, to string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}

	return os.WriteFile(path, []byte(strings.ReplaceAll(string(data), from, to)), 0o600)
}

// writer returns the gateway that the key holds which the system writes under a condition and with a lease, and the revision of the key: the
// process that has last written to the store under a condition.
func (e *env) writer() (g *gateway, revision uint64) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	for k, i := range e.store.items {
		if !strings.HasSuffix(k, "/leader") {
			continue
		}
		v, _ := base64.StdEncoding.DecodeString(i.Value)
		for _, g := range e.gateways {
			if strings.Contains(string(v), g.name) {
				return g, i.Revision
			}
		}
	}

	return nil, 0
}

// awaitWriter waits until another gateway than those given has written that key twice: it has taken over.
func (e *env) awaitWriter(not ...*gateway) *gateway {
	var first uint64
	for begin := time.Now(); time.Since(begin) < 8*time.Second; time.Sleep(5 * time.Millisecond) {
		g, revision := e.writer()
		for _, n := range not {
			if n == g {
				g = nil
			}
		}
		switch {
		case g == nil:
			first = 0
		case first == 0:
			first = revision
		case revision > first:
			return g
		}
	}
	panic(stop{fmt.Errorf("no other gateway has taken over")})
}
