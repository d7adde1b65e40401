// Package contract holds what operators declare: query services, what their answers must cover, and what a request is worth.
//
// A Configuration maps the names of query services to contracts. Operators write one base file for all sites and, for a site
// that differs, an overlay that says only what differs there. A site is an availability zone. Merge puts the overlay over the
// base as a JSON merge patch, so an overlay changes single fields and removes a service with null:
//
//	# base.yaml
//	Services:
//	  catalogue: {Caller: chattimala, Class: FullPage, Deadline: 170ms, Worth: 10, ...}
//	# overlay for Kochi
//	Services:
//	  catalogue: {Deadline: 150ms}
//
// All faults of a file are reported at once, each with file and path ("kochi.yaml: Services.catalogue.Deadline: must be positive").
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

// Class says what kind of answer a service gives.
type Class string

// The classes of answer.
const (
	// FullPage asks every shard and waits for all of them within the deadline.
	FullPage Class = "FullPage"
	// QuickMatch asks every shard and answers within FirstUseful with the hits that came.
	QuickMatch Class = "QuickMatch"
	// OneRecord reads one record from the one shard that holds its key.
	OneRecord Class = "OneRecord"
)

// Claim says how copies of a non-idempotent request are recognised.
type Claim string

// The ways to recognise copies.
const (
	// ClaimStore records the RequestID in the platform's store before a target is touched.
	ClaimStore Claim = "Store"
	// ClaimNone leaves the recognition of copies to the targets.
	ClaimNone Claim = "None"
)

// Replica is one target of a service.
type Replica struct {
	Address          netip.AddrPort
	AvailabilityZone zone.Zone
}

// Service is the contract of one query service.
type Service struct {
	// Caller is the customer whose service this is. Admission is fair between callers, and metrics are kept for each.
	Caller string
	Class  Class
	// Deadline is the time within which a caller gets the whole answer.
	Deadline duration.Duration
	// FirstUseful is the time after which a QuickMatch query answers with what it has.
	FirstUseful duration.Duration `json:",omitempty"`
	// MinimumCoverage is the fraction of shards below which an answer is refused.
	MinimumCoverage float64
	// Worth is the worth of one answered request, in the operators' own unit.
	Worth float64
	// ExtraLoad is the number of hedges and retries allowed for each first attempt, as a fraction.
	ExtraLoad  float64
	Idempotent bool
	// Claim applies to services that are not idempotent; empty means ClaimStore.
	Claim Claim `json:",omitempty"`
	// PageSize is the number of hits of an answer when the request names none.
	PageSize int
	// Slots is the number of requests that one replica runs at a time, and Connections the number of connections that it accepts.
	Slots       int
	Connections int
	// ConnectTime is the usual time to open a connection to a replica.
	ConnectTime duration.Duration
	Replicas    []Replica
}

// Configuration is everything that operators declare, merged for one availability zone.
type Configuration struct {
	// AvailabilityZones lists the sites that may have an overlay, which are also the zones that replicas may be in. An overlay
	// may extend the list, so that a site can take in services of other zones.
	AvailabilityZones []zone.Zone
	Services          map[string]Service
}

// FirstAnswer returns the time after which a request of s answers with what it has.
func (s Service) FirstAnswer() time.Duration {
	if s.Class == QuickMatch && s.FirstUseful > 0 {
		return s.FirstUseful.Std()
	}

	return s.Deadline.Std()
}

// ClaimsInStore reports whether a request of s is claimed in the store before it runs.
func (s Service) ClaimsInStore() bool {
	return !s.Idempotent && s.Claim != ClaimNone
}
