// Package contract defines the configuration of the query services: their callers, deadlines, minimum coverage, worth and replicas.
//
// A Configuration maps the name of each query service to its contract. Operators write one base file for all availability zones,
// and an overlay for each zone whose configuration differs from the base. An overlay contains only the differences. Merge applies
// it to the base as a JSON merge patch (RFC 7396): a field of the overlay replaces that of the base, and null removes a service:
//
//	# base.yaml
//	Services:
//	  catalogue: {Caller: chattimala, Class: FullPage, Deadline: 170ms, Worth: 10, ...}
//	# overlay for Kochi
//	Services:
//	  catalogue: {Deadline: 150ms}
//
// All faults of a file are reported together, each with the file and the path of the field, for example
// "kochi.yaml: Services.catalogue.Deadline: must be positive". The messages of faults that Merge finds are also sent to peers, as
// the error of the /Peer/Push call that delivered the configuration.
package contract

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Error is the class of the errors of this package.
var Error = errs.Class("contract")

// Class determines how a service executes its queries.
type Class string

// The classes of services.
const (
	// FullPage queries every shard and waits for all of them until the deadline.
	FullPage Class = "FullPage"
	// QuickMatch queries every shard and returns the hits received within FirstUseful.
	QuickMatch Class = "QuickMatch"
	// OneRecord reads one record from the shard that holds its key.
	OneRecord Class = "OneRecord"
)

// Claim determines how duplicates of a non-idempotent request are detected.
type Claim string

// The ways to detect duplicates.
const (
	// ClaimStore records the RequestID in the platform's store before the request is sent to a target.
	ClaimStore Claim = "Store"
	// ClaimNone leaves the detection of duplicates to the targets.
	ClaimNone Claim = "None"
)

// Replica is one target of a service.
type Replica struct {
	Address          netip.AddrPort
	AvailabilityZone zone.Zone
}

// Service is the contract of one query service.
type Service struct {
	// Caller is the name of the caller that the service belongs to. Admission divides capacity fairly between callers, and
	// metrics are labelled with the caller.
	Caller string
	Class  Class
	// Deadline is the time within which a query must be answered.
	Deadline duration.Duration
	// FirstUseful is the time after which a QuickMatch query is answered with the hits received so far.
	FirstUseful duration.Duration `json:",omitempty"`
	// MinimumCoverage is the minimum fraction of shards that an answer must cover; a query that does not reach it is refused.
	MinimumCoverage float64
	// Worth is the worth of one answered request, in a unit that the operators choose.
	Worth float64
	// ExtraLoad bounds the hedges and retries, as a fraction of the number of first attempts.
	ExtraLoad float64
	// Idempotent states that a request may be executed more than once.
	Idempotent bool
	// Claim applies to services that are not idempotent; empty means ClaimStore.
	Claim Claim `json:",omitempty"`
	// PageSize is the number of hits of an answer if the request does not specify one.
	PageSize int
	// Slots is the number of requests that one replica processes concurrently.
	Slots int
	// Connections is the number of connections that one replica accepts.
	Connections int
	// ConnectTime is the typical time to open a connection to a replica.
	ConnectTime duration.Duration
	Replicas    []Replica
}

// Configuration is the merged configuration of one availability zone.
type Configuration struct {
	// AvailabilityZones lists the zones that replicas may be in. In the base, these are also the zones that may have an overlay.
	// An overlay may extend the list, so that the services of its zone can have replicas in other zones.
	AvailabilityZones []zone.Zone
	// Services maps the name of each service to its contract.
	Services map[string]Service
}

// FirstAnswer returns the time after which a query of s is answered with the hits received so far: FirstUseful for a QuickMatch
// service that sets it, and otherwise Deadline.
func (s Service) FirstAnswer() time.Duration {
	if s.Class == QuickMatch && s.FirstUseful > 0 {
		return s.FirstUseful.Std()
	}

	return s.Deadline.Std()
}

// ClaimsInStore reports whether a request of s must be claimed in the platform's store before it is sent to a target.
func (s Service) ClaimsInStore() bool {
	return !s.Idempotent && s.Claim != ClaimNone
}
