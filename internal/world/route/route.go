// Package route implements the routing table of the query tier: which requests the tier accepts and which services process them.
//
// A Table is one version of the operators' configuration. It is immutable, so a request that keeps a reference to its Table is
// processed according to a single version:
//
//	table, err := route.NewTable(7, routes, services, limits)
//	r, ok := table.Match("shop.example", "/hints/2f")
//	// r.Gather.Shards are the services that each return one part of the answer
//
// Among the routes of a host, the one with the longest matching path prefix is chosen.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// Error is the class of the errors of this package.
var Error = errs.Class("route")

// Share is a service that receives a fraction of the requests of a route.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of all shares of the route.
	Weight float64
}

// Gather configures a route whose answer is merged from one part per shard.
type Gather struct {
	// Shards are the names of the services, each of which serves one shard.
	Shards []string
	// MaxRecords is the maximum number of records in a merged answer.
	MaxRecords int
	// MinimumCoverage is the minimum fraction of shards that an answer must cover; a request that does not reach it fails.
	MinimumCoverage float64
}

// MinimumParts returns the minimum number of parts that an answer must be merged from if the route has the given number of shards.
func (g *Gather) MinimumParts(shards int) int {
	// Without the tolerance, the result would be one too high if floating-point error puts the product slightly above a whole
	// number. For example, 0.9 of 20 shards must give 18.
	const tolerance = 1e-9
	parts := int(g.MinimumCoverage * float64(shards))
	if float64(parts) < g.MinimumCoverage*float64(shards)-tolerance {
		parts++
	}

	return max(parts, 1)
}

// Route maps the requests with a given host and path prefix to services. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name string
	Host string
	// Prefix is a prefix of the URL path that begins and ends with a slash.
	Prefix string
	// Idempotent states that requests may be executed more than once, so that they can be retried and hedged.
	Idempotent bool
	// Timeout bounds the time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time has its full worth. If it is not set, NewTable sets it to
	// Timeout.
	Objective time.Duration
	// MaxAttempts bounds the number of attempts for one request, or for one shard of it. NewTable raises it to at least 1.
	MaxAttempts int
	// Priority is the priority of the requests under overload; 0 is the highest.
	Priority int

	// Service receives all requests of the route.
	Service string
	// Split distributes the requests over several services.
	Split []Share
	// Gather sends each request to all shards.
	Gather *Gather

	// Public routes need no key, even if there are client accounts.
	Public bool
	// Regions are the regions in which requests of the route may be served.
	Regions region.Scope
}

// Services returns the names of all services that requests of the route may be sent to.
func (r *Route) Services() []string {
	switch {
	case r.Gather != nil:
		return r.Gather.Shards
	case len(r.Split) > 0:
		names := make([]string, 0, len(r.Split))
		for _, share := range r.Split {
			names = append(names, share.Service)
		}

		return names
	default:
		return []string{r.Service}
	}
}

// Service configures the access to the targets of one service.
type Service struct {
	Name string
	// HealthPath is the URL path of the targets' health check.
	HealthPath string
	// MaxConnections bounds the connections to each target, summed over all instances.
	MaxConnections int
	// Warmup is the time for which a target of the service is cold after its start, and WarmupPerSecond the number of requests a second
	// that a cold target accepts from all instances together, 0 for no limit.
	Warmup          time.Duration
	WarmupPerSecond float64
}

// Limits are the limits on requests and connections of callers. Zero means that the configuration sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable version of the configuration.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string][]*Route
	routes   []*Route
	accounts []*Account
	byKey    map[KeyHash]*Account
}

// TableOption configures a Table.
type TableOption func(*Table)

// NewTable checks the routes and returns a Table of them. The error lists all faults. The Table refers to the given
// routes, in which NewTable sets the defaults of Objective and MaxAttempts.
func NewTable(
	version uint64, routes []*Route, services []Service, limits Limits, options ...TableOption,
) (t *Table, err error) {
	defer func() { err = Error.Wrap(err) }()

	t = &Table{
		version:  version,
		limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
		routes:   routes,
	}
	for _, option := range options {
		option(t)
	}
	var faults fault.List
	t.indexAccounts(&faults)
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		r.check(&faults)
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, ofHost := range t.hosts {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}

	return t, faults.Err()
}

func (r *Route) check(faults *fault.List) {
	path := "Routes." + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults.Add(path+".Prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	destinations := 0
	for _, set := range []bool{r.Service != "", len(r.Split) > 0, r.Gather != nil} {
		if set {
			destinations++
		}
	}
	if destinations != 1 {
		faults.Add(path, "must set exactly one of Service, Split and Gather, but sets %d", destinations)
	}
	if r.Gather != nil && len(r.Gather.Shards) == 0 {
		faults.Add(path+".Gather", "must have at least one shard")
	}
	if r.Timeout <= 0 {
		faults.Add(path+".Timeout", "must be positive")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	if r.Objective <= 0 {
		r.Objective = r.Timeout
	}
}

// Version returns the version number of the configuration, which increases with each change.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on requests and connections of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service, and whether it is configured.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]

	return s, ok
}

// Routes returns all routes in the order in which they were passed to NewTable.
func (t *Table) Routes() []*Route { return t.routes }

// Match returns the route for a request with the given host and path, and whether there is one. If host is not the host of any
// route, Match looks it up again without its port.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return nil, false
}
