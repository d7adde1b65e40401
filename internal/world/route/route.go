// Package route holds the configuration that operators give the query tier: which requests it accepts and which services
// answer them.
//
// A Table is one version of the configuration. It is immutable, so a request that holds a Table is answered by one version
// from start to end:
//
//	table, err := route.NewTable(7, routes, services, limits)
//	r, ok := table.Match("shop.example", "/hints/2f")
//	// r.Gather.Shards are the services that each answer with a part
//
// Among the routes of a host, the longest prefix of the path decides.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Error is the class of the errors of this package.
var Error = errs.Class("route")

// Share is a service that receives a part of the requests of a route.
type Share struct {
	Service string
	// Weight is relative to the weights of the other shares.
	Weight float64
}

// Gather describes a route whose answer is merged from one part of each shard.
type Gather struct {
	// Shards are the services that hold one shard each.
	Shards []string
	// Top is the number of records in a merged answer.
	Top int
	// MinimumCoverage is the fraction of the shards below which an answer is a failure.
	MinimumCoverage float64
}

// MinimumParts returns the smallest number of parts that an answer for the given number of shards may be merged from.
func (g *Gather) MinimumParts(shards int) int {
	// The tolerance keeps 0.9 of 20 shards at 18, although the product is slightly above it in floating point.
	const tolerance = 1e-9
	parts := int(g.MinimumCoverage * float64(shards))
	if float64(parts) < g.MinimumCoverage*float64(shards)-tolerance {
		parts++
	}

	return max(parts, 1)
}

// Route is one rule of the configuration. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// MaxAttempts bounds the targets that one request, or one shard of it, is sent to.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int

	Service string
	Split   []Share
	Gather  *Gather
}

// Services returns the names of all services that the route sends requests to.
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

// Service describes the targets of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that each target accepts from all instances together.
	MaxConnections int
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string][]*Route
	routes   []*Route
}

// NewTable checks the parts of a configuration and returns it, or an error that names all faults.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits) (t *Table, err error) {
	defer func() { err = Error.Wrap(err) }()

	t = &Table{
		version:  version,
		limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
		routes:   routes,
	}
	var faults fault.List
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		r.check(&faults)
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, of := range t.hosts {
		slices.SortStableFunc(of, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}

	return t, faults.Err()
}

func (r *Route) check(faults *fault.List) {
	path := "Routes." + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults.Add(path+".Prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	kinds := 0
	for _, is := range []bool{r.Service != "", len(r.Split) > 0, r.Gather != nil} {
		if is {
			kinds++
		}
	}
	if kinds != 1 {
		faults.Add(path, "has %d of Service, Split and Gather, not one", kinds)
	}
	if r.Gather != nil && len(r.Gather.Shards) == 0 {
		faults.Add(path+".Gather", "names no shard")
	}
	if r.Timeout <= 0 {
		faults.Add(path+".Timeout", "must be positive")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	if r.Objective <= 0 {
		r.Objective = r.Timeout
	}
}

// Version returns the number of the configuration; newer ones have larger numbers.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the description of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]

	return s, ok
}

// Routes returns all routes.
func (t *Table) Routes() []*Route { return t.routes }

// Match returns the route of a request. A port in host is ignored.
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
