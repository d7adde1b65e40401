// Package operator is a stand-in for the users' operators. It encodes configurations, the entries of targets, the settings
// files of instances and the headers of callers in the formats of the users' platform, and decodes the headers of responses.
package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ConfigurationKey is the key in the store to which operators write the configuration.
const ConfigurationKey = "op/config"

// The limits that Configuration sets, which are the same for all routes and services.
const (
	routeTimeoutMs       = 2000
	routeTargetLatencyMs = 400
	routeMaxAttempts     = 2
	maxBodyBytes         = 1 << 16
	maxConnections       = 60
)

// Route is a route of a configuration. If Shards is not empty, the route gathers the parts of an answer from these services;
// otherwise it forwards to Service.
type Route struct {
	Name            string
	Host            string
	Prefix          string
	Idempotent      bool
	Service         string
	Shards          []string
	Top             int
	MinimumCoverage float64
	// Public routes need no key. Regions are the allowed regions, empty for all.
	Public  bool
	Regions []string
}

// Account is a client account of a configuration. Priority is nil if the account has none of its own.
type Account struct {
	Name      string
	Keys      []string
	Priority  *int
	PerSecond float64
	Burst     float64
	Regions   []string
}

// encode returns the account as it is encoded in JSON. Fields without a value are left out.
func (a *Account) encode() map[string]any {
	encoded := map[string]any{"name": a.Name, "apiKeys": a.Keys}
	if a.Priority != nil {
		encoded["priority"] = *a.Priority
	}
	if a.PerSecond > 0 {
		encoded["ratePerS"], encoded["burst"] = a.PerSecond, a.Burst
	}
	if len(a.Regions) > 0 {
		encoded["allowedRegions"] = a.Regions
	}

	return encoded
}

// Configuration returns a configuration as operators write it to the store, in JSON. Without accounts, it has no list of them.
func Configuration(version int, services []string, routes []Route, accounts ...Account) []byte {
	encodedRoutes := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		encoded := map[string]any{
			"name": r.Name, "hostname": r.Host, "prefix": r.Prefix, "type": kind, "timeoutMs": routeTimeoutMs,
			"targetLatencyMs": routeTargetLatencyMs, "maxAttempts": routeMaxAttempts,
		}
		if len(r.Shards) > 0 {
			encoded["gather"], encoded["topK"], encoded["minCoverage"] = r.Shards, r.Top, r.MinimumCoverage
		} else {
			encoded["service"] = r.Service
		}
		if r.Public {
			encoded["public"] = true
		}
		if len(r.Regions) > 0 {
			encoded["allowedRegions"] = r.Regions
		}
		encodedRoutes = append(encodedRoutes, encoded)
	}
	encodedServices := make([]map[string]any, 0, len(services))
	for _, s := range services {
		encodedServices = append(encodedServices, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": maxConnections,
		})
	}

	configuration := map[string]any{
		"version": version, "routes": encodedRoutes, "services": encodedServices,
		"limits": map[string]any{"maxBodyBytes": maxBodyBytes},
	}
	if len(accounts) > 0 {
		encodedAccounts := make([]map[string]any, 0, len(accounts))
		for i := range accounts {
			encodedAccounts = append(encodedAccounts, accounts[i].encode())
		}
		configuration["tenants"] = encodedAccounts
	}

	return mustEncode(configuration)
}

// EntryKey returns the key in the store of the entry of the target with this ID.
func EntryKey(id string) string { return "servers/" + id }

// Entry is the entry by which a target registers in the store.
type Entry struct {
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	Sequence         int
	// Started is the start of the target's process, the zero time if the entry does not tell.
	Started time.Time
}

// Encode returns the value of the entry in the store.
func (e Entry) Encode() []byte {
	state := "ready"
	if e.Draining {
		state = "draining"
	}

	entry := map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.AvailabilityZone, "version": "v1", "maxConcurrency": e.Slots,
		"state": state, "warmupLeftMs": 0, "sequence": e.Sequence,
	}
	if !e.Started.IsZero() {
		entry["born"] = e.Started.UnixMilli()
	}

	return mustEncode(entry)
}

// mustEncode returns value as JSON. It panics on a value that JSON cannot represent; this package has none.
func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	return data
}

// SetRequest sets the headers of a caller's request: its ID and its timeout.
func SetRequest(header http.Header, id string, timeout time.Duration) {
	header.Set("X-Request-Id", id)
	header.Set("X-Deadline-Ms", strconv.Itoa(int(timeout.Milliseconds())))
}

// SetKey sets the header with the API key of a caller's request.
func SetKey(header http.Header, key string) { header.Set("Authorization", "Token "+key) }

// AccountName returns the name of the account in a request that a target has received.
func AccountName(header http.Header) string { return header.Get("X-Tenant") }

// Stamp returns the response stamp that the target set.
func Stamp(header http.Header) string { return header.Get("X-Response-Stamp") }

// Parts returns the response stamps of the parts of a merged answer, and the number of parts that are missing.
func Parts(header http.Header) (stamps []string, missing int, err error) {
	for _, value := range header.Values("X-Part-Stamps") {
		for stamp := range strings.SplitSeq(value, ",") {
			stamps = append(stamps, strings.TrimSpace(stamp))
		}
	}
	missing, err = strconv.Atoi(header.Get("X-Missing-Parts"))

	return stamps, missing, err
}

// WriteSettings writes the settings file of instance i to dir and returns its path. addresses are, in this order: two for the
// traffic between instances, one for callers, and one for readiness checks.
func WriteSettings(dir string, i int, zone, storeAddress string, addresses []netip.AddrPort) (path string, err error) {
	path = filepath.Join(dir, fmt.Sprintf("instance-%d.toml", i))
	text := fmt.Sprintf(`nodeName = "instance-%d"
ip = %q
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
`, i, addresses[0].Addr(), zone, zone, min(addresses[0].Port(), addresses[1].Port()),
		max(addresses[0].Port(), addresses[1].Port()), addresses[2], addresses[3], storeAddress)

	return path, os.WriteFile(path, []byte(text), 0o600)
}
